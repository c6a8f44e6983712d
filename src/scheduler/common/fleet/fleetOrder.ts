/** In which order waiting tasks are given room. */
import {
  findQueueByName,
  type FleetConfiguration,
} from '../../../services/fleet/common/fleetConfiguration.js';
import type { Step, Submission } from '../../../services/submissions/common/submission.js';
import { countOnce, isInterrupted, taskProcessorMs, type TaskRecord } from './taskRecords.js';
import type { TaskGroup } from './waitingTasks.js';

/** An answer after this many times the objective is worth nothing to its caller. */
const WORTHLESS_FACTOR = 3;
/** The share of a submission's value that does not depend on its amount of work. */
const FIXED_VALUE_SHARE = 0.3;
/** A task that has waited for this share of the time that it can wait is held up by a backlog. */
const HELD_UP_SHARE = 0.15;

/** What is left to do from the start of each step on, by the callers' estimates. */
const chainsOf = (submission: Submission): readonly number[] => {
  const chains = submission.steps.map(({ estimateMs }) => estimateMs);
  // Steps name earlier ones only, so that those that follow are known when their turn comes.
  for (let index = submission.steps.length - 1; index >= 0; index -= 1) {
    const { after } = submission.steps[index] as Step;
    after.forEach((earlier) => {
      const estimateMs = submission.steps[earlier]?.estimateMs ?? 0;
      chains[earlier] = Math.max(chains[earlier] ?? 0, estimateMs + (chains[index] ?? 0));
    });
  }
  return chains;
};

/** Chains of submissions that wait; each is asked for in every round. */
const knownChains = new WeakMap<Submission, readonly number[]>();

const chainsFor = (submission: Submission): readonly number[] => {
  const known = knownChains.get(submission);
  if (known !== undefined) return known;
  const chains = chainsOf(submission);
  knownChains.set(submission, chains);
  return chains;
};

/** The longest chain of work by the callers' estimates. */
export const chainEstimateMs = (submission: Submission): number =>
  Math.max(0, ...chainsFor(submission));

/** What callers still have of a task that is started now. */
const Use = { InTime: 0, Late: 1, None: 2 } as const;
type Use = (typeof Use)[keyof typeof Use];

/** Persistent tasks that have run before, batch tasks, and persistent tasks that have not run yet. */
const TaskClass = { Interrupted: 0, Batch: 1, New: 2 } as const;
type TaskClass = (typeof TaskClass)[keyof typeof TaskClass];

interface Rank {
  readonly use: Use;
  readonly priority: number;
  readonly taskClass: TaskClass;
  readonly isHeldUp: boolean;
  /** Whether a place is reserved for the submission, as too few of its size are served. */
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

const useOf = (task: TaskRecord, objectiveMs: number, nowMs: number): Use => {
  if (task.step.isPersistent) return Use.InTime;
  const { submission, learntAtMs } = task.submission;
  const endsAtMs = nowMs + (chainsFor(submission)[task.stepIndex] ?? 0);
  if (endsAtMs <= learntAtMs + objectiveMs) return Use.InTime;
  // By its own estimate alone: chains are rough, and work that is nearly done is not given up.
  const ownEndMs = nowMs + task.step.estimateMs;
  return ownEndMs <= learntAtMs + WORTHLESS_FACTOR * objectiveMs ? Use.Late : Use.None;
};

const taskClassOf = (task: TaskRecord): TaskClass => {
  if (!task.step.isPersistent) return TaskClass.Batch;
  return isInterrupted(task) ? TaskClass.Interrupted : TaskClass.New;
};

const valueDensity = ({ submission, occurrence }: TaskRecord): number => {
  const { processorMs, queueWork } = submission;
  const openCounts = submission.occurrences.get(occurrence)?.openCounts ?? [];
  let leftMs = 0;
  submission.submission.steps.forEach((step, index) => {
    leftMs += (openCounts[index] ?? 0) * taskProcessorMs(step);
  });
  const meanMs = queueWork.processorMs / Math.max(1, queueWork.count);
  const value = FIXED_VALUE_SHARE * meanMs + (1 - FIXED_VALUE_SHARE) * processorMs;
  return value / Math.max(1, leftMs);
};

/** A task that waits for so long is held up by a backlog. */
const heldUpAfterMs = (chainMs: number, objectiveMs: number): number =>
  HELD_UP_SHARE * (objectiveMs - chainMs);

const toRank = (task: TaskRecord, configuration: FleetConfiguration, nowMs: number): Rank => {
  const { submission } = task.submission;
  const queue = findQueueByName(configuration, submission.queueName);
  const chainMs = chainEstimateMs(submission);
  const objectiveMs = (queue?.objectiveStretch ?? 1) * chainMs + (queue?.objectiveMs ?? 0);
  return {
    use: useOf(task, objectiveMs, nowMs),
    priority: queue?.priority ?? 0,
    taskClass: taskClassOf(task),
    isHeldUp: nowMs - task.waitingSinceMs >= heldUpAfterMs(chainMs, objectiveMs),
    isReserved: task.submission.isReserved,
    valueDensity: valueDensity(task),
  };
};

/** Reserves service for large submissions of which too few are served, the best ranked first. */
const reserveForLarge = (ranked: readonly RankedGroup[]): readonly RankedGroup[] =>
  ranked.map((one) => {
    const { first, rank } = one;
    const { submission } = first;
    const { balance } = submission.queueWork;
    if (first.step.isPersistent) return one;
    if (rank.isHeldUp) countOnce(submission);
    if (submission.isReserved && rank.use === Use.None) {
      submission.isReserved = false;
      balance.release(submission.sizeClass);
    } else if (!submission.isReserved) {
      const isDue = rank.isHeldUp && rank.use === Use.InTime;
      submission.isReserved = isDue && balance.reserve(submission.sizeClass);
    }
    return { ...one, rank: { ...rank, isReserved: submission.isReserved } };
  });

const byRank = (left: RankedGroup, right: RankedGroup): number => {
  const [one, other] = [left.rank, right.rank];
  const [task, otherTask] = [left.first, right.first];
  return (
    Number(other.taskClass === TaskClass.Interrupted) -
      Number(one.taskClass === TaskClass.Interrupted) ||
    Number(one.use === Use.None) - Number(other.use === Use.None) ||
    one.priority - other.priority ||
    one.use - other.use ||
    one.taskClass - other.taskClass ||
    Number(other.isReserved) - Number(one.isReserved) ||
    other.valueDensity - one.valueDensity ||
    task.submission.order - otherTask.submission.order ||
    task.place - otherTask.place
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
 * Made for bursts that exceed the room for seconds. What can no longer be of use to its caller
 * goes behind what can, and what will be late in any case behind what of its urgency can still be
 * in time: in the order of arrival one burst makes everything after it late as well, until the
 * backlog is gone. Among equals, the highest value per unit of remaining work comes first, which
 * leaves few submissions unfinished in a backlog. That alone would starve the largest ones, so
 * that they come first while too few of them are served. Persistent tasks never release their
 * room and come after batch tasks, except for interrupted ones, whose users are without service.
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
    return [...reserveForLarge(ranked.sort(byRank))].sort(byRank).map(({ group }) => group);
  }
}
