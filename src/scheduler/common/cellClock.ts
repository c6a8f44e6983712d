/**
 * A clock of a cell that its successive owners carry on in their heartbeats. It stops between an
 * owner's last heartbeat and the next owner's first read of it, and clocks of different machines
 * are never compared. It therefore never runs ahead of real time: a lease that ends by a cell time
 * has ended once any owner's reading of the clock reaches that time.
 */
export interface CellClock {
  readonly cellMs: number;
  /** The time on this daemon's clock at which the cell clock showed at least `cellMs`. */
  readonly asOfMs: number;
}

/** The cell time at the daemon's local time `atMs`. */
export const toCellMs = ({ cellMs, asOfMs }: CellClock, atMs: number): number =>
  cellMs + atMs - asOfMs;

/** The daemon's local time at which the cell clock shows `atCellMs`. */
export const fromCellMs = ({ cellMs, asOfMs }: CellClock, atCellMs: number): number =>
  asOfMs + atCellMs - cellMs;
