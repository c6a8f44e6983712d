/** A repeating step that never overlaps itself. */
import type { Disposable } from '../common/lifecycle.js';

/**
 * Runs `step` every `intervalMs`, counted from the end of the last run, so that a slow step
 * delays the next one instead of piling up behind it. Disposal aborts the signal given to a
 * running step and starts no further one.
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
