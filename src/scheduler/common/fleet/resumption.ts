/** Describes for the log from which saved progress a task resumes. */
import { isRunSince } from './runNumbers.js';
import type { TaskRun } from './taskRecords.js';

const MAXIMUM_CHECKPOINT_LENGTH = 32;

/** Why a task that has run before starts without a checkpoint. */
const NoCheckpointReason = {
  /** This owner assigned the last run, and no worker has listed a checkpoint of the task. */
  NotListed: 'not-listed',
  /** A former owner assigned the last run, and this owner knows no checkpoint of the task. */
  NotInherited: 'not-inherited',
} as const;

/** Describes what a run resumes from, as TASK#RUN=SOURCE:CHECKPOINT+AGE or TASK#RUN=none:REASON. */
export const describeResumption = (
  { task, run, previousRun }: TaskRun,
  epoch: number,
  nowMs: number,
): string => {
  const { checkpoint, source, learntAtMs } = task.saved;
  if (checkpoint === '') {
    const { NotListed, NotInherited } = NoCheckpointReason;
    return `${task.name}#${run}=none:${isRunSince(previousRun, epoch) ? NotListed : NotInherited}`;
  }
  const shown = checkpoint.slice(0, MAXIMUM_CHECKPOINT_LENGTH);
  return `${task.name}#${run}=${source}:${shown}+${Math.round(nowMs - learntAtMs)}ms`;
};
