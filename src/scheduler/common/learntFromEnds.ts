/** What the ends of attempts tell of workers and tasks. */
import type { CellState } from './cellState.js';
import { toFailureCount } from './failureWeight.js';
import { retryDelayMs } from './queueOrder.js';
import { AssignmentEnd, type RecordedEnd } from './taskEnds.js';

/**
 * A failure that says little about the task has it wait half as long: twenty of them are then over
 * within some 100 s, by which a job that fails everywhere among others is told so.
 */
const DOUBTFUL_FAILURE_DELAY_RATIO = 0.5;

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
    const jobId = shardId === '' ? assignment.serviceName : shardId;
    const delayMs = retryDelayMs(toFailureCount(failureWeight), taskIndex);
    const isCredible = state.workerHealth.isCredible(workerId, shardId);
    retryAtMs.set(taskId, nowMs + (isCredible ? delayMs : delayMs * DOUBTFUL_FAILURE_DELAY_RATIO));
    return health.withFailure(workerId, jobId, state.workers.size, nowMs);
  }, state.workerHealth);
  return { workerHealth, retryAtMs };
};
