/** Sets a failing backend server aside, and tries it carefully after a while. */
import type { RandomSource } from '../../base/common/random.js';

/**
 * Weight of a new outcome. With this weight the fourth failure in a row, or a lasting failure share
 * of more than a half, sets a server aside; a single failure among successes never does.
 */
const OUTCOME_WEIGHT = 0.2;
const SET_ASIDE_FAILURE_SHARE = 0.5;
const MINIMUM_SET_ASIDE_MS = 1_000;
const MAXIMUM_SET_ASIDE_MS = 30_000;
/** Successes in a row that end the trial of a server that was set aside. */
const TRIAL_SUCCESS_COUNT = 3;

/**
 * Outlier detection for servers that fail at once. Such failures are fast, so a choice by load
 * takes the server for idle and sends it most of the traffic. The server is set aside for a time
 * that doubles with each failed trial. The time carries random jitter, so that the entries do not
 * try the server together. During its trial the server gets one request at a time until a few have
 * succeeded.
 */
export class ServerHealth {
  #failureShare = 0;

  #setAsideUntilMs = 0;

  #setAsideCount = 0;

  #remainingTrialCount = 0;

  isSetAside(nowMs: number): boolean {
    return nowMs < this.#setAsideUntilMs;
  }

  /** Whether the server was set aside and has not succeeded often enough since. */
  get isOnTrial(): boolean {
    return this.#remainingTrialCount > 0;
  }

  noteSuccess(): void {
    this.#failureShare *= 1 - OUTCOME_WEIGHT;
    if (this.#remainingTrialCount === 0) return;
    this.#remainingTrialCount -= 1;
    if (this.#remainingTrialCount === 0) this.#setAsideCount = 0;
  }

  /** Returns whether the server should be set aside; the caller decides whether it may be. */
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
