/** Moves runs off workers that are about to leave, into room reserved for their tasks. */
import type { FleetConfiguration } from '../../../services/fleet/common/fleetConfiguration.js';
import { assignRun, nextRunNumber } from './fleetRound.js';
import type { FleetTiming } from './fleetTiming.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import { likelyRemainingMs } from './runForecast.js';
import { isOpen, RunState, stepName, type TaskRecord, type TaskRun } from './taskRecords.js';
import { isUsable, type RoundInput, UsableWorkers } from './usableWorkers.js';
import { type PlacementChoice, WorkerSearch } from './workerSearch.js';

/** Covers a scheduler step, a call with its response, and a few searches for room. */
const STOP_SLACK_MS = 400;
/** A worker is likely to stay this much longer than it announced. */
const LIKELY_LINGER_MS = 1_000;

const isLeaving = (view: FleetWorkerView): boolean =>
  view.isListed && view.entry.isDraining && view.isHeard && !view.isSilent;

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
  const leftMs = Math.max(0, staysUntilMs - nowMs);
  if (leftMs > workerStopMs + STOP_SLACK_MS) return false;
  const workMs = likelyRemainingMs(run, lastAnswerAtMs, nowMs);
  return step.savesProgress
    ? workMs > Math.max(leftMs, workerStopMs)
    : workMs > leftMs + LIKELY_LINGER_MS;
};

/** Whether the task must start on another worker once its only run has stopped. */
const startsAgain = ({ submission, isDone, runs }: TaskRecord): boolean =>
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
  if (run.state === RunState.Stopping) return startsAgain(run.task);
  return run.state === RunState.Running && isMoveDue(run, view, timing, nowMs);
};

/**
 * A worker takes one reservation for a filler at a time: reservations don't count the processors of
 * fillers, so the room left for a second one is unknown.
 */
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
  /** Workers with room reserved for the tasks of runs that are being stopped. */
  readonly #kept = new Map<TaskRun, FleetWorkerView>();

  clear(): void {
    this.#kept.clear();
  }

  /** Assigns tasks whose runs have ended to the room reserved for them. */
  placeMoved(input: RoundInput, nowMs: number): void {
    const { configuration } = input.operator;
    if (configuration === undefined || this.#kept.size === 0) return;
    const usable = new UsableWorkers(input, nowMs);
    [...this.#kept].forEach(([run, target]) => {
      const view = input.views.get(run.workerId);
      const isUnderWay = view?.hasRun(run) === true;
      const isTargetUsable =
        input.views.get(target.id) === target && isUsable(target, input, nowMs);
      // An unreachable worker may continue its run until its leases expire.
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

  /** Reserves room for persistent tasks on leaving workers; returns the runs to stop now. */
  nextLasting(input: RoundInput, nowMs: number): readonly TaskRun[] {
    return this.#next(input, ({ task }) => task.step.isPersistent, nowMs);
  }

  /**
   * Reserves room for the other runs that cannot end before their workers leave; returns the runs
   * to stop now.
   */
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

  /** Reserves room, first for runs that already stop; returns the runs that got room. */
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
