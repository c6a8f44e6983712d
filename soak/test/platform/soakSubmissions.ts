/** Submissions of the soak: short chains of steps, and tasks that last. */
import type { RandomSource } from '../../../src/base/common/random.js';
import type { SoakStep, SoakSubmission } from './soakTypes.js';

const ID_DIGITS = 16;
const SIZE = { processorMillis: 1_000, memoryMegabytes: 500 };
const STEPS = 3;
const TASKS = 5;
const WORK_MS = { least: 200, spread: 1_500 };

const drawId = (random: RandomSource): string =>
  Array.from({ length: ID_DIGITS }, () => random.nextIndex(16).toString(16)).join('');

const drawStep = (random: RandomSource, index: number, isPersistent: boolean): SoakStep => ({
  taskCount: 1 + random.nextIndex(TASKS),
  size: SIZE,
  after: index === 0 ? [] : [index - 1],
  workMs: WORK_MS.least + random.nextIndex(WORK_MS.spread),
  isPersistent,
});

export const drawSubmission = (random: RandomSource, isLasting: boolean): SoakSubmission => {
  const stepCount = isLasting ? 1 : 1 + random.nextIndex(STEPS);
  const steps = Array.from({ length: stepCount }, (_, index) => drawStep(random, index, isLasting));
  return { id: drawId(random), steps };
};

/** As the platform writes it. */
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
