/** Places waiting tasks on workers. */
import type { FleetConfiguration } from '../../../services/fleet/common/fleetConfiguration.js';
import { chainEstimateMs, objectiveMsOf } from './fleetOrder.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import { nextRunNumber } from './runNumbers.js';
import { newRun } from './runTracker.js';
import { isInterrupted, type TaskRecord, type TaskRun } from './taskRecords.js';
import { obstaclesOf, type RoundInput, UsableWorkers } from './usableWorkers.js';
import type { TaskGroup } from './waitingTasks.js';
import { DelayCause, type WaitCounts, WaitReason } from './waitReason.js';
import { waitingKindOf } from './waitReport.js';
import { type PlacementChoice, WorkerSearch } from './workerSearch.js';

/**
 * The maximum number of starts in one round. More would delay the answers that come in meanwhile.
 */
export const MAXIMUM_STARTS = 150;

/** Limits on the work of one round. The rest is left to the next round. */
export interface RoundLimits {
  readonly startCount: number;
  readonly ratingCount: number;
}

export interface RoundOutcome {
  /** How many tasks were not placed, by reason. */
  readonly waits: WaitCounts;
  readonly startCount: number;
  readonly ratingCount: number;
  /** The workers that tasks might have started on. */
  readonly usableViews: readonly FleetWorkerView[];
}

const NOTHING_PLACED: RoundOutcome = {
  waits: new Map(),
  startCount: 0,
  ratingCount: 0,
  usableViews: [],
};

/**
 * Assigns a task to a worker and takes its room there. The start is sent after the assignment is
 * stored.
 */
export const assignRun = (
  { registry }: Pick<RoundInput, 'registry'>,
  task: TaskRecord,
  number: number,
  { view, percent }: PlacementChoice,
  nowMs: number,
): TaskRun => {
  const run = newRun(task, number, view.id, nowMs, percent);
  view.addRun(run);
  registry.addRun(run);
  registry.markAssignmentsDirty(task);
  return run;
};

class PlacementRound {
  readonly #input: RoundInput;

  readonly #configuration: FleetConfiguration;

  readonly #limits: RoundLimits;

  readonly #usable: UsableWorkers;

  readonly #nowMs: number;

  readonly placed: TaskRun[] = [];

  readonly waits = new Map<WaitReason, number>();

  ratingCount = 0;

  /** The number of tasks of the groups so far, by kind. */
  readonly #rankedCounts = new Map<string, number>();

  /** Counting the obstacles rates all workers, so a round does it for one submission at most. */
  #hasCountedObstacles = false;

