/**
 * Which workers leases may be granted to, as a successor has to know it. A worker is granted
 * leases only while the stored row says so; for the others the row holds until when the leases
 * granted so far may last, which later owners carry on.
 */
import type {
  RosterEntry,
  RosterRow,
} from '../../../services/submissions/common/submissionRows.js';
import type { FleetTiming } from './fleetTiming.js';
import type { FleetWorkerView } from './fleetWorkerView.js';

/** After a takeover the row changes with each worker that answers; it is tens of kilobytes. */
const WRITE_INTERVAL_MS = 150;

/** Converts an instant of this process to the table's clock, where that is known. */
export type ToTableMs = (atMs: number) => number | undefined;

type Entries = ReadonlyMap<string, RosterEntry>;

const isGranting = (entry: RosterEntry | undefined): boolean =>
  entry !== undefined && entry.leasesOverTableMs === undefined;

const isSame = (one: RosterEntry | undefined, other: RosterEntry): boolean =>
  one !== undefined && one.address === other.address && isGranting(one) === isGranting(other);

const isSameRoster = (one: Entries, other: Entries): boolean =>
  one.size === other.size && [...other].every(([id, entry]) => isSame(one.get(id), entry));

/**
 * Leases are wanted for a worker that answers. One that has just been listed and has never been
 * granted any is included at once, so that its first start need not wait for the row.
 */
const isWanted = (view: FleetWorkerView, timing: FleetTiming, nowMs: number): boolean =>
  view.isHeard ? view.isFresh(timing, nowMs) : view.isListed && view.leasesOverAtMs <= nowMs;

const toEntry = ({ id, entry }: FleetWorkerView): RosterEntry => ({ id, address: entry.address });

const toBoundedEntry = (view: FleetWorkerView, toTableMs: ToTableMs): RosterEntry => {
  const leasesOverTableMs = toTableMs(view.leasesOverAtMs);
  const entry = toEntry(view);
  return leasesOverTableMs === undefined ? entry : { ...entry, leasesOverTableMs };
};

export class Roster {
  readonly #epoch: number;

  readonly #timing: FleetTiming;

  #written: Entries | undefined;

  /** Rows that were sent and of which it is not known whether they are stored. */
  #unconfirmed: readonly Entries[] = [];

  #nextWriteAtMs = Number.NEGATIVE_INFINITY;

  constructor(epoch: number, timing: FleetTiming) {
    this.#epoch = epoch;
    this.#timing = timing;
  }

  /** Whether a successor would take it that the worker may have been granted leases just now. */
  mayGrant(workerId: string): boolean {
    return (
      isGranting(this.#written?.get(workerId)) &&
      this.#unconfirmed.every((entries) => isGranting(entries.get(workerId)))
    );
  }

  /** The row to be written, if it is due. */
  next(
    views: readonly FleetWorkerView[],
    toTableMs: ToTableMs,
    nowMs: number,
  ): RosterRow | undefined {
    if (nowMs < this.#nextWriteAtMs) return undefined;
    const entries = new Map(
      views.map((view) => [view.id, this.#toEntry(view, toTableMs, nowMs)] as const),
    );
    const isStored = this.#unconfirmed.length === 0 && this.#written !== undefined;
    if (isStored && isSameRoster(this.#written as Entries, entries)) return undefined;
    this.#nextWriteAtMs = nowMs + WRITE_INTERVAL_MS;
    this.#unconfirmed = [...this.#unconfirmed, entries];
    return { epoch: this.#epoch, workers: [...entries.values()] };
  }

  /** The row of an owner that grants nothing any more. */
  last(views: readonly FleetWorkerView[], toTableMs: ToTableMs): RosterRow {
    const workers = views.map((view) => toBoundedEntry(view, toTableMs));
    return { epoch: this.#epoch, workers };
  }

  /** The row that was sent last is stored; those before it can take effect no more. */
  noteStored(): void {
    this.#written = this.#unconfirmed.at(-1) ?? this.#written;
    this.#unconfirmed = [];
  }

  #toEntry(view: FleetWorkerView, toTableMs: ToTableMs, nowMs: number): RosterEntry {
    return isWanted(view, this.#timing, nowMs) ? toEntry(view) : toBoundedEntry(view, toTableMs);
  }
}
