/** Decides which runs may start after their assignments are stored. */
import { RunState, stepName, type TaskRun } from './taskRecords.js';
import { isUsable, type RoundInput } from './usableWorkers.js';

export interface RecordedRuns {
  readonly startable: readonly TaskRun[];
  /** Runs whose worker may no longer get work, or whose gang has a member that cannot start. */
  readonly blocked: readonly TaskRun[];
}

export const splitRecorded = (
  recorded: readonly TaskRun[],
  input: RoundInput,
  mayStart: boolean,
  nowMs: number,
): RecordedRuns => {
  // A run that was withdrawn or lost while its assignment was being stored no longer has room.
  const assigned = recorded.filter((run) => {
    const view = input.views.get(run.workerId);
    return run.state === RunState.Assigned && view?.hasRun(run) === true;
  });
  const usable = new Set(
    assigned.filter((run) => {
      const view = input.views.get(run.workerId);
      return mayStart && view !== undefined && isUsable(view, input, nowMs);
    }),
  );
  // A gang starts as a whole, because part of a gang would take room and do no work.
  const brokenGangs = new Set(
    recorded
      .filter((run) => run.task.step.isGang && !usable.has(run))
      .map(({ task }) => stepName(task)),
  );
  const isStartable = (run: TaskRun): boolean =>
    usable.has(run) && !brokenGangs.has(stepName(run.task));
  return {
    startable: assigned.filter(isStartable),
    blocked: assigned.filter((run) => !isStartable(run)),
  };
};
