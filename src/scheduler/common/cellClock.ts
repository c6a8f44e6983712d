/**
 * A clock that the owners of a cell keep one after the other, in their heartbeats. It stands still
 * between an owner's last heartbeat and the next owner's first look at it, and clocks of different
 * machines are never compared: it is never ahead of the time that has passed, so what is to be over
 * at one of its instants is over when any owner's reading of it gets there.
 */
export interface CellClock {
  readonly cellMs: number;
  /** When the clock was at `cellMs` or further, on this daemon's own clock. */
  readonly asOfMs: number;
}

/** What the clock shows at an instant of this daemon. */
export const toCellMs = ({ cellMs, asOfMs }: CellClock, atMs: number): number =>
  cellMs + atMs - asOfMs;

/** The instant of this daemon at which the clock shows `atCellMs`. */
export const fromCellMs = ({ cellMs, asOfMs }: CellClock, atCellMs: number): number =>
  asOfMs + atCellMs - cellMs;
