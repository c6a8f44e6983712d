/** Checks a submission before any part of it is stored. */
import type { Step, Submission } from './submission.js';

const MAXIMUM_SPEC_BYTES = 4_000;
/** Far above any real submission; bounds the memory that one request takes on the scheduler. */
export const MAXIMUM_TASKS = 10_000;

const isWholeNumber = (value: number): boolean => Number.isSafeInteger(value) && value >= 0;

const stepFault = (step: Step, index: number): string | undefined => {
  const { processorMillis, memoryBytes, acceleratorCount } = step.size;
  if (!isWholeNumber(step.taskCount) || step.taskCount < 1) return `step ${index} has no tasks`;
  if (![processorMillis, memoryBytes, acceleratorCount].every(isWholeNumber)) {
    return `step ${index} has a size that is no amount`;
  }
  if (step.after.some((earlier) => !isWholeNumber(earlier) || earlier >= index)) {
    return `step ${index} waits for a step that does not come before it`;
  }
  return undefined;
};

/** Returns a sentence about the first fault, or undefined if the submission can be stored. */
export const submissionFault = (submission: Submission): string | undefined => {
  if (submission.steps.length === 0) return 'the submission has no steps';
  if (submission.spec.length > MAXIMUM_SPEC_BYTES) return 'the spec is too long';
  const taskCount = submission.steps.reduce((sum, step) => sum + step.taskCount, 0);
  if (taskCount > MAXIMUM_TASKS) return 'the submission has too many tasks';
  return submission.steps.map(stepFault).find((fault) => fault !== undefined);
};
