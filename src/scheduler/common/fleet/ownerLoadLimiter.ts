/** Limits the owner's rounds to the work that its processor can handle, judged by its steps. */
import { MAXIMUM_STARTS, type RoundLimits, type RoundOutcome } from './fleetRound.js';
import { RoundBudget } from './roundBudget.js';
import { StartRateLimiter } from './startRateLimiter.js';

export class OwnerLoadLimiter {
  readonly #roundBudget = new RoundBudget();

  readonly #startLimiter = new StartRateLimiter();

  /** The ratings of the present step's rounds. */
  #ratingCount = 0;

  get startLimitPerS(): number {
    return this.#startLimiter.limitPerS;
  }

  roundLimits(nowMs: number): RoundLimits {
    return {
      startCount: Math.min(MAXIMUM_STARTS, this.#startLimiter.allowance(nowMs)),
      ratingCount: this.#roundBudget.ratingLimit,
    };
  }

  noteRound({ startCount, ratingCount }: RoundOutcome): void {
    this.#startLimiter.take(startCount);
    this.#ratingCount += ratingCount;
  }

  noteStartAnswered(): void {
    this.#startLimiter.noteAnswered();
  }

  /** Records a step. Returns whether the start rate has been reduced. */
  noteStep(dueAtMs: number, beganAtMs: number, endedAtMs: number): boolean {
    this.#roundBudget.note(this.#ratingCount, beganAtMs, endedAtMs);
    this.#ratingCount = 0;
    return this.#startLimiter.handleStep(dueAtMs, beganAtMs);
  }
}
