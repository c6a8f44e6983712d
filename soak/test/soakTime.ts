/** Virtual time in which promises settle: their continuations run before the next event. */
import { VirtualTime } from '../../bench/virtualTime.js';

const drainMicrotasks = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

export class SoakTime extends VirtualTime {
  #isDrainNeeded = false;

  /** To be called when an event settles a promise, whose continuations run before the next. */
  requestMicrotaskDrain(): void {
    this.#isDrainNeeded = true;
  }

  async runFor(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    while (this.runNext(endMs)) {
      if (this.#isDrainNeeded) {
        this.#isDrainNeeded = false;
        // Events are ordered by nature.
        // eslint-disable-next-line no-await-in-loop
        await drainMicrotasks();
      }
    }
    this.nowMs = endMs;
  }
}
