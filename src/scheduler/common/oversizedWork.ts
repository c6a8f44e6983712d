/** Moves work that is larger than any worker of the cell to another zone, or refuses it. */
import { zonesInUse } from '../../services/configuration/common/configurationView.js';
import { fitsInto, type Resources } from '../../services/worker/common/resources.js';
import {
  type BatchTask,
  BatchTaskState,
  type WorkRow,
} from '../../services/workload/common/workRows.js';
import type { CellDraft } from './cellDraft.js';
import type { CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';

/**
 * How long work must have been larger than any worker before it is moved or refused. On an ordinary
 * day 110 workers are replaced, and one that restarts leaves the instance list for well under this
 * time.
 */
const GRACE_MS = 60_000;

const isWaiting = (row: WorkRow): boolean =>
  row.tasks.some(({ state }) => state === BatchTaskState.Queued) &&
  !row.tasks.some(({ state }) => state === BatchTaskState.Assigned);

const isLargerThanAnyWorker = (state: CellState, size: Resources): boolean => {
  const listed = [...state.workers.values()].filter(({ isListed }) => isListed);
  return listed.length > 0 && !listed.some(({ instance }) => fitsInto(size, instance.capacity));
};

/** When each queued shard became larger than any listed worker, regardless of what runs there. */
export const oversizedSince = (
  state: CellState,
  rows: CellRows,
  nowMs: number,
): ReadonlyMap<string, number> => {
  const oversized = [...rows.work.values()].filter(
    (row) => isWaiting(row) && isLargerThanAnyWorker(state, row.size),
  );
  return new Map(
    oversized.map(({ shardId }) => [shardId, state.oversizedSinceMs.get(shardId) ?? nowMs]),
  );
};

const withRefusal = (row: WorkRow, triedCells: readonly string[]): WorkRow => {
  const { processorMillis, memoryBytes, acceleratorCount } = row.size;
  const fail = (task: BatchTask): BatchTask =>
    task.state === BatchTaskState.Queued ? { ...task, state: BatchTaskState.Failed } : task;
  return {
    ...row,
    refusal:
      `needs ${processorMillis} processorMillis, ${memoryBytes} memoryBytes and ` +
      `${acceleratorCount} accelerators, more than any worker of ${triedCells.join(', ')} has`,
    tasks: row.tasks.map(fail),
  };
};

/**
 * Moves work that is larger than any worker of this cell to a zone that has not tried it. Refuses
 * the work with a reason when all zones in use have tried it. The number of zones bounds the
 * attempts, so the job is refused within a minute per zone instead of waiting unnoticed forever.
 */
export const moveOrRefuseOversizedWork = (
  state: CellState,
  draft: CellDraft,
  nowMs: number,
): void => {
  const view = state.configuration?.view;
  if (view === undefined || state.withdrawnSinceMs !== undefined) return;
  state.oversizedSinceMs.forEach((sinceMs, shardId) => {
    const row = draft.work(shardId);
    const isFull = draft.rowCount >= state.timing.maximumRowsPerRound;
    if (row === undefined || isFull || nowMs - sinceMs < GRACE_MS || !isWaiting(row)) return;
    const triedCells = [...(row.triedCells ?? []), state.cell];
    const next = zonesInUse(view).find((zone) => !triedCells.includes(zone));
    draft.setWork(next === undefined ? withRefusal(row, triedCells) : { ...row, triedCells });
    if (next !== undefined) draft.moveWork(shardId, next);
  });
};
