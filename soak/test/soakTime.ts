/** Virtual time that runs the continuations of settled promises before the next event. */
import { VirtualTime } from '../../bench/virtualTime.js';

const drainMicrotasks = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

export class SoakTime extends VirtualTime {
  #isDrainNeeded = false;

  /** Must be called when an event settles a promise, so that its continuations run next. */
  requestMicrotaskDrain(): void {
    this.#isDrainNeeded = true;
  }

  async runFor(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    while (this.runNext(endMs)) {
      if (this.#isDrainNeeded) {
        this.#isDrainNeeded = false;
        // Events must run one after the other.
        // eslint-disable-next-line no-await-in-loop
        await drainMicrotasks();
      }
    }
    this.nowMs = endMs;
  }
}
