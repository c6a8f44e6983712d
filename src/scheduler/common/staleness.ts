/** Which workers' messages and whether the round have to be worked out anew after a change. */
import type { CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';
import { surplusTaskIds } from './wantedEvictions.js';
import type { WorkerView } from './workerView.js';

/** Has every worker's message and the round worked out anew. */
export const withAllStale = (state: CellState): CellState => ({
  ...state,
  isRoundStale: true,
  surplusTaskIds: surplusTaskIds(state),
  workers: new Map(
    [...state.workers].map(([id, view]): [string, WorkerView] => [
      id,
      view.isMessageStale ? view : { ...view, isMessageStale: true },
    ]),
  ),
});

/** Has the messages worked out anew of those workers whose assignments changed. */
export const withNewRows = (state: CellState, rows: CellRows): CellState => {
  const before = state.lastKnownRows?.assignmentsByWorker;
  const isSame = (workerId: string): boolean =>
    before !== undefined && before.get(workerId) === rows.assignmentsByWorker.get(workerId);
  const workers = new Map(
    [...state.workers].map(([id, view]): [string, WorkerView] => [
      id,
      isSame(id) ? view : { ...view, isMessageStale: true },
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

/** After a conflict or a lost answer nothing may depend on the rows until they are read again. */
export const withRowsInDoubt = (state: CellState): CellState => ({ ...state, rows: undefined });
