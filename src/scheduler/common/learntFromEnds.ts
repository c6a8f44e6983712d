/** What the ends of attempts tell of workers and tasks. */
import type { CellState } from './cellState.js';
import { toFailureCount } from './failureWeight.js';
import { retryDelayMs } from './queueOrder.js';
import { AssignmentEnd, type RecordedEnd } from './taskEnds.js';

export type LearntFromEnds = Pick<CellState, 'workerHealth' | 'retryAtMs'>;

/** Takes failures and successes into the health of workers and the back-off of tasks. */
export const learntFromEnds = (
  state: CellState,
  ends: readonly RecordedEnd[],
  nowMs: number,
): LearntFromEnds => {
  const retryAtMs = new Map([...state.retryAtMs].filter(([, atMs]) => atMs > nowMs));
  const workerHealth = ends.reduce((health, { end, assignment, failureWeight }) => {
    const { taskId, workerId, shardId, taskIndex } = assignment;
    if (end === AssignmentEnd.Finished) return health.withSuccess(workerId);
    if (end !== AssignmentEnd.Failed) return health;
    retryAtMs.set(taskId, nowMs + retryDelayMs(toFailureCount(failureWeight), taskIndex));
    const culprit = shardId === '' ? assignment.serviceName : shardId;
    return health.withFailure(workerId, culprit, state.workers.size, nowMs);
  }, state.workerHealth);
  return { workerHealth, retryAtMs };
};
