/**
 * How many tasks may be started now. Made for an owner whose processor carries fewer starts than
 * are asked for: each start costs it calls and answers, and calls that pile up in its event loop
 * delay the renewals of leases. Starts are cut down until the loop is punctual again, so that what
 * runs goes on and the room is given to what comes first in the queue.
 */

/** A step that begins so late shows that more is asked of the processor than it has. */
const LATE_MS = 110;
/** Below this the processor has time to spare. */
const PUNCTUAL_MS = 30;
const INITIAL_PER_S = 300;
const GREATEST_PER_S = 4_000;
const LEAST_PER_S = 20;
/** Starts that gather while none are wanted, as time at the present rate. */
const BURST_MS = 150;
const LEAST_BURST = 10;
/** What has been started before a cut still has to be worked off; sooner where that fails. */
const CUT_INTERVAL_MS = 1_000;
const FIRST_CUT_INTERVAL_MS = 300;
const CUT_SHARE = 0.6;
/** By which part of itself the rate grows in a second, and for a while after a cut. */
const GROWTH_PER_S = 2;
const CAREFUL_GROWTH_PER_S = 0.15;
const CAREFUL_MS = 4_000;
const MS_PER_S = 1_000;

export class StartPace {
  #perS = INITIAL_PER_S;

  #tokens = (INITIAL_PER_S * BURST_MS) / MS_PER_S;

  #countedAtMs: number | undefined;

  #cutAtMs = Number.NEGATIVE_INFINITY;

  /** How late the step was that brought the last cut. */
  #cutLateMs = 0;

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

  /** A step that was due at `dueAtMs` begins. Returns whether the limit has been cut. */
  handleStep(dueAtMs: number, nowMs: number): boolean {
    this.#count(nowMs);
    const lateMs = nowMs - dueAtMs;
    this.#isPunctual = lateMs <= PUNCTUAL_MS;
    const intervalMs = lateMs > this.#cutLateMs ? FIRST_CUT_INTERVAL_MS : CUT_INTERVAL_MS;
    if (lateMs < LATE_MS || nowMs - this.#cutAtMs < intervalMs) return false;
    this.#cutLateMs = lateMs;
    this.#cutAtMs = nowMs;
    this.#perS = Math.max(LEAST_PER_S, this.#perS * CUT_SHARE);
    this.#tokens = Math.min(this.#tokens, this.#greatestBurst);
    return true;
  }

  get #greatestBurst(): number {
    return Math.max(LEAST_BURST, (this.#perS * BURST_MS) / MS_PER_S);
  }

  #count(nowMs: number): void {
    const passedS = Math.max(0, nowMs - (this.#countedAtMs ?? nowMs)) / MS_PER_S;
    this.#countedAtMs = nowMs;
    const isCareful = nowMs - this.#cutAtMs < CAREFUL_MS;
    const growthPerS = isCareful ? CAREFUL_GROWTH_PER_S : GROWTH_PER_S;
    // A rate that is not made use of tells nothing of what the processor carries.
    const isUsed = this.#tokens < this.#greatestBurst / 2;
    if (this.#isPunctual && isUsed) {
      this.#perS = Math.min(GREATEST_PER_S, this.#perS * (1 + growthPerS * passedS));
    }
    this.#tokens = Math.min(this.#greatestBurst, this.#tokens + this.#perS * passedS);
  }
}