  constructor(
    input: RoundInput,
    configuration: FleetConfiguration,
    limits: RoundLimits,
    nowMs: number,
  ) {
    this.#input = input;
    this.#configuration = configuration;
    this.#limits = limits;
    this.#nowMs = nowMs;
    this.#usable = new UsableWorkers(input, nowMs);
    input.misses.beginRound(this.#usable.all);
  }

  place(group: TaskGroup): void {
    const [first] = group.tasks;
    if (first === undefined) return;
    const { size } = group.tasks;
    const { waitingSinceMs } = first;
    const cause = this.#place(group);
    first.submission.delays.note(cause, waitingSinceMs, this.#nowMs);
    if (cause !== DelayCause.NextRound) this.#noteMiss(first, cause);
    const kind = waitingKindOf(first);
    this.#rankedCounts.set(kind, (this.#rankedCounts.get(kind) ?? 0) + size);
  }

  /** Places the tasks of the group that are due. Returns what the group waits or waited for. */
  #place(group: TaskGroup): DelayCause {
    const limit = this.#limitReached;
    if (limit !== undefined) {
      this.#addWaits(limit, group.tasks.size);
      return limit;
    }
    const due = [...group.tasks].filter(({ notBeforeMs }) => notBeforeMs <= this.#nowMs);
    const [first] = due;
    if (first === undefined) return DelayCause.Retry;
    const unplacedCount = first.step.isGang
      ? this.#placeGang(first, group.key, due.length)
      : this.#placeEach(due, group.key);
    if (unplacedCount === 0) return DelayCause.NextRound;
    const reason = this.#limitReached ?? WaitReason.NoRoom;
    this.#addWaits(reason, unplacedCount);
    return reason;
  }

  /** Records what keeps a submission waiting at the time at which its slack is used up. */
  #noteMiss(task: TaskRecord, cause: DelayCause): void {
    const { submission, delays } = task.submission;
    if (delays.ahead !== undefined) return;
    const slackMs = objectiveMsOf(submission, this.#configuration) - chainEstimateMs(submission);
    if (delays.totalWaitedMs < slackMs) return;
    delays.ahead = new Map(this.#rankedCounts);
    if (cause !== WaitReason.NoRoom || this.#hasCountedObstacles) return;
    this.#hasCountedObstacles = true;
    delays.obstacles = obstaclesOf(task, this.#input, this.#nowMs);
  }

  get usableViews(): readonly FleetWorkerView[] {
    return this.#usable.all;
  }

  get #limitReached(): WaitReason | undefined {
    if (this.#isStartLimitReached) return WaitReason.StartLimit;
    return this.ratingCount >= this.#limits.ratingCount ? WaitReason.RatingLimit : undefined;
  }

  get #isStartLimitReached(): boolean {
    return this.placed.length >= this.#limits.startCount;
  }

  #addWaits(reason: WaitReason, count: number): void {
    this.waits.set(reason, (this.waits.get(reason) ?? 0) + count);
  }

  /** Places tasks of one step. Returns how many were not placed. */
  #placeEach(due: readonly TaskRecord[], key: string): number {
    const [first] = due as [TaskRecord];
    const occurrence = first.submission.occurrences.get(first.occurrence);
    if (occurrence === undefined) return due.length;
    const { misses } = this.#input;
    const { serviceName, views, context } = this.#usable.poolOf(first, this.#configuration);
    const candidates = misses.candidates(occurrence, key, serviceName, views, this.#nowMs);
    const search = new WorkerSearch(candidates, context, this.#nowMs);
    const placedCount = this.#placeBySearch(due, search);
    this.ratingCount += search.ratingCount;
    const unplacedCount = due.length - placedCount;
    if (unplacedCount > 0 && !this.#isStartLimitReached)
      misses.recordMiss(occurrence, key, this.#nowMs);
    return unplacedCount;
  }

  /** Places tasks until no room is found or the round is full. Returns how many were placed. */
  #placeBySearch(due: readonly TaskRecord[], search: WorkerSearch): number {
    const { epoch } = this.#input;
    const firstUnplacedIndex = due.findIndex((task) => {
      const choice = this.#isStartLimitReached ? undefined : search.next(task);
      if (choice !== undefined) this.#assign(task, nextRunNumber([task], epoch), choice);
      return choice === undefined;
    });
    return firstUnplacedIndex < 0 ? due.length : firstUnplacedIndex;
  }

  /**
   * Places all members of a gang or none, because part of a gang would take room and do no work.
   */
  #placeGang(task: TaskRecord, key: string, dueCount: number): number {
    const occurrence = task.submission.occurrences.get(task.occurrence);
    const members = occurrence?.tasks[task.stepIndex] ?? [];
    const { registry, misses, epoch } = this.#input;
    if (occurrence === undefined || members.some((member) => !registry.waiting.has(member)))
      return dueCount;
    const { serviceName, views, context } = this.#usable.poolOf(task, this.#configuration);
    const changedViews = misses.candidates(occurrence, key, serviceName, views, this.#nowMs);
    if (changedViews.length === 0) return dueCount;
    const run = nextRunNumber(members, epoch);
    const racks = task.step.prefersOneRack
      ? [...new Set(views.map((view) => view.entry.rack))]
      : [];
    const groups = racks.map((rack) => views.filter((view) => view.entry.rack === rack));
    const isPlaced = [...groups, views].some((group) => {
      const search = new WorkerSearch(group, context, this.#nowMs);
      const isComplete = this.#placeAll(members, run, search);
      this.ratingCount += search.ratingCount;
      return isComplete;
    });
    if (!isPlaced) misses.recordMiss(occurrence, key, this.#nowMs);
    return isPlaced ? 0 : dueCount;
  }

  #placeAll(members: readonly TaskRecord[], run: number, search: WorkerSearch): boolean {
    const assigned: TaskRun[] = [];
    const isComplete = members.every((member) => {
      const choice = search.next(member);
      if (choice === undefined) return false;
      assigned.push(this.#assign(member, run, choice));
      return true;
    });
    if (!isComplete) assigned.forEach((assignedRun) => this.#unassign(assignedRun));
    return isComplete;
  }

  #assign(task: TaskRecord, number: number, choice: PlacementChoice): TaskRun {
    const run = assignRun(this.#input, task, number, choice, this.#nowMs);
    this.placed.push(run);
    return run;
  }

  #unassign(run: TaskRun): void {
    const { task, workerId } = run;
    const { waitingSinceMs } = task;
    this.#input.views.get(workerId)?.removeRun(run);
    this.#input.registry.removeRun(run, this.#nowMs);
    task.waitingSinceMs = waitingSinceMs;
    this.placed.splice(this.placed.indexOf(run), 1);
  }
}

/** Interrupted tasks are in groups of their own. A queue order has to put these groups first. */
const isOfInterrupted = ({ tasks }: TaskGroup): boolean => {
  const [first] = tasks;
  return first !== undefined && isInterrupted(first);
};

/**
 * Places waiting tasks on workers. Their starts are sent after the assignments are stored. Calls
 * `afterInterrupted` after the round has tried to place the interrupted tasks.
 */
export const placeWaiting = (
  input: RoundInput,
  limits: RoundLimits,
  afterInterrupted: () => void,
  nowMs: number,
): RoundOutcome => {
  const { configuration } = input.operator;
  if (configuration === undefined || input.registry.waiting.size === 0) {
    afterInterrupted();
    return NOTHING_PLACED;
  }
  const round = new PlacementRound(input, configuration, limits, nowMs);
  const groups = input.policy.order.sort(input.registry.waiting.groups, configuration, nowMs);
  const firstOtherIndex = groups.findIndex((group) => !isOfInterrupted(group));
  const interruptedCount = firstOtherIndex < 0 ? groups.length : firstOtherIndex;
  groups.slice(0, interruptedCount).forEach((group) => round.place(group));
  afterInterrupted();
  groups.slice(interruptedCount).forEach((group) => round.place(group));
  const { waits, ratingCount, placed, usableViews } = round;
  return { waits, ratingCount, startCount: placed.length, usableViews };
};
