/** Decides which runs may start after their assignments are stored. */
import { type Either, left } from 'fp-ts/lib/Either.js';

import {
  ErrorKind,
  failure,
  type Failure,
  WorkOutcome,
} from '../../../services/errors/common/errorKinds.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import { RunState, stepName, type TaskRun } from './taskRecords.js';
import { isUsable, type RoundInput, type WorkerTerms } from './usableWorkers.js';

/** How long a start may wait for its turn; its task is placed again after that. */
const LONGEST_START_WAIT_MS = 500;

/** The result of a start that was withheld. */
export const NOT_SENT: Either<Failure, never> = left({
  ...failure(ErrorKind.WorkerUnavailable, 'the start was withheld'),
  workOutcome: WorkOutcome.NotRun,
});

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

/**
 * Whether the start of a run may be sent. What permitted it may have ended while it waited: its
 * submission, the readiness of its worker, or its room there.
 */
export const isStartDue = (
  run: TaskRun,
  view: FleetWorkerView | undefined,
  terms: WorkerTerms,
  nowMs: number,
): boolean => {
  if (run.state !== RunState.Starting || view?.hasRun(run) !== true) return false;
  const hasWaitedLong = nowMs - run.startedAtMs > LONGEST_START_WAIT_MS;
  // A gang that has begun to start is not placed again for one member that waits.
  return (!hasWaitedLong || run.task.step.isGang) && isUsable(view, terms, nowMs);
};

/** The runs that started together with this one; none if its task is not part of a gang. */
export const otherRunsOfGang = ({ task, run }: TaskRun): readonly TaskRun[] => {
  if (!task.step.isGang) return [];
  const opened = task.submission.occurrences.get(task.occurrence);
  const members = opened?.tasks[task.stepIndex] ?? [];
  return members
    .filter((member) => member !== task)
    .flatMap(({ runs }) => runs.filter((other) => other.run === run));
};
