/** What the owner's processor carries, as its steps show it. */
import { MAXIMUM_STARTS, type RoundLimits, type RoundOutcome } from './fleetRound.js';
import { RoundBudget } from './roundBudget.js';
import { StartPace } from './startPace.js';

export class OwnerLoad {
  readonly #budget = new RoundBudget();

  readonly #starts = new StartPace();

  /** Of the rounds of the present step. */
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

  /** Returns whether fewer tasks are started from now on. */
  noteStep(dueAtMs: number, beganAtMs: number, endedAtMs: number): boolean {
    this.#budget.note(this.#ratingCount, beganAtMs, endedAtMs);
    this.#ratingCount = 0;
    return this.#starts.handleStep(dueAtMs, beganAtMs);
  }
}
