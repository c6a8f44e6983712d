/**
 * The stored limits of each worker's leases, which tell a successor how long it has to wait for a
 * worker. If a worker has no limit, the owner may grant it leases at any time. If it has a limit,
 * no lease lasts longer. Later owners keep the limits, so the fleet waits for a lost worker only
 * once even if the owner changes.
 */
import type { RosterRow } from '../../../services/submissions/common/submissionRows.js';
import type { FleetWorkerView } from './fleetWorkerView.js';

/** Limits writes after a takeover, when the row of tens of kilobytes changes with every answer. */
const WRITE_INTERVAL_MS = 150;
/**
 * How far ahead the limit of a draining worker is set, and the remaining time at which it is
 * extended. If the worker leaves while the owner changes, the next owner waits no longer than this.
 */
const DRAINING_GRANT_MS = 4_500;
const DRAINING_LEAST_MS = 3_000;

const NO_LIMIT = Number.POSITIVE_INFINITY;
const NO_GRANTS = Number.NEGATIVE_INFINITY;

/**
 * Converts an instant of this process's clock to the table's; undefined if that clock is unknown.
 */
export type ToTableMs = (atMs: number) => number | undefined;

interface Entry {
  readonly address: string;
  /** The limit on this process's clock. */
  readonly limitAtMs: number;
}

type Entries = ReadonlyMap<string, Entry>;

const areEqual = (one: Entries, other: Entries): boolean =>
  one.size === other.size &&
  [...other].every(([id, { address, limitAtMs }]) => {
    const known = one.get(id);
    return known?.address === address && known.limitAtMs === limitAtMs;
  });

/**
 * Whether the owner wants to grant leases to the worker. It grants none to a silent worker, and the
 * sooner it stores that, the shorter a successor waits. A newly listed worker that has never had a
 * lease is included at once, so that its first start does not have to wait for the row.
 */
const isGrantWanted = (view: FleetWorkerView, nowMs: number): boolean =>
  view.hasAnswered ? !view.isSilent : view.isListed && view.leasesOverAtMs <= nowMs;

export class Roster {
  readonly #epoch: number;

  #written: Entries | undefined;

  /** Rows that were sent but may not be stored. */
  #unconfirmed: readonly Entries[] = [];

  #nextWriteAtMs = Number.NEGATIVE_INFINITY;

  constructor(epoch: number) {
    this.#epoch = epoch;
  }

  /** The instant by which leases of the worker must end under every row that may be stored. */
  grantLimitMs(workerId: string): number {
    if (this.#written === undefined) return NO_GRANTS;
    let limitAtMs = this.#written.get(workerId)?.limitAtMs ?? NO_GRANTS;
    this.#unconfirmed.forEach((entries) => {
      limitAtMs = Math.min(limitAtMs, entries.get(workerId)?.limitAtMs ?? NO_GRANTS);
    });
    return limitAtMs;
  }

  /** Whether the worker has no lease limit, so that tasks may be started on it. */
  isUnlimited(workerId: string): boolean {
    return this.grantLimitMs(workerId) === NO_LIMIT;
  }

  /** The row to write, if a write is due. */
  nextRow(
    views: readonly FleetWorkerView[],
    toTableMs: ToTableMs,
    nowMs: number,
  ): RosterRow | undefined {
    if (nowMs < this.#nextWriteAtMs) return undefined;
    const isStored = this.#unconfirmed.length === 0 && this.#written !== undefined;
    const due = this.#entries(views, DRAINING_LEAST_MS, nowMs);
    if (isStored && areEqual(this.#written as Entries, due)) return undefined;
    // Extends the limits of all draining workers in one row, so that their next write is shared.
    const entries = this.#entries(views, DRAINING_GRANT_MS, nowMs);
    this.#nextWriteAtMs = nowMs + WRITE_INTERVAL_MS;
    this.#unconfirmed = [...this.#unconfirmed, entries];
    return this.#toRow(entries, toTableMs);
  }

  /** The last row of an owner, which grants no leases afterwards. */
  lastRow(views: readonly FleetWorkerView[], toTableMs: ToTableMs): RosterRow {
    const entries = views.map(
      ({ id, entry, leasesOverAtMs }) =>
        [id, { address: entry.address, limitAtMs: leasesOverAtMs }] as const,
    );
    return this.#toRow(new Map(entries), toTableMs);
  }

  /** Records that the last sent row is stored. Rows sent before it can no longer take effect. */
  noteStored(): void {
    this.#written = this.#unconfirmed.at(-1) ?? this.#written;
    this.#unconfirmed = [];
  }

  /** The workers' limits. Extends a draining worker's limit if it is less than `leastMs` ahead. */
  #entries(views: readonly FleetWorkerView[], leastMs: number, nowMs: number): Entries {
    return new Map(
      views.map((view) => {
        const limitAtMs = this.#limitAtMs(view, leastMs, nowMs);
        return [view.id, { address: view.entry.address, limitAtMs }] as const;
      }),
    );
  }

  #limitAtMs(view: FleetWorkerView, leastMs: number, nowMs: number): number {
    if (!isGrantWanted(view, nowMs)) return view.leasesOverAtMs;
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
