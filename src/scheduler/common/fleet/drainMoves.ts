/** Moves runs off workers that are about to leave, into room that is kept for their tasks. */
import type { FleetConfiguration } from '../../../services/fleet/common/fleetConfiguration.js';
import {
  assignRun,
  isUsable,
  nextRunNumber,
  type RoundInput,
  UsableWorkers,
} from './fleetRound.js';
import type { FleetTiming } from './fleetTiming.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import { likelyRemainingMs } from './runForecast.js';
import {
  countedSize,
  isOpen,
  RunState,
  stepName,
  type TaskRecord,
  type TaskRun,
} from './taskRecords.js';
import { type PlacementChoice, WorkerSearch } from './workerSearch.js';

/** A step of the scheduler, a call and its answer, and a few looks for room. */
const STOP_SLACK_MS = 400;
/** How much longer than it says a worker is likely to stay. */
const LIKELY_LINGER_MS = 1_000;

export interface DueMoves {
  /** Tasks that last. */
  readonly lasting: readonly TaskRun[];
  /** Runs that cannot end before their workers leave. */
  readonly unfinishable: readonly TaskRun[];
}

const NO_MOVES: DueMoves = { lasting: [], unfinishable: [] };

const isLeaving = (view: FleetWorkerView): boolean =>
  view.isListed && view.entry.isDraining && view.isHeard && !view.isSilent;

/**
 * Whether the run is to be stopped now. A task that lasts is away for as long as it takes to find
 * out that its worker has left, several seconds, or for the time of a stop and a start. Any other
 * run works on up to the last moment, and is stopped only if its end is likely to come after the
 * worker has left. One that saves no progress loses all by the stop, so a worker that stays a little
 * longer than it says may do more for it.
 */
const isMoveDue = (
  run: TaskRun,
  view: FleetWorkerView,
  { workerStopMs }: FleetTiming,
  nowMs: number,
): boolean => {
  const { step } = run.task;
  if (step.isPersistent) return true;
  const { staysUntilMs, lastAnswerAtMs } = view;
  if (staysUntilMs === undefined || run.task.runs.length > 1) return false;
  const leftMs = Math.max(0, staysUntilMs - nowMs);
  if (leftMs > workerStopMs + STOP_SLACK_MS) return false;
  const workMs = likelyRemainingMs(run, lastAnswerAtMs, nowMs);
  return step.savesProgress
    ? workMs > Math.max(leftMs, workerStopMs)
    : workMs > leftMs + LIKELY_LINGER_MS;
};

/** Whether the task of a run that is being stopped is to start elsewhere. */
const startsAgain = ({ submission, isDone, runs }: TaskRecord): boolean =>
  isOpen(submission) && !isDone && runs.length === 1;

/** Whether the run is one to move, or is being moved already. */
const isMovable = (
  run: TaskRun,
  view: FleetWorkerView,
  timing: FleetTiming,
  nowMs: number,
): boolean => {
  // A gang would have to be moved whole.
  if (run.task.step.isGang) return false;
  if (run.state === RunState.Stopping) return startsAgain(run.task);
  return run.state === RunState.Running && isMoveDue(run, view, timing, nowMs);
};

const sameStepCount = (runs: Iterable<Pick<TaskRun, 'task'>>, task: TaskRecord): number =>
  [...runs].filter((run) => stepName(run.task) === stepName(task)).length;

export class DrainMoves {
  /** Room that is kept on workers for the tasks of runs that are being stopped. */
  readonly #kept = new Map<TaskRun, FleetWorkerView>();

  clear(): void {
    this.#kept.clear();
  }

