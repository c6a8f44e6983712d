/**
 * Stores the workers that an owner has not reached, with the time by which their leases have ended.
 * Without it, each owner would have to presume that its predecessor renewed all leases, and the
 * tasks of a lost worker would wait again after each change of owner.
 *
 * Invariant: no owner grants a lease to a worker that the stored row may list. A worker that is
 * reached again is first removed from the row by a transaction that is known to have committed.
 */
import { type CellClock, fromCellMs, toCellMs } from './cellClock.js';
import type { CellDraft } from './cellDraft.js';
import type { CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';
import { presumedLeaseEndMs } from './workerView.js';

/** How long a new owner tries to reach a worker before it adds the worker to the row. */
const FIRST_CONTACT_TIMEOUT_MS = 1_000;

const isUnreached = (state: CellState, workerId: string): boolean =>
  state.workers.get(workerId)?.report === undefined;

/** When all leases that former owners granted to a worker that is not reached yet have ended. */
export const formerLeasesOverAtMs = (
  state: CellState,
  rows: CellRows | undefined,
  workerId: string,
): number => {
  const presumedMs = presumedLeaseEndMs(state);
  const storedMs = rows?.unreached.get(workerId);
  const { cellClock } = state.lease;
  if (storedMs === undefined || cellClock === undefined) return presumedMs;
  // Allow time for a first report: a worker that is back reports tasks whose end no owner has
  // learned of.
  const firstContactOverAtMs = state.tookOverAtMs + state.timing.reportFreshnessMs;
  return Math.min(presumedMs, Math.max(firstContactOverAtMs, fromCellMs(cellClock, storedMs)));
};

/**
 * The lease bounds to store, in cell time, of workers that have assignments and were not reached.
 */
const wantedUnreached = (
  state: CellState,
  rows: CellRows,
  cellClock: CellClock | undefined,
  nowMs: number,
): ReadonlyMap<string, number> => {
  const canAdd = cellClock !== undefined && nowMs - state.tookOverAtMs >= FIRST_CONTACT_TIMEOUT_MS;
  const wanted = new Map<string, number>();
  rows.assignmentsByWorker.forEach((_, workerId) => {
    if (!isUnreached(state, workerId)) return;
    const storedMs = rows.unreached.get(workerId);
    if (storedMs !== undefined) wanted.set(workerId, storedMs);
    else if (canAdd) {
      wanted.set(workerId, Math.ceil(toCellMs(cellClock, presumedLeaseEndMs(state))));
    }
  });
  return wanted;
};

/** Updates the row so that it lists exactly the workers that were not reached. */
export const updateUnreached = (
  state: CellState,
  rows: CellRows,
  draft: CellDraft,
  nowMs: number,
): void => {
  const wanted = wantedUnreached(state, rows, state.lease.cellClock, nowMs);
  const isSame =
    wanted.size === rows.unreached.size && [...wanted.keys()].every((id) => rows.unreached.has(id));
  if (!isSame) draft.setUnreached(wanted);
};
