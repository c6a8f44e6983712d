/** Moves runs off workers that are about to leave, into room that is kept for their tasks. */
import type { FleetConfiguration } from '../../../services/fleet/common/fleetConfiguration.js';
import { assignRun, nextRunNumber } from './fleetRound.js';
import type { FleetTiming } from './fleetTiming.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import { likelyRemainingMs } from './runForecast.js';
import { isOpen, RunState, stepName, type TaskRecord, type TaskRun } from './taskRecords.js';
import { isUsable, type RoundInput, UsableWorkers } from './usableWorkers.js';
import { type PlacementChoice, WorkerSearch } from './workerSearch.js';

/** A step of the scheduler, a call and its answer, and a few looks for room. */
const STOP_SLACK_MS = 400;
/** How much longer than it says a worker is likely to stay. */
const LIKELY_LINGER_MS = 1_000;

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

/** What a filler uses is not counted, so that the room of several cannot be told. */
const keepsNoFiller = ({ keptTasks }: FleetWorkerView): boolean =>
  ![...keptTasks].some(({ step }) => step.isFiller);

const findRoom = (
  task: TaskRecord,
  usable: UsableWorkers,
  configuration: FleetConfiguration,
  nowMs: number,
): PlacementChoice | undefined => {
  const { views, context } = usable.poolOf(task, configuration);
  const allowed = task.step.isFiller ? views.filter(keepsNoFiller) : views;
  return new WorkerSearch(allowed, context, nowMs).next(task);
};

const isAtWork = ({ state }: TaskRun): boolean => state === RunState.Running;

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

  /** Tasks that last, to be stopped; room is kept for each from now on, others stay where they are. */
  nextLasting(input: RoundInput, nowMs: number): readonly TaskRun[] {
    return this.#next(input, ({ task }) => task.step.isPersistent, nowMs);
  }

  /** Other runs that cannot end before their workers leave, to be stopped in the same way. */
  nextUnfinishable(input: RoundInput, nowMs: number): readonly TaskRun[] {
    return this.#next(input, ({ task }) => !task.step.isPersistent, nowMs);
  }

  #next(input: RoundInput, isWanted: (run: TaskRun) => boolean, nowMs: number): readonly TaskRun[] {
    const { configuration } = input.operator;
    const runs = [...input.views.values()]
      .filter(isLeaving)
      .flatMap((view) =>
        [...view.runs.values()]
          .filter((run) => !this.#kept.has(run) && isWanted(run))
          .filter((run) => isMovable(run, view, input.timing, nowMs)),
      );
    if (configuration === undefined || runs.length === 0) return [];
    return this.#keepRoom(runs, input, configuration, nowMs).filter(isAtWork);
  }

  /** Keeps room for what is being stopped already, then for the others. */
  #keepRoom(
    runs: readonly TaskRun[],
    input: RoundInput,
    configuration: FleetConfiguration,
    nowMs: number,
  ): readonly TaskRun[] {
    const usable = new UsableWorkers(input, nowMs);
    const missed = new Set<string>();
    return [...runs.filter((run) => !isAtWork(run)), ...runs.filter(isAtWork)].filter((run) => {
      const name = stepName(run.task);
      if (missed.has(name)) return false;
      const choice = findRoom(run.task, usable, configuration, nowMs);
      if (choice === undefined) missed.add(name);
      else this.#keep(run, choice.view);
      return choice !== undefined;
    });
  }

  #keep(run: TaskRun, view: FleetWorkerView): void {
    this.#kept.set(run, view);
    view.keepRoomFor(run.task);
  }

  #giveBack(run: TaskRun, view: FleetWorkerView): void {
    this.#kept.delete(run);
    view.giveRoomBack(run.task);
  }
}
