/** Plays random lists of steps until enough were played, and shrinks the first list that fails. */
import fc from 'fast-check';

import type { FleetWorld } from '../fleetWorld.js';
import { type ExplorationStep, type FaultName } from './faults.js';
import { type PlayResult, playSteps, SCHEDULER_COUNT, WORKER_COUNT } from './playSteps.js';

const STEPS_PER_RUN = 60;
const LARGEST_SEED = 0x7fffffff;
/** Limits the plays that fast-check may use to simplify steps. */
const MAXIMUM_PLAY_COUNT = 150;
/** Processes that restart sooner than this hit a fault that is already known. */
const SHORTEST_FAULT_MS = 300;
const LONGEST_FAULT_MS = 9_000;
const LARGEST_SHARE_PERCENT = 30;
const MAXIMUM_TASK_COUNT = 3;
const LONGEST_WORK_MS = 5_000;
const LONGEST_SPAN_MS = 1_500;

export interface ExplorerOptions {
  readonly seed: number;
  readonly stepCount: number;
  readonly faults: readonly FaultName[];
  /** Called before each run; a test may introduce a defect with it. */
  readonly prepare?: (world: FleetWorld) => void;
}

export interface Finding {
  /** Seed of the run that failed. */
  readonly seed: number;
  readonly steps: readonly ExplorationStep[];
  readonly broken: readonly string[];
}

export interface ExplorationReport {
  readonly orderCount: number;
  readonly finding: Finding | undefined;
}

const indexesBelow = (count: number): fc.Arbitrary<number[]> =>
  fc.uniqueArray(fc.nat({ max: count - 1 }), { maxLength: count, size: 'max' });

const stepOf = (faults: readonly FaultName[]): fc.Arbitrary<ExplorationStep> =>
  fc.record({
    fault: fc.constantFrom<FaultName>('calm', ...faults.filter((name) => name !== 'calm')),
    workerIndexes: indexesBelow(WORKER_COUNT),
    schedulerIndexes: indexesBelow(SCHEDULER_COUNT),
    durationMs: fc.integer({ min: SHORTEST_FAULT_MS, max: LONGEST_FAULT_MS }),
    sharePercent: fc.integer({ min: 0, max: LARGEST_SHARE_PERCENT }),
    taskCount: fc.integer({ min: 0, max: MAXIMUM_TASK_COUNT }),
    workMs: fc.integer({ min: 100, max: LONGEST_WORK_MS }),
    spanMs: fc.integer({ min: 10, max: LONGEST_SPAN_MS }),
  });

interface ExplorationRun {
  readonly playedCount: number;
  readonly orderCount: number;
  readonly finding: Finding | undefined;
}

type Play = (steps: readonly ExplorationStep[]) => Promise<PlayResult>;

/** Removes steps that the failure does not need: halves first, single steps last. */
const removeUnneededSteps = async (
  play: Play,
  failing: readonly ExplorationStep[],
): Promise<readonly ExplorationStep[]> => {
  let steps = failing;
  let size = Math.ceil(steps.length / 2);
  let isSmaller = true;
  while (size > 1 || isSmaller) {
    if (!isSmaller) size = Math.ceil(size / 2);
    isSmaller = false;
    for (let end = steps.length; end > 0; end -= size) {
      const shorter = [...steps.slice(0, Math.max(0, end - size)), ...steps.slice(end)];
      // eslint-disable-next-line no-await-in-loop -- each list depends on the previous result
      if (shorter.length > 0 && (await play(shorter)).broken.length > 0) {
        steps = shorter;
        isSmaller = true;
      }
    }
  }
  return steps;
};

/** Removes unneeded steps, then lets fast-check simplify the others. */
const shrink = async (
  seed: number,
  lists: fc.Arbitrary<ExplorationStep[]>,
  play: Play,
  failing: readonly ExplorationStep[],
): Promise<Finding> => {
  const neededSteps = await removeUnneededSteps(play, failing);
  let playCount = 0;
  const property = fc.asyncProperty(lists, async (list) => {
    playCount += 1;
    return playCount > MAXIMUM_PLAY_COUNT || (await play(list)).broken.length === 0;
  });
  const { counterexample } = await fc.check(property, {
    numRuns: 1,
    examples: [[[...neededSteps]]],
  });
  // Simplified steps may need fewer other steps.
  const steps = await removeUnneededSteps(play, counterexample?.[0] ?? neededSteps);
  return { seed, steps, broken: (await play(steps)).broken };
};

const exploreOnce = async (
  seed: number,
  lists: fc.Arbitrary<ExplorationStep[]>,
  play: Play,
): Promise<ExplorationRun> => {
  const [steps = []] = fc.sample(lists, { seed, numRuns: 1, unbiased: true });
  const { orderCount, broken } = await play(steps);
  const finding = broken.length > 0 ? await shrink(seed, lists, play, steps) : undefined;
  return { playedCount: steps.length, orderCount, finding };
};

export const explore = async ({
  seed,
  stepCount,
  faults,
  prepare,
}: ExplorerOptions): Promise<ExplorationReport> => {
  const step = stepOf(faults);
  const play: Play = (list) => playSteps(list, prepare);
  let orderCount = 0;
  let remainingStepCount = stepCount;
  for (let round = 0; remainingStepCount > 0; round += 1) {
    const runSeed = (seed + round) % (LARGEST_SEED + 1);
    const maxLength = Math.min(STEPS_PER_RUN, remainingStepCount);
    const lists = fc.array(step, { minLength: 1, maxLength, size: 'max' });
    // eslint-disable-next-line no-await-in-loop -- one run at a time
    const run = await exploreOnce(runSeed, lists, play);
    orderCount += run.orderCount;
    remainingStepCount -= run.playedCount;
    if (run.finding !== undefined) return { orderCount, finding: run.finding };
  }
  return { orderCount, finding: undefined };
};

/** Returns the source of a test that replays the steps. */
export const replayOf = ({ seed, steps, broken }: Finding): string =>
  [
    ...broken.map((sentence) => `// ${sentence}`),
    "import { expect, it } from 'vitest';",
    '',
    "import { playSteps } from './playSteps.js';",
    '',
    `it('keeps its promises in the run of seed ${seed}', async () => {`,
    '  const { broken } = await playSteps([',
    ...steps.map((step) => `    ${JSON.stringify(step)},`),
    '  ]);',
    '  expect(broken).toEqual([]);',
    '});',
  ].join('\n');
