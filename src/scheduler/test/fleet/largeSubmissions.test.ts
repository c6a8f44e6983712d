import { afterAll, beforeAll, describe, expect, it, vi } from 'vitest';

import { SeededRandom } from '../../../base/common/random.js';
import type { Submission } from '../../../services/submissions/common/submission.js';
import { BusyFleet, type Costs } from './busyFleet.js';
import { CONFIGURATION, STEP, submissionOf } from './fleetFixtures.js';

const NO_COSTS: Costs = { sendMs: 0, answerMs: 0, connectMs: 0, stepMs: 0, rowMs: 0 };
const SEEDS = [1, 3, 4];
const WORKER_COUNT = 20;
const DURATION_S = 30;
const TASK_MS = 500;
/** Twice as much work as the workers can do. */
const SUBMISSIONS_PER_S = 16;
const STEP_COUNT = 2;
const MEAN_TASKS = 10;
const SIZE_SIGMA = 0.6;
const MAXIMUM_TASKS = 40;
const POLL_MS = 100;
/** A result that takes longer than this many times the objective is worthless. */
const WORTHLESS_FACTOR = 3;

const [QUEUE] = CONFIGURATION.queues as [(typeof CONFIGURATION.queues)[number]];
const OBJECTIVE_MS = QUEUE.objectiveStretch * STEP_COUNT * TASK_MS + QUEUE.objectiveMs;

/** Draws the number of tasks per step from a log-normal distribution. */
const taskCountFrom = (random: SeededRandom): number => {
  const normal =
    Math.sqrt(-2 * Math.log(1 - random.nextFraction())) *
    Math.cos(2 * Math.PI * random.nextFraction());
  const drawn = MEAN_TASKS * Math.exp(SIZE_SIGMA * normal - SIZE_SIGMA ** 2 / 2);
  return Math.min(MAXIMUM_TASKS, Math.max(1, Math.round(drawn)));
};

const newSubmission = (random: SeededRandom, index: number): Submission => {
  const taskCount = taskCountFrom(random);
  const steps = Array.from({ length: STEP_COUNT }, (_, stepIndex) => ({
    ...STEP,
    ...{ taskCount, estimateMs: TASK_MS, after: stepIndex === 0 ? [] : [stepIndex - 1] },
  }));
  return submissionOf(index.toString(16).padStart(16, '0'), steps);
};

const sizeOf = ({ steps }: Submission): number =>
  steps.reduce((sum, { taskCount }) => sum + taskCount, 0);

describe.each(SEEDS)('a long backlog (seed %i)', (seed) => {
  const sentAtMs = new Map<Submission, number>();
  const served = new Set<Submission>();

  const runBacklog = async (): Promise<void> => {
    const fleet = new BusyFleet(WORKER_COUNT, () => TASK_MS);
    const random = new SeededRandom(seed);
    fleet.simulator.stubTimers();
    fleet.addDaemon('owner', NO_COSTS);
    const endMs = DURATION_S * 1_000 + WORTHLESS_FACTOR * OBJECTIVE_MS;
    for (let atMs = POLL_MS; atMs <= endMs; atMs += POLL_MS) {
      // eslint-disable-next-line no-await-in-loop
      await fleet.simulator.runUntil(atMs);
      sentAtMs.forEach((sentMs, submission) => {
        const isInTime = atMs - sentMs <= WORTHLESS_FACTOR * OBJECTIVE_MS;
        if (isInTime && fleet.progress(submission.id)?.state === 'complete') served.add(submission);
      });
      const wantedCount = Math.min(DURATION_S, atMs / 1_000) * SUBMISSIONS_PER_S;
      while (sentAtMs.size < wantedCount) {
        const submission = newSubmission(random, sentAtMs.size);
        sentAtMs.set(submission, atMs);
        fleet.submit(submission);
      }
    }
  };

  /** The served share of the submissions between two ranks by size, largest first. */
  const shareServed = (fromRank: number, toRank: number): number => {
    const bySize = [...sentAtMs.keys()].sort((one, other) => sizeOf(other) - sizeOf(one));
    const selected = bySize.slice(bySize.length * fromRank, bySize.length * toRank);
    return selected.filter((submission) => served.has(submission)).length / selected.length;
  };

  beforeAll(runBacklog);
  afterAll(() => vi.unstubAllGlobals());

  it('does not starve the largest tenth of the submissions', () => {
    expect(shareServed(0, 0.1)).toBeGreaterThanOrEqual(0.5 * shareServed(0, 1));
  });

  it('does not starve the fifth below the largest tenth', () => {
    expect(shareServed(0.1, 0.3)).toBeGreaterThanOrEqual(0.5 * shareServed(0, 1));
  });

  it('is processed near the capacity of the workers', () => {
    const doneTasks = [...served].reduce((sum, submission) => sum + sizeOf(submission), 0);
    const capacityTasks = (WORKER_COUNT * 4 * DURATION_S * 1_000) / TASK_MS;
    expect(doneTasks).toBeGreaterThanOrEqual(0.7 * capacityTasks);
  });
});
