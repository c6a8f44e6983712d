/** The one timer behind the deadlines, waiting times and silence of all requests. */
import type { Disposable } from '../../base/common/lifecycle.js';

/**
 * How often deadlines, waiting times and silence are looked at. One timer for all requests: a
 * timer each would cost more than the decisions, and nothing here needs a finer grain. It runs
 * while there is something to look at: with nothing under way it took half of an idle entry's
 * processor time.
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

  /** Has the next look come, if there is anything to look at; a look under way asks again. */
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
