/**
 * Workers that no owner has reached for a while, with bounds for the leases that they may still
 * hold. Without them each owner would have to presume that its predecessor renewed everything, and
 * the tasks of a worker that is gone would wait anew after each change of the owner.
 *
 * Invariant: no owner grants a lease to a worker that the stored row may name. A worker that is
 * reached again is first taken out of the row, by a transaction that is known to have committed.
 */
import { type CellClock, fromCellMs, toCellMs } from './cellClock.js';
import type { CellDraft } from './cellDraft.js';
import type { CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';
import { presumedLeaseEndMs } from './workerView.js';

/** How long a new owner tries to reach a worker before it names it. */
const FIRST_CONTACT_TIMEOUT_MS = 1_000;

const isUnreached = (state: CellState, workerId: string): boolean =>
  state.workers.get(workerId)?.report === undefined;

/** When the leases that former owners granted to a worker not reached yet are surely over. */
export const formerLeasesOverAtMs = (
  state: CellState,
  rows: CellRows | undefined,
  workerId: string,
): number => {
  const presumedMs = presumedLeaseEndMs(state);
  const storedMs = rows?.unreached.get(workerId);
  const { cellClock } = state.lease;
  if (storedMs === undefined || cellClock === undefined) return presumedMs;
  // A worker that is back tells what has finished there unheard.
  const firstContactOverAtMs = state.tookOverAtMs + state.timing.reportFreshnessMs;
  return Math.min(presumedMs, Math.max(firstContactOverAtMs, fromCellMs(cellClock, storedMs)));
};

/** The bounds to be stored of workers that have assignments and were not reached. */
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

/** Has the row name the workers that were not reached, and no others. */
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
