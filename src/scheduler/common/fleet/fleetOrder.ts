/** Determines the order in which waiting tasks are placed. */
import type { FleetConfiguration } from '../../../services/fleet/common/fleetConfiguration.js';
import type { Step, Submission } from '../../../services/submissions/common/submission.js';
import { queueTermsOf } from './queueTerms.js';
import {
  countInSizeBalance,
  isInterrupted,
  taskProcessorMs,
  type TaskRecord,
} from './taskRecords.js';
import type { TaskGroup } from './waitingTasks.js';

/** A result that takes longer than this many times the objective is worthless to its caller. */
export const WORTHLESS_FACTOR = 3;
/** The share of a submission's value that does not depend on its amount of work. */
const FIXED_VALUE_SHARE = 0.3;
/** A task that has waited for this share of its slack is considered held up by a backlog. */
const HELD_UP_SHARE = 0.15;

/** For each step, the longest chain of work that starts with it, by the callers' estimates. */
const computeChainsMs = (submission: Submission): readonly number[] => {
  const chains = submission.steps.map(({ estimateMs }) => estimateMs);
  // Steps depend only on earlier steps, so a step's successors are complete when it is reached.
  for (let index = submission.steps.length - 1; index >= 0; index -= 1) {
    const { after } = submission.steps[index] as Step;
    after.forEach((earlier) => {
      const estimateMs = submission.steps[earlier]?.estimateMs ?? 0;
      chains[earlier] = Math.max(chains[earlier] ?? 0, estimateMs + (chains[index] ?? 0));
    });
  }
  return chains;
};

/** Cached chains of waiting submissions, because every round needs them. */
const chainCache = new WeakMap<Submission, readonly number[]>();

const chainsMsOf = (submission: Submission): readonly number[] => {
  const known = chainCache.get(submission);
  if (known !== undefined) return known;
  const chains = computeChainsMs(submission);
  chainCache.set(submission, chains);
  return chains;
};

/** The duration of the submission's longest chain of work, by the callers' estimates. */
export const chainEstimateMs = (submission: Submission): number =>
  Math.max(0, ...chainsMsOf(submission));

/** How long callers want the submission to take, from its acceptance to its end. */
export const objectiveMsOf = (
  submission: Submission,
  configuration: FleetConfiguration,
): number => {
  const { objectiveStretch, objectiveMs } = queueTermsOf(submission, configuration);
  return objectiveStretch * chainEstimateMs(submission) + objectiveMs;
};

/** How useful the result of a task that starts now is to its caller. */
const Usefulness = { InTime: 0, Late: 1, None: 2 } as const;
type Usefulness = (typeof Usefulness)[keyof typeof Usefulness];

/** Persistent tasks that have run before, batch tasks, and persistent tasks that are new. */
const TaskClass = { Interrupted: 0, Batch: 1, New: 2 } as const;
type TaskClass = (typeof TaskClass)[keyof typeof TaskClass];

interface Rank {
  readonly usefulness: Usefulness;
  readonly priority: number;
  readonly taskClass: TaskClass;
  readonly isHeldUp: boolean;
  /** Whether the submission has a reservation because too few of its size are served. */
  readonly isReserved: boolean;
  /** The value of the submission per unit of remaining work. */
  readonly valueDensity: number;
}

/** A group of waiting tasks with its first task, whose rank applies to the whole group. */
interface RankedGroup {
  readonly group: TaskGroup;
  readonly first: TaskRecord;
  readonly rank: Rank;
}

const usefulnessOf = (task: TaskRecord, objectiveMs: number, nowMs: number): Usefulness => {
  if (task.step.isPersistent) return Usefulness.InTime;
  const { submission, learntAtMs } = task.submission;
  const endsAtMs = nowMs + (chainsMsOf(submission)[task.stepIndex] ?? 0);
  if (endsAtMs <= learntAtMs + objectiveMs) return Usefulness.InTime;
  // Only the task's own estimate counts: chains are imprecise, and work near its end is not dropped.
  const ownEndMs = nowMs + task.step.estimateMs;
  return ownEndMs <= learntAtMs + WORTHLESS_FACTOR * objectiveMs
    ? Usefulness.Late
    : Usefulness.None;
};

const taskClassOf = (task: TaskRecord): TaskClass => {
  if (!task.step.isPersistent) return TaskClass.Batch;
  return isInterrupted(task) ? TaskClass.Interrupted : TaskClass.New;
};

