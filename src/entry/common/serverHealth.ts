/** Sets a backend server aside that fails, and takes it back carefully. */
import type { RandomSource } from '../../base/common/random.js';

/**
 * Weight of one more outcome. With it the fourth failure in a row, or a lasting share of more
 * than a half, sets a server aside; one failure among successes never does.
 */
const OUTCOME_WEIGHT = 0.2;
const SET_ASIDE_FAILURE_SHARE = 0.5;
const MINIMUM_SET_ASIDE_MS = 1_000;
const MAXIMUM_SET_ASIDE_MS = 30_000;
/** Successes in a row that end the trial after a return. */
const TRIAL_SUCCESS_COUNT = 3;

/**
 * Made for a server that fails at once: failing is fast, so to a choice by load it looks idle
 * and draws in most of the traffic. It is set aside for a time that doubles with each return
 * that fails, spread so that entries do not come back together, and on its return it gets one
 * request at a time until a few have succeeded.
 */
export class ServerHealth {
  #failureShare = 0;

  #setAsideUntilMs = 0;

  #setAsideCount = 0;

  #remainingTrialCount = 0;

  isSetAside(nowMs: number): boolean {
    return nowMs < this.#setAsideUntilMs;
  }

  /** Whether the server has come back and has not yet shown that it works. */
  get isOnTrial(): boolean {
    return this.#remainingTrialCount > 0;
  }

  noteSuccess(): void {
    this.#failureShare *= 1 - OUTCOME_WEIGHT;
    if (this.#remainingTrialCount === 0) return;
    this.#remainingTrialCount -= 1;
    if (this.#remainingTrialCount === 0) this.#setAsideCount = 0;
  }

  /** Whether the failure is one too many; the caller decides if the server may be set aside. */
  noteFailure(): boolean {
    this.#failureShare = this.#failureShare * (1 - OUTCOME_WEIGHT) + OUTCOME_WEIGHT;
    return this.#failureShare > SET_ASIDE_FAILURE_SHARE || this.isOnTrial;
  }

  setAside(nowMs: number, random: RandomSource): void {
    const periodMs = Math.min(
      MINIMUM_SET_ASIDE_MS * 2 ** this.#setAsideCount,
      MAXIMUM_SET_ASIDE_MS,
    );
    this.#setAsideUntilMs = nowMs + periodMs * (1 + random.nextFraction() / 2);
    this.#setAsideCount += 1;
    this.#failureShare = 0;
    this.#remainingTrialCount = TRIAL_SUCCESS_COUNT;
  }
}
