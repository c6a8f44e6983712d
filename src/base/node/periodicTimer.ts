/** A timer whose runs never overlap. */
import type { Disposable } from '../common/lifecycle.js';

/**
 * Runs `step` immediately and then again `intervalMs` after the end of each run, so that a slow
 * run delays the next one and runs never pile up. Disposal aborts the signal passed to the
 * running step and starts no further run.
 */
export class PeriodicTimer implements Disposable {
  readonly #intervalMs: number;

  readonly #step: (signal: AbortSignal) => Promise<void> | void;

  readonly #controller = new AbortController();

  #timer: NodeJS.Timeout | undefined;

  constructor(intervalMs: number, step: (signal: AbortSignal) => Promise<void> | void) {
    this.#intervalMs = intervalMs;
    this.#step = step;
    this.#schedule(0);
  }

  dispose(): void {
    this.#controller.abort();
    clearTimeout(this.#timer);
  }

  #schedule(delayMs: number): void {
    if (this.#controller.signal.aborted) return;
    this.#timer = setTimeout(() => void this.#run(), delayMs);
  }

  async #run(): Promise<void> {
    try {
      await this.#step(this.#controller.signal);
    } finally {
      this.#schedule(this.#intervalMs);
    }
  }
}
