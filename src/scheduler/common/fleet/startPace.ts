/**
 * How many tasks may be started now. Made for an owner whose processor carries fewer starts than
 * are asked for: each start costs it calls and answers, and calls that pile up in its event loop
 * delay the renewals of leases. Starts are cut down until the loop is punctual again, so that what
 * runs goes on and the room is given to what comes first in the queue.
 */

/**
 * Lateness is judged by the most punctual step of a window: answers that come in a wave delay some
 * steps on a processor with time to spare, a standing queue delays all of them.
 */
const WINDOW_MS = 250;
/** Weight of a window in the rate of starts that are answered. */
const ANSWERED_WEIGHT = 0.7;
/** Steps that all begin so late show that more is asked of the processor than it has. */
const LATE_MS = 60;
/** Below this the processor has time to spare. */
const PUNCTUAL_MS = 30;
const INITIAL_PER_S = 200;
/** The rate grows no further beyond what has been worked off. */
const CEILING_FACTOR = 2;
const LEAST_PER_S = 20;
const GREATEST_PER_S = 5_000;
/** Starts that gather while none are wanted, as time at the present rate. */
const BURST_MS = 150;
const LEAST_BURST = 10;
/** What has been started before a cut still has to be worked off, unless the queue still grows. */
const CUT_INTERVAL_MS = 1_000;
/** A cut goes below the starts that the processor has worked off, so that the queue gets shorter. */
const CUT_SHARE = 0.8;
const MILDEST_CUT_SHARE = 0.9;
/** Of an owner that has just begun, or was frozen, hardly any starts have been answered. */
const DEEPEST_CUT_SHARE = 0.5;
/** By which part of itself the rate grows in a second, and for a while after a cut. */
const GROWTH_PER_S = 3;
const CAREFUL_GROWTH_PER_S = 0.15;
const CAREFUL_MS = 2_000;
const MS_PER_S = 1_000;

export class StartPace {
  #perS = INITIAL_PER_S;

  #tokens = (INITIAL_PER_S * BURST_MS) / MS_PER_S;

  #countedAtMs: number | undefined;

  #cutAtMs = Number.NEGATIVE_INFINITY;

  /** The lateness that brought the last cut. */
  #cutLateMs = 0;

  /** The least lateness in the present window. */
  #leastLateMs = Number.POSITIVE_INFINITY;

  #windowBeganAtMs: number | undefined;

  /** Starts answered in the present window, and a second over the last ones. */
  #answeredCount = 0;

  #answeredPerS = 0;

  #isPunctual = true;

  /** The present limit of starts a second. */
  get limitPerS(): number {
    return this.#perS;
  }

  /** How many starts may be sent now. */
  allowance(nowMs: number): number {
    this.#count(nowMs);
    return Math.floor(this.#tokens);
  }

  take(count: number): void {
    this.#tokens -= count;
  }

  /** A start has been answered, or is known to have failed. */
  noteAnswered(): void {
    this.#answeredCount += 1;
  }

  /** A step that was due at `dueAtMs` begins. Returns whether the limit has been cut. */
  handleStep(dueAtMs: number, nowMs: number): boolean {
    this.#count(nowMs);
    this.#leastLateMs = Math.min(this.#leastLateMs, nowMs - dueAtMs);
    this.#windowBeganAtMs ??= nowMs;
    const windowMs = nowMs - this.#windowBeganAtMs;
    if (windowMs < WINDOW_MS) return false;
    const lateMs = this.#leastLateMs;
    const answeredPerS = (this.#answeredCount * MS_PER_S) / windowMs;
    this.#answeredPerS += (answeredPerS - this.#answeredPerS) * ANSWERED_WEIGHT;
    this.#leastLateMs = Number.POSITIVE_INFINITY;
    this.#answeredCount = 0;
    this.#windowBeganAtMs = nowMs;
    this.#isPunctual = lateMs <= PUNCTUAL_MS;
    return lateMs >= LATE_MS && this.#isUsed && this.#cut(lateMs, nowMs);
  }

  #cut(lateMs: number, nowMs: number): boolean {
    const isWorse = lateMs > this.#cutLateMs;
    if (!isWorse && nowMs - this.#cutAtMs < CUT_INTERVAL_MS) return false;
    this.#cutLateMs = lateMs;
    this.#cutAtMs = nowMs;
    const carriedPerS = this.#answeredPerS * CUT_SHARE;
    const lowestPerS = Math.max(LEAST_PER_S, this.#perS * DEEPEST_CUT_SHARE);
    this.#perS = Math.max(lowestPerS, Math.min(this.#perS * MILDEST_CUT_SHARE, carriedPerS));
    this.#tokens = Math.min(this.#tokens, this.#greatestBurst);
    return true;
  }

  /** A rate that is not made use of tells nothing of what the processor carries. */
  get #isUsed(): boolean {
    return this.#tokens < this.#greatestBurst / 2;
  }

  get #greatestBurst(): number {
    return Math.max(LEAST_BURST, (this.#perS * BURST_MS) / MS_PER_S);
  }

  #count(nowMs: number): void {
    const passedS = Math.max(0, nowMs - (this.#countedAtMs ?? nowMs)) / MS_PER_S;
    this.#countedAtMs = nowMs;
    const isCareful = nowMs - this.#cutAtMs < CAREFUL_MS;
    const growthPerS = isCareful ? CAREFUL_GROWTH_PER_S : GROWTH_PER_S;
    const carriedPerS = Math.min(GREATEST_PER_S, this.#answeredPerS * CEILING_FACTOR);
    const ceilingPerS = Math.max(INITIAL_PER_S, carriedPerS);
    if (this.#isPunctual && this.#isUsed && this.#perS < ceilingPerS) {
      this.#perS = Math.min(ceilingPerS, this.#perS * (1 + growthPerS * passedS));
    }
    this.#tokens = Math.min(this.#greatestBurst, this.#tokens + this.#perS * passedS);
  }
}
