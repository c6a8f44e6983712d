/** Tells a stuck run from a slow one. */
import type { TaskRun } from './taskRecords.js';

const WHOLE_PERCENT = 100;
/**
 * The percentage of a task that takes seconds changes every few tens of milliseconds. Even on a
 * worker that is several times too slow, it changes within a second.
 */
const STUCK_AFTER_MS = 3_000;
/** Fillers may get little processor time for a while, which is not a fault of the worker. */
const FILLER_STUCK_AFTER_MS = 9_000;
const FULL_PACE_PERCENT = 100;

/** Whether the run should be stopped and its task started elsewhere. */
export const isStuck = (run: TaskRun, nowMs: number): boolean => {
  const { step } = run.task;
  if (run.workedPercent >= WHOLE_PERCENT) return false;
  // One gang member without progress stops the progress of all others.
  if (step.isGang) return false;
  if (step.isFiller && run.pacePercent < FULL_PACE_PERCENT) return false;
  const limitMs = step.isFiller ? FILLER_STUCK_AFTER_MS : STUCK_AFTER_MS;
  return nowMs - run.percentUnchangedSinceMs >= limitMs;
};
