/** Decides when the scheduler gives up a batch task that keeps failing. */

/** Weight of a failure on a worker where other jobs succeed: the job is the likely cause. */
const CREDIBLE_FAILURE_WEIGHT = 4;
/**
 * Weight of a failure on a worker where other jobs fail too. It is not zero, so that retries end.
 */
const DOUBTFUL_FAILURE_WEIGHT = 1;
/** Five credible failures, or twenty doubtful ones, which the backoff spreads over two minutes. */
const GIVEN_UP_WEIGHT = 20;

/** The failure weight of a task after one more failure. */
export const withFailureWeight = (weight: number, isCredible: boolean): number =>
  weight + (isCredible ? CREDIBLE_FAILURE_WEIGHT : DOUBTFUL_FAILURE_WEIGHT);

/**
 * Whether a task with this failure weight is given up. A job that can never run must fail after a
 * bounded number of attempts. Good jobs must survive a period in which most workers of a cell fail
 * everything.
 */
export const isGivenUp = (weight: number): boolean => weight >= GIVEN_UP_WEIGHT;

/** The number of credible failures that the weight corresponds to, for the retry backoff. */
export const toFailureCount = (weight: number): number =>
  Math.ceil(weight / CREDIBLE_FAILURE_WEIGHT);
