/**
 * Limits the rate at which the owner starts tasks, for an owner whose processor can handle fewer
 * starts than are requested. Each start costs the owner calls and answers, and calls that queue in
 * its event loop delay the renewals of leases. The limiter reduces the rate until steps run on time
 * again. Running tasks then continue, and the tasks first in the queue get the room.
 */

/**
 * The lag of a window is that of its most punctual step. A wave of answers delays some steps even
 * if the processor has spare time; a standing queue delays all of them.
 */
const WINDOW_MS = 250;
/** The weight of a window in the moving average of answered starts per second. */
const ANSWERED_WEIGHT = 0.7;
/** If all steps of a window begin at least this late, the processor is overloaded. */
const OVERLOAD_LAG_MS = 60;
/** Up to this lag, the processor has spare time. */
const PUNCTUAL_LAG_MS = 30;
const INITIAL_PER_S = 200;
/** Limits the rate to this multiple of the rate of answered starts. */
const CEILING_FACTOR = 2;
const LEAST_PER_S = 20;
const GREATEST_PER_S = 5_000;
/** The largest burst of starts after a time without any, as time at the current rate. */
const BURST_MS = 150;
const LEAST_BURST = 10;
/**
 * The time between two cuts, because the starts from before a cut still have to be handled. A
 * growing lag allows an earlier cut.
 */
const CUT_INTERVAL_MS = 1_000;
/** A cut goes below the rate of answered starts, so that the queue in the event loop shrinks. */
const CUT_SHARE = 0.8;
const MILDEST_CUT_SHARE = 0.9;
/** Limits a cut for an owner that has just begun or was frozen, which has few answered starts. */
const DEEPEST_CUT_SHARE = 0.5;
/**
 * The growth of the rate in a second as a share of itself, normally and for a while after a cut.
 */
const GROWTH_PER_S = 3;
const RECOVERY_GROWTH_PER_S = 0.15;
const RECOVERY_MS = 2_000;
const MS_PER_S = 1_000;

export class StartRateLimiter {
  #ratePerS = INITIAL_PER_S;

  #tokens = (INITIAL_PER_S * BURST_MS) / MS_PER_S;

  #refilledAtMs: number | undefined;

  #cutAtMs = Number.NEGATIVE_INFINITY;

  /** The lag that caused the last cut. */
  #cutLagMs = 0;

  /** The smallest lag of a step in the current window. */
  #leastLagMs = Number.POSITIVE_INFINITY;

  #windowBeganAtMs: number | undefined;

  /** The starts answered in the current window. */
  #answeredCount = 0;

  /** The moving average of answered starts per second. */
  #answeredPerS = 0;

  #isPunctual = true;

  /** The current limit of starts per second. */
  get limitPerS(): number {
    return this.#ratePerS;
  }

  /** The number of starts that may be sent now. */
  allowance(nowMs: number): number {
    this.#refill(nowMs);
    return Math.floor(this.#tokens);
  }

  take(count: number): void {
    this.#tokens -= count;
  }

  /** Records that a start has been answered or has failed. */
  noteAnswered(): void {
    this.#answeredCount += 1;
  }

  /** Records that a step due at `dueAtMs` begins. Returns whether the limit has been cut. */
  handleStep(dueAtMs: number, nowMs: number): boolean {
    this.#refill(nowMs);
    this.#leastLagMs = Math.min(this.#leastLagMs, nowMs - dueAtMs);
    this.#windowBeganAtMs ??= nowMs;
    const windowMs = nowMs - this.#windowBeganAtMs;
    if (windowMs < WINDOW_MS) return false;
    const lagMs = this.#leastLagMs;
    const answeredPerS = (this.#answeredCount * MS_PER_S) / windowMs;
    this.#answeredPerS += (answeredPerS - this.#answeredPerS) * ANSWERED_WEIGHT;
    this.#leastLagMs = Number.POSITIVE_INFINITY;
    this.#answeredCount = 0;
    this.#windowBeganAtMs = nowMs;
    this.#isPunctual = lagMs <= PUNCTUAL_LAG_MS;
    return lagMs >= OVERLOAD_LAG_MS && this.#isUsed && this.#cut(lagMs, nowMs);
  }

  #cut(lagMs: number, nowMs: number): boolean {
    const isWorse = lagMs > this.#cutLagMs;
    if (!isWorse && nowMs - this.#cutAtMs < CUT_INTERVAL_MS) return false;
    this.#cutLagMs = lagMs;
    this.#cutAtMs = nowMs;
    const handledPerS = this.#answeredPerS * CUT_SHARE;
    const lowestPerS = Math.max(LEAST_PER_S, this.#ratePerS * DEEPEST_CUT_SHARE);
    this.#ratePerS = Math.max(
      lowestPerS,
      Math.min(this.#ratePerS * MILDEST_CUT_SHARE, handledPerS),
    );
    this.#tokens = Math.min(this.#tokens, this.#greatestBurst);
    return true;
  }

  /** Whether starts use up the rate. An unused rate does not show what the processor can handle. */
  get #isUsed(): boolean {
    return this.#tokens < this.#greatestBurst / 2;
  }

  get #greatestBurst(): number {
    return Math.max(LEAST_BURST, (this.#ratePerS * BURST_MS) / MS_PER_S);
  }

  #refill(nowMs: number): void {
    const passedS = Math.max(0, nowMs - (this.#refilledAtMs ?? nowMs)) / MS_PER_S;
    this.#refilledAtMs = nowMs;
    const isRecovering = nowMs - this.#cutAtMs < RECOVERY_MS;
    const growthPerS = isRecovering ? RECOVERY_GROWTH_PER_S : GROWTH_PER_S;
    const handledPerS = Math.min(GREATEST_PER_S, this.#answeredPerS * CEILING_FACTOR);
    const ceilingPerS = Math.max(INITIAL_PER_S, handledPerS);
    if (this.#isPunctual && this.#isUsed && this.#ratePerS < ceilingPerS) {
      this.#ratePerS = Math.min(ceilingPerS, this.#ratePerS * (1 + growthPerS * passedS));
    }
    this.#tokens = Math.min(this.#greatestBurst, this.#tokens + this.#ratePerS * passedS);
  }
}
