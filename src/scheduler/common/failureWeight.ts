/** When a batch task that keeps failing is given up. */

/** A failure on a worker that other jobs get on with tells against the job. */
const CREDIBLE_FAILURE_WEIGHT = 4;
/** One on a worker where other jobs fail too says little, but must not go on for ever. */
const DOUBTFUL_FAILURE_WEIGHT = 1;
/** Five credible failures, or twenty doubtful ones, which back-off spreads over two minutes. */
const GIVEN_UP_WEIGHT = 20;

/** What a task's failures weigh after one more. */
export const withFailureWeight = (weight: number, isCredible: boolean): number =>
  weight + (isCredible ? CREDIBLE_FAILURE_WEIGHT : DOUBTFUL_FAILURE_WEIGHT);

/**
 * Made for jobs that can never run, which must be told so after a bounded number of tries, and
 * for spells in which most workers of a cell fail everything, after which good jobs must run.
 */
export const isGivenUp = (weight: number): boolean => weight >= GIVEN_UP_WEIGHT;

/** Failures that the weight amounts to, for the back-off. */
export const toFailureCount = (weight: number): number =>
  Math.ceil(weight / CREDIBLE_FAILURE_WEIGHT);