  /** Gives the room that was kept for them to tasks whose runs are over. */
  placeMoved(input: RoundInput, nowMs: number): void {
    const { configuration } = input.operator;
    if (configuration === undefined || this.#kept.size === 0) return;
    const usable = new UsableWorkers(input, nowMs);
    [...this.#kept].forEach(([run, target]) => {
      const view = input.views.get(run.workerId);
      const isUnderWay = view?.hasRun(run) === true;
      const isTargetUsable =
        input.views.get(target.id) === target && isUsable(target, input, nowMs);
      // A worker that is out of reach may keep its run for as long as its leases last.
      const isWanted = isTargetUsable && startsAgain(run.task);
      if (isUnderWay && isWanted && isLeaving(view)) return;
      this.#giveBack(run, target);
      const isDue = input.book.waiting.has(run.task) && run.task.notBeforeMs <= nowMs;
      if (isUnderWay || !isTargetUsable || !isDue) return;
      const { context } = usable.poolOf(run.task, configuration);
      const choice = new WorkerSearch([target], context, nowMs).next(run.task);
      if (choice === undefined) return;
      const number = nextRunNumber([run.task], input.epoch);
      assignRun(input, run.task, number, choice, nowMs);
    });
  }

  /** Runs to be stopped, for each of which room is kept from now on; others stay where they are. */
  next(input: RoundInput, nowMs: number): DueMoves {
    const { configuration } = input.operator;
    const runs = [...input.views.values()]
      .filter(isLeaving)
      .flatMap((view) =>
        [...view.runs.values()]
          .filter((run) => !this.#kept.has(run))
          .filter((run) => isMovable(run, view, input.timing, nowMs)),
      );
    if (configuration === undefined || runs.length === 0) return NO_MOVES;
    const moved = this.#keepRoom(runs, input, configuration, nowMs);
    const due = moved.filter(({ state }) => state === RunState.Running);
    return {
      lasting: due.filter(({ task }) => task.step.isPersistent),
      unfinishable: due.filter(({ task }) => !task.step.isPersistent),
    };
  }

  /** Keeps room for what is being stopped already, then for tasks that last. */
  #keepRoom(
    runs: readonly TaskRun[],
    input: RoundInput,
    configuration: FleetConfiguration,
    nowMs: number,
  ): readonly TaskRun[] {
    const usable = new UsableWorkers(input, nowMs);
    const rankOf = ({ state, task }: TaskRun): number =>
      Number(state === RunState.Running) + Number(!task.step.isPersistent);
    const missed = new Set<string>();
    return [...runs]
      .sort((one, other) => rankOf(one) - rankOf(other))
      .filter((run) => {
        const name = stepName(run.task);
        if (missed.has(name)) return false;
        const choice = this.#findRoom(run.task, usable, configuration, nowMs);
        if (choice === undefined) missed.add(name);
        else this.#keep(run, choice.view);
        return choice !== undefined;
      });
  }

  #findRoom(
    task: TaskRecord,
    usable: UsableWorkers,
    configuration: FleetConfiguration,
    nowMs: number,
  ): PlacementChoice | undefined {
    const { views, context } = usable.poolOf(task, configuration);
    const allowed = views.filter((view) => this.#mayKeep(task, view));
    return new WorkerSearch(allowed, context, nowMs).next(task);
  }

  /** Whether what is kept on the worker already leaves it open to one more task, whatever its size. */
  #mayKeep(task: TaskRecord, view: FleetWorkerView): boolean {
    const { isFiller, maximumPerWorker } = task.step;
    if (!isFiller && maximumPerWorker === 0) return true;
    const others = [...this.#kept].filter(([, kept]) => kept === view).map(([run]) => run);
    // What a filler uses is not counted, so that the room of several cannot be told.
    if (isFiller && others.some((other) => other.task.step.isFiller)) return false;
    const keptCount = sameStepCount(others, task);
    if (maximumPerWorker === 0 || keptCount === 0) return true;
    return sameStepCount(view.runs.values(), task) + keptCount < maximumPerWorker;
  }

  #keep(run: TaskRun, view: FleetWorkerView): void {
    this.#kept.set(run, view);
    view.keepRoom(countedSize(run.task.step));
  }

  #giveBack(run: TaskRun, view: FleetWorkerView): void {
    this.#kept.delete(run);
    view.giveRoomBack(countedSize(run.task.step));
  }
}
