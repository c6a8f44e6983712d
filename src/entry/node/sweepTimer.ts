/** The timer for the deadlines, waiting times and second attempts of all requests. */
import type { Disposable } from '../../base/common/lifecycle.js';

/**
 * The interval at which deadlines, waiting times and second attempts are checked. All requests
 * share one timer: a timer for each would cost more than the decisions, and no decision needs a
 * finer resolution. The timer runs only while there is something to check, because without active
 * requests it took half of an idle entry's processor time.
 */
const SWEEP_INTERVAL_MS = 10;

export class SweepTimer implements Disposable {
  readonly #isNeeded: () => boolean;

  readonly #sweep: () => void;

  #timer: NodeJS.Timeout | undefined;

  #isDisposed = false;

  constructor(isNeeded: () => boolean, sweep: () => void) {
    this.#isNeeded = isNeeded;
    this.#sweep = sweep;
  }

  /** Schedules the next sweep if there is anything to check; each sweep arms the timer again. */
  arm(): void {
    if (this.#timer !== undefined || this.#isDisposed || !this.#isNeeded()) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      try {
        this.#sweep();
      } finally {
        this.arm();
      }
    }, SWEEP_INTERVAL_MS);
  }

  dispose(): void {
    this.#isDisposed = true;
    clearTimeout(this.#timer);
  }
}
