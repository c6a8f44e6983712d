/** Updates the health of workers and the retry backoff of tasks from the ends of attempts. */
import type { CellState } from './cellState.js';
import { toFailureCount } from './failureWeight.js';
import { retryDelayMs } from './queueOrder.js';
import { AssignmentEnd, type RecordedEnd } from './taskEnds.js';

/**
 * Delay after a doubtful failure, relative to a credible one. Twenty doubtful failures then take
 * about 100 s, after which a job that fails everywhere while others fail too is reported as failed.
 */
const DOUBTFUL_FAILURE_DELAY_RATIO = 0.5;

export type FailureTracking = Pick<CellState, 'workerHealth' | 'retryAtMs'>;

/**
 * Applies the failures and successes of a round to the health of workers and the backoff of tasks.
 */
export const trackFailures = (
  state: CellState,
  ends: readonly RecordedEnd[],
  nowMs: number,
): FailureTracking => {
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
