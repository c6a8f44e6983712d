/** Draws the submissions of the soak: short chains of steps, and persistent tasks. */
import type { RandomSource } from '../../../src/base/common/random.js';
import type { SoakStep, SoakSubmission } from './soakTypes.js';

const ID_DIGITS = 16;
const SIZE = { processorMillis: 1_000, memoryMegabytes: 500 };
const MAXIMUM_STEP_COUNT = 3;
const MAXIMUM_TASK_COUNT = 5;
const WORK_MS = { least: 50, spread: 1_650 };

const drawId = (random: RandomSource): string =>
  Array.from({ length: ID_DIGITS }, () => random.nextIndex(16).toString(16)).join('');

const drawStep = (random: RandomSource, index: number, isPersistent: boolean): SoakStep => ({
  taskCount: 1 + random.nextIndex(MAXIMUM_TASK_COUNT),
  size: SIZE,
  after: index === 0 ? [] : [index - 1],
  workMs: WORK_MS.least + random.nextIndex(WORK_MS.spread),
  isPersistent,
});

/** More tasks than one row of the store describes. */
const LARGE_STEP = {
  ...{ taskCount: 1_100, size: { processorMillis: 5, memoryMegabytes: 1 }, after: [] },
  ...{ workMs: 300, isPersistent: false },
};
const LARGE_RATIO = 0.01;

export const drawSubmission = (random: RandomSource, isPersistent: boolean): SoakSubmission => {
  if (!isPersistent && random.nextFraction() < LARGE_RATIO) {
    return { id: drawId(random), steps: [LARGE_STEP] };
  }
  const stepCount = isPersistent ? 1 : 1 + random.nextIndex(MAXIMUM_STEP_COUNT);
  const steps = Array.from({ length: stepCount }, (_, index) =>
    drawStep(random, index, isPersistent),
  );
  return { id: drawId(random), steps };
};

/** A submission of one task that fails whenever it runs. */
export const drawFailing = (random: RandomSource): SoakSubmission => ({
  id: drawId(random),
  steps: [{ ...drawStep(random, 0, false), taskCount: 1, isFailing: true }],
});

/** Converts a submission to its JSON body. */
export const toBody = ({ id, steps }: SoakSubmission): unknown => ({
  Spec: `spec of ${id}`,
  Steps: steps.map((step) => ({
    Count: step.taskCount,
    Cpu: step.size.processorMillis,
    MemMb: step.size.memoryMegabytes,
    EstimateMs: step.workMs,
    After: step.after,
    Persistent: step.isPersistent,
  })),
});
