/** For how long a run is likely to go on. */
import type { TaskRun } from './taskRecords.js';

const WHOLE_PERCENT = 100;
/** Percentages are whole numbers, so that a smaller change tells little of the speed. */
const TELLING_PERCENT = 10;

/**
 * By the speed that its worker has shown, else by the callers' estimate. A run may have been found
 * at work, or have begun with a checkpoint, so that when it started tells nothing of its speed.
 */
export const likelyRemainingMs = (run: TaskRun, listedAtMs: number, nowMs: number): number => {
  const { estimateMs } = run.task.step;
  const { firstListed, workedPercent } = run;
  if (firstListed === undefined) return Math.max(0, estimateMs - (nowMs - run.startedAtMs));
  const gainedPercent = workedPercent - firstListed.percent;
  const msPerPercent =
    gainedPercent >= TELLING_PERCENT
      ? (listedAtMs - firstListed.atMs) / gainedPercent
      : estimateMs / WHOLE_PERCENT;
  const leftMs = (WHOLE_PERCENT - workedPercent) * msPerPercent;
  return Math.max(0, leftMs - (nowMs - listedAtMs));
};