const valueDensity = ({ submission, occurrence }: TaskRecord): number => {
  const { processorMs, queueWork } = submission;
  const openCounts = submission.occurrences.get(occurrence)?.openCounts ?? [];
  let remainingMs = 0;
  submission.submission.steps.forEach((step, index) => {
    remainingMs += (openCounts[index] ?? 0) * taskProcessorMs(step);
  });
  const meanMs = queueWork.processorMs / Math.max(1, queueWork.count);
  const value = FIXED_VALUE_SHARE * meanMs + (1 - FIXED_VALUE_SHARE) * processorMs;
  return value / Math.max(1, remainingMs);
};

/** The waiting time from which a task counts as held up by a backlog. */
const heldUpAfterMs = (chainMs: number, objectiveMs: number): number =>
  HELD_UP_SHARE * (objectiveMs - chainMs);

const toRank = (task: TaskRecord, configuration: FleetConfiguration, nowMs: number): Rank => {
  const { submission } = task.submission;
  const { priority } = queueTermsOf(submission, configuration);
  const chainMs = chainEstimateMs(submission);
  const objectiveMs = objectiveMsOf(submission, configuration);
  return {
    usefulness: usefulnessOf(task, objectiveMs, nowMs),
    priority,
    taskClass: taskClassOf(task),
    isHeldUp: nowMs - task.waitingSinceMs >= heldUpAfterMs(chainMs, objectiveMs),
    isReserved: task.submission.isReserved,
    valueDensity: valueDensity(task),
  };
};

/** Gives reservations to large submissions if too few of their size are served, in rank order. */
const reserveForLarge = (ranked: readonly RankedGroup[]): readonly RankedGroup[] =>
  ranked.map((rankedGroup) => {
    const { first, rank } = rankedGroup;
    const { submission } = first;
    const { balance } = submission.queueWork;
    if (first.step.isPersistent) return rankedGroup;
    if (rank.isHeldUp) countInSizeBalance(submission);
    if (submission.isReserved && rank.usefulness === Usefulness.None) {
      submission.isReserved = false;
      balance.release(submission.sizeClass);
    } else if (!submission.isReserved) {
      const isDue = rank.isHeldUp && rank.usefulness === Usefulness.InTime;
      submission.isReserved = isDue && balance.reserve(submission.sizeClass);
    }
    return { ...rankedGroup, rank: { ...rank, isReserved: submission.isReserved } };
  });

const compareRanks = (left: RankedGroup, right: RankedGroup): number => {
  const [rank, otherRank] = [left.rank, right.rank];
  const [task, otherTask] = [left.first, right.first];
  return (
    Number(otherRank.taskClass === TaskClass.Interrupted) -
      Number(rank.taskClass === TaskClass.Interrupted) ||
    Number(rank.usefulness === Usefulness.None) -
      Number(otherRank.usefulness === Usefulness.None) ||
    rank.priority - otherRank.priority ||
    rank.usefulness - otherRank.usefulness ||
    rank.taskClass - otherRank.taskClass ||
    Number(otherRank.isReserved) - Number(rank.isReserved) ||
    otherRank.valueDensity - rank.valueDensity ||
    task.submission.order - otherTask.submission.order ||
    task.position - otherTask.position
  );
};

/** The order in which groups of waiting tasks are placed. */
export interface QueueOrder {
  sort(
    groups: readonly TaskGroup[],
    configuration: FleetConfiguration,
    nowMs: number,
  ): readonly TaskGroup[];
}

/**
 * Handles bursts that exceed the fleet's capacity for seconds. In order of arrival, one burst would
 * make everything after it late as well until the backlog is gone.
 *
 * Tasks whose result is worthless by now come last. Within a priority, tasks that will be late come
 * after tasks that can still be in time. After that, the highest value per unit of remaining work
 * comes first, which leaves few submissions unfinished in a backlog. This alone would starve the
 * largest submissions, so they get reservations and come first while too few of them are served.
 * Persistent tasks come after batch tasks because they never release their room. Interrupted
 * persistent tasks come before everything else because their users are without service.
 */
export class UtilityOrder implements QueueOrder {
  sort(
    groups: readonly TaskGroup[],
    configuration: FleetConfiguration,
    nowMs: number,
  ): readonly TaskGroup[] {
    const ranked = groups.flatMap((group): readonly RankedGroup[] => {
      const [first] = group.tasks;
      return first === undefined
        ? []
        : [{ group, first, rank: toRank(first, configuration, nowMs) }];
    });
    return [...reserveForLarge(ranked.sort(compareRanks))]
      .sort(compareRanks)
      .map(({ group }) => group);
  }
}
