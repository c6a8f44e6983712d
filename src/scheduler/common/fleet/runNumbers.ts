/** Numbers the runs of tasks. The numbers rise over all epochs. */
import type { TaskRecord } from './taskRecords.js';

/** How many run numbers of a task one epoch can use before they overlap with the next epoch's. */
const RUNS_PER_EPOCH = 1_000;

/** Whether the run was assigned in the epoch or a later one. */
export const isRunSince = (run: number, epoch: number): boolean =>
  run > (epoch - 1) * RUNS_PER_EPOCH;

/**
 * Returns a run number that is higher than any that this or a former owner has used for the tasks.
 * A worker refuses a run whose number is not higher than that of a run it has stopped or ended, and
 * an owner does not know which numbers its predecessor used on workers that it cannot reach.
 */
export const nextRunNumber = (tasks: readonly TaskRecord[], epoch: number): number =>
  Math.max((epoch - 1) * RUNS_PER_EPOCH, ...tasks.map(({ lastRun }) => lastRun)) + 1;
