/**
 * Until when leases may be granted to each worker, as a successor has to know it. Without a stored
 * limit the owner may grant at any time; with one, no lease lasts longer. Later owners carry the
 * limits on, so that a worker that is lost is waited for once, whatever the owner.
 */
import type { RosterRow } from '../../../services/submissions/common/submissionRows.js';
import type { FleetWorkerView } from './fleetWorkerView.js';

/** After a takeover the row changes with each worker that answers; it is tens of kilobytes. */
const WRITE_INTERVAL_MS = 150;
/**
 * How far ahead leases are granted to a worker that drains, and when the limit is moved on. It may
 * leave while the owner changes; the next owner then waits no longer than this.
 */
const DRAINING_GRANT_MS = 4_500;
const DRAINING_LEAST_MS = 3_000;

const NO_LIMIT = Number.POSITIVE_INFINITY;
const NO_GRANTS = Number.NEGATIVE_INFINITY;

/** Converts an instant of this process to the table's clock, where that is known. */
export type ToTableMs = (atMs: number) => number | undefined;

interface Entry {
  readonly address: string;
  /** On this process's clock. */
  readonly limitAtMs: number;
}

type Entries = ReadonlyMap<string, Entry>;

const isSame = (one: Entries, other: Entries): boolean =>
  one.size === other.size &&
  [...other].every(([id, { address, limitAtMs }]) => {
    const known = one.get(id);
    return known?.address === address && known.limitAtMs === limitAtMs;
  });

/**
 * Leases are wanted for a worker that answers; a silent one is granted none, and the sooner that is
 * stored the shorter a successor waits. One that has just been listed and has never been granted any
 * is included at once, so that its first start need not wait for the row.
 */
const isWanted = (view: FleetWorkerView, nowMs: number): boolean =>
  view.isHeard ? !view.isSilent : view.isListed && view.leasesOverAtMs <= nowMs;

export class Roster {
  readonly #epoch: number;

  #written: Entries | undefined;

  /** Rows that were sent and of which it is not known whether they are stored. */
  #unconfirmed: readonly Entries[] = [];

  #nextWriteAtMs = Number.NEGATIVE_INFINITY;

  constructor(epoch: number) {
    this.#epoch = epoch;
  }

  /** By when each lease of the worker has to be over, by all rows that are or may be stored. */
  grantLimitMs(workerId: string): number {
    if (this.#written === undefined) return NO_GRANTS;
    let limitAtMs = this.#written.get(workerId)?.limitAtMs ?? NO_GRANTS;
    this.#unconfirmed.forEach((entries) => {
      limitAtMs = Math.min(limitAtMs, entries.get(workerId)?.limitAtMs ?? NO_GRANTS);
    });
    return limitAtMs;
  }

  /** Whether tasks may be started on the worker. */
  isUnlimited(workerId: string): boolean {
    return this.grantLimitMs(workerId) === NO_LIMIT;
  }

  /** The row to be written, if it is due. */
  next(
    views: readonly FleetWorkerView[],
    toTableMs: ToTableMs,
    nowMs: number,
  ): RosterRow | undefined {
    if (nowMs < this.#nextWriteAtMs) return undefined;
    const isStored = this.#unconfirmed.length === 0 && this.#written !== undefined;
    const due = this.#entries(views, DRAINING_LEAST_MS, nowMs);
    if (isStored && isSame(this.#written as Entries, due)) return undefined;
    // One row moves the limits of all that drain on, so that they are due together from then on.
    const entries = this.#entries(views, DRAINING_GRANT_MS, nowMs);
    this.#nextWriteAtMs = nowMs + WRITE_INTERVAL_MS;
    this.#unconfirmed = [...this.#unconfirmed, entries];
    return this.#toRow(entries, toTableMs);
  }

  /** The row of an owner that grants nothing any more. */
  last(views: readonly FleetWorkerView[], toTableMs: ToTableMs): RosterRow {
    const entries = views.map(
      ({ id, entry, leasesOverAtMs }) =>
        [id, { address: entry.address, limitAtMs: leasesOverAtMs }] as const,
    );
    return this.#toRow(new Map(entries), toTableMs);
  }

  /** The row that was sent last is stored; those before it can take effect no more. */
  noteStored(): void {
    this.#written = this.#unconfirmed.at(-1) ?? this.#written;
    this.#unconfirmed = [];
  }

  /** Limits of workers that drain are moved on once they are less than `leastMs` ahead. */
  #entries(views: readonly FleetWorkerView[], leastMs: number, nowMs: number): Entries {
    return new Map(
      views.map((view) => {
        const limitAtMs = this.#limitAtMs(view, leastMs, nowMs);
        return [view.id, { address: view.entry.address, limitAtMs }] as const;
      }),
    );
  }

  #limitAtMs(view: FleetWorkerView, leastMs: number, nowMs: number): number {
    if (!isWanted(view, nowMs)) return view.leasesOverAtMs;
    if (!view.entry.isDraining) return NO_LIMIT;
    const known = this.#written?.get(view.id)?.limitAtMs ?? NO_LIMIT;
    if (known !== NO_LIMIT && known - nowMs >= leastMs) return known;
    return Math.max(view.leasesOverAtMs, nowMs + DRAINING_GRANT_MS);
  }

  #toRow(entries: Entries, toTableMs: ToTableMs): RosterRow {
    const workers = [...entries].map(
      ([id, { address, limitAtMs }]): RosterRow['workers'][number] => [
        id,
        address,
        (limitAtMs === NO_LIMIT ? undefined : toTableMs(limitAtMs)) ?? null,
      ],
    );
    return { epoch: this.#epoch, workers };
  }
}
