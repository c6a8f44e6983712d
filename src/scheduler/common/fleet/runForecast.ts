/** Estimates how long a run will continue. */
import type { TaskRun } from './taskRecords.js';

const WHOLE_PERCENT = 100;
/** Percentages are whole numbers, so a smaller gain says little about the speed. */
const SIGNIFICANT_PERCENT = 10;

/**
 * Estimates the remaining time by the run's progress since its first listing, or by the caller's
 * estimate if the progress is too small. The start time does not show the speed, because the run
 * may have been taken over from a former owner or have resumed from a checkpoint.
 */
export const likelyRemainingMs = (run: TaskRun, listedAtMs: number, nowMs: number): number => {
  const { estimateMs } = run.task.step;
  const { firstListed, workedPercent } = run;
  if (firstListed === undefined) return Math.max(0, estimateMs - (nowMs - run.startedAtMs));
  const gainedPercent = workedPercent - firstListed.percent;
  const msPerPercent =
    gainedPercent >= SIGNIFICANT_PERCENT
      ? (listedAtMs - firstListed.atMs) / gainedPercent
      : estimateMs / WHOLE_PERCENT;
  const leftMs = (WHOLE_PERCENT - workedPercent) * msPerPercent;
  return Math.max(0, leftMs - (nowMs - listedAtMs));
};
