/** In which order waiting tasks are given room. */
import {
  findQueueByName,
  type FleetConfiguration,
} from '../../../services/fleet/common/fleetConfiguration.js';
import type { Step, Submission } from '../../../services/submissions/common/submission.js';
import type { TaskRecord } from './taskRecords.js';

/** An answer after this many times the objective is worth nothing to its caller. */
const WORTHLESS_FACTOR = 3;

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

interface Rank {
  readonly task: TaskRecord;
  readonly use: Use;
  readonly priority: number;
  readonly isPersistent: boolean;
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

const toRank = (task: TaskRecord, configuration: FleetConfiguration, nowMs: number): Rank => {
  const { submission } = task.submission;
  const queue = findQueueByName(configuration, submission.queueName);
  const stretch = queue?.objectiveStretch ?? 1;
  const objectiveMs = stretch * chainEstimateMs(submission) + (queue?.objectiveMs ?? 0);
  return {
    task,
    use: useOf(task, objectiveMs, nowMs),
    priority: queue?.priority ?? 0,
    isPersistent: task.step.isPersistent,
  };
};

const byRank = (left: Rank, right: Rank): number =>
  Number(left.use === Use.None) - Number(right.use === Use.None) ||
  left.priority - right.priority ||
  left.use - right.use ||
  Number(left.isPersistent) - Number(right.isPersistent) ||
  left.task.submission.order - right.task.submission.order ||
  left.task.place - right.task.place;

/**
 * Made for bursts that exceed the room for seconds. What can no longer be of use to its caller
 * goes behind what can, and what will be late in any case behind what of its urgency can still be
 * in time: in the order of arrival one burst makes everything after it late as well, until the
 * backlog is gone. Then short work before tasks that last: these hold their room for good.
 */
export const orderedTasks = (
  tasks: Iterable<TaskRecord>,
  configuration: FleetConfiguration,
  nowMs: number,
): readonly TaskRecord[] =>
  [...tasks]
    .filter(({ notBeforeMs }) => notBeforeMs <= nowMs)
    .map((task) => toRank(task, configuration, nowMs))
    .sort(byRank)
    .map(({ task }) => task);
