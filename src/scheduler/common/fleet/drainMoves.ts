/** Moves runs off workers that are about to leave, into room reserved for their tasks. */
import type { FleetConfiguration } from '../../../services/fleet/common/fleetConfiguration.js';
import { assignRun } from './fleetRound.js';
import { nextRunNumber } from './runNumbers.js';
import type { FleetTiming } from './fleetTiming.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import { likelyRemainingMs } from './runForecast.js';
import { isOpen, RunState, stepName, type TaskRecord, type TaskRun } from './taskRecords.js';
import { isUsable, type RoundInput, UsableWorkers } from './usableWorkers.js';
import { type PlacementChoice, WorkerSearch } from './workerSearch.js';

/** Covers a scheduler step, a call with its response, and a few searches for room. */
const STOP_MARGIN_MS = 400;
/** A worker is likely to stay this much longer than it announced. */
const LIKELY_OVERSTAY_MS = 1_000;

const isLeaving = (view: FleetWorkerView): boolean =>
  view.isListed && view.entry.isDraining && view.hasAnswered && !view.isSilent;

/**
 * Whether the run should be stopped now.
 *
 * A persistent task is stopped at once: it is then unavailable only for a stop and a start, while
 * detecting that its worker has left takes several seconds. Any other run continues as long as
 * possible and is stopped only if it will probably not end before the worker leaves. A run that
 * saves no progress loses all its work when it is stopped, so it also gets the time that the worker
 * is likely to stay beyond its announcement.
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
  const remainingStayMs = Math.max(0, staysUntilMs - nowMs);
  if (remainingStayMs > workerStopMs + STOP_MARGIN_MS) return false;
  const remainingWorkMs = likelyRemainingMs(run, lastAnswerAtMs, nowMs);
  return step.savesProgress
    ? remainingWorkMs > Math.max(remainingStayMs, workerStopMs)
    : remainingWorkMs > remainingStayMs + LIKELY_OVERSTAY_MS;
};

/** Whether the task must start on another worker once its only run has stopped. */
const mustRestart = ({ submission, isDone, runs }: TaskRecord): boolean =>
  isOpen(submission) && !isDone && runs.length === 1;

/** Whether the run should be moved or is already being moved. */
const isMovable = (
  run: TaskRun,
  view: FleetWorkerView,
  timing: FleetTiming,
  nowMs: number,
): boolean => {
  // All tasks of a gang would have to move together.
  if (run.task.step.isGang) return false;
  if (run.state === RunState.Stopping) return mustRestart(run.task);
  return run.state === RunState.Running && isMoveDue(run, view, timing, nowMs);
};

/**
 * A worker takes one reservation for a filler at a time: reservations don't count the processors of
 * fillers, so the room left for a second one is unknown.
 */
const hasNoFillerReservation = ({ reservedTasks }: FleetWorkerView): boolean =>
  ![...reservedTasks].some(({ step }) => step.isFiller);

const findRoom = (
  task: TaskRecord,
  usable: UsableWorkers,
  configuration: FleetConfiguration,
  nowMs: number,
): PlacementChoice | undefined => {
  const { views, context } = usable.poolOf(task, configuration);
  const allowed = task.step.isFiller ? views.filter(hasNoFillerReservation) : views;
  return new WorkerSearch(allowed, context, nowMs).next(task);
};

const isRunning = ({ state }: TaskRun): boolean => state === RunState.Running;

export class DrainMoves {
  /** Workers with room reserved for the tasks of runs that are being stopped. */
  readonly #reservations = new Map<TaskRun, FleetWorkerView>();

  clear(): void {
    this.#reservations.clear();
  }

  /** Assigns tasks whose runs have ended to the room reserved for them. */
  placeMoved(input: RoundInput, nowMs: number): void {
    const { configuration } = input.operator;
    if (configuration === undefined || this.#reservations.size === 0) return;
    const usable = new UsableWorkers(input, nowMs);
    [...this.#reservations].forEach(([run, target]) => {
      const view = input.views.get(run.workerId);
      const hasRun = view?.hasRun(run) === true;
      const isTargetUsable =
        input.views.get(target.id) === target && isUsable(target, input, nowMs);
      // An unreachable worker may continue its run until its leases expire.
      const isStillNeeded = isTargetUsable && mustRestart(run.task);
      if (hasRun && isStillNeeded && isLeaving(view)) return;
      this.#release(run, target);
      const isDue = input.registry.waiting.has(run.task) && run.task.notBeforeMs <= nowMs;
      if (hasRun || !isTargetUsable || !isDue) return;
      const { context } = usable.poolOf(run.task, configuration);
      const choice = new WorkerSearch([target], context, nowMs).next(run.task);
      if (choice === undefined) return;
      const number = nextRunNumber([run.task], input.epoch);
      assignRun(input, run.task, number, choice, nowMs);
    });
  }

  /** Reserves room for persistent tasks on leaving workers; returns the runs to stop now. */
  nextPersistent(input: RoundInput, nowMs: number): readonly TaskRun[] {
    return this.#next(input, ({ task }) => task.step.isPersistent, nowMs);
  }

  /**
   * Reserves room for the other runs that cannot end before their workers leave; returns the runs
   * to stop now.
   */
  nextUnfinishable(input: RoundInput, nowMs: number): readonly TaskRun[] {
    return this.#next(input, ({ task }) => !task.step.isPersistent, nowMs);
  }

  #next(
    input: RoundInput,
    isSelected: (run: TaskRun) => boolean,
    nowMs: number,
  ): readonly TaskRun[] {
    const { configuration } = input.operator;
    const runs = [...input.views.values()]
      .filter(isLeaving)
      .flatMap((view) =>
        [...view.runs.values()]
          .filter((run) => !this.#reservations.has(run) && isSelected(run))
          .filter((run) => isMovable(run, view, input.timing, nowMs)),
      );
    if (configuration === undefined || runs.length === 0) return [];
    return this.#reserveRoom(runs, input, configuration, nowMs).filter(isRunning);
  }

  /** Reserves room, first for runs that already stop; returns the runs that got room. */
  #reserveRoom(
    runs: readonly TaskRun[],
    input: RoundInput,
    configuration: FleetConfiguration,
    nowMs: number,
  ): readonly TaskRun[] {
    const usable = new UsableWorkers(input, nowMs);
    const stepsWithoutRoom = new Set<string>();
    return [...runs.filter((run) => !isRunning(run)), ...runs.filter(isRunning)].filter((run) => {
      const name = stepName(run.task);
      if (stepsWithoutRoom.has(name)) return false;
      const choice = findRoom(run.task, usable, configuration, nowMs);
      if (choice === undefined) stepsWithoutRoom.add(name);
      else this.#reserve(run, choice.view);
      return choice !== undefined;
    });
  }

  #reserve(run: TaskRun, view: FleetWorkerView): void {
    this.#reservations.set(run, view);
    view.reserveRoom(run.task);
  }

  #release(run: TaskRun, view: FleetWorkerView): void {
    this.#reservations.delete(run);
    view.releaseRoom(run.task);
  }
}
