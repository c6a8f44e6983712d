/** Limits the owner's rounds to the work that its processor can handle, judged by its steps. */
import { MAXIMUM_STARTS, type RoundLimits, type RoundOutcome } from './fleetRound.js';
import { RoundBudget } from './roundBudget.js';
import { StartPace } from './startPace.js';

export class OwnerLoad {
  readonly #budget = new RoundBudget();

  readonly #starts = new StartPace();

  /** The ratings of the present step's rounds. */
  #ratingCount = 0;

  get startLimitPerS(): number {
    return this.#starts.limitPerS;
  }

  roundLimits(nowMs: number): RoundLimits {
    return {
      startCount: Math.min(MAXIMUM_STARTS, this.#starts.allowance(nowMs)),
      ratingCount: this.#budget.ratingLimit,
    };
  }

  noteRound({ startCount, ratingCount }: RoundOutcome): void {
    this.#starts.take(startCount);
    this.#ratingCount += ratingCount;
  }

  noteStartAnswered(): void {
    this.#starts.noteAnswered();
  }

  /** Records a step. Returns whether the start rate has been reduced. */
  noteStep(dueAtMs: number, beganAtMs: number, endedAtMs: number): boolean {
    this.#budget.note(this.#ratingCount, beganAtMs, endedAtMs);
    this.#ratingCount = 0;
    return this.#starts.handleStep(dueAtMs, beganAtMs);
  }
}
