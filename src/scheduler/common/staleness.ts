/** Marks the round and worker commands as stale after a change, so that they are computed again. */
import type { CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';
import { surplusTaskIds } from './wantedEvictions.js';
import type { WorkerView } from './workerView.js';

/** Marks the round and the commands of all workers as stale. */
export const withAllStale = (state: CellState): CellState => ({
  ...state,
  isRoundStale: true,
  surplusTaskIds: surplusTaskIds(state),
  workers: new Map(
    [...state.workers].map(([id, view]): [string, WorkerView] => [
      id,
      view.isCommandStale ? view : { ...view, isCommandStale: true },
    ]),
  ),
});

/**
 * Applies new rows. Marks the round and the commands of workers whose assignments changed as stale.
 */
export const withNewRows = (state: CellState, rows: CellRows): CellState => {
  const before = state.lastKnownRows?.assignmentsByWorker;
  const isSame = (workerId: string): boolean =>
    before !== undefined && before.get(workerId) === rows.assignmentsByWorker.get(workerId);
  const workers = new Map(
    [...state.workers].map(([id, view]): [string, WorkerView] => [
      id,
      isSame(id) ? view : { ...view, isCommandStale: true },
    ]),
  );
  const unreachedWorkerIds = new Set(rows.unreached.keys());
  const next = {
    ...state,
    ...{ rows, lastKnownRows: rows, unreachedWorkerIds, workers },
    isRoundStale: true,
  };
  const surplus = surplusTaskIds(next);
  if (surplus.size !== state.surplusTaskIds.size) return withAllStale(next);
  return { ...next, surplusTaskIds: surplus };
};

/**
 * Drops the rows after a conflict or a lost answer, so that nothing depends on them until they are
 * read again.
 */
export const withRowsInDoubt = (state: CellState): CellState => ({ ...state, rows: undefined });
