/** Virtual time: events in the order of their instants, equal ones in the order of scheduling. */

interface Scheduled {
  readonly atMs: number;
  readonly run: () => void;
}

const drainMicrotasks = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

export class VirtualTime {
  nowMs = 0;

  #isDrainNeeded = false;

  /** Sorted by instant, the next one last. */
  readonly #queue: Scheduled[] = [];

  schedule(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + delayMs;
    let low = 0;
    let high = this.#queue.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#queue[middle]?.atMs ?? 0) > atMs) low = middle + 1;
      else high = middle;
    }
    this.#queue.splice(low, 0, { atMs, run });
  }

  /** To be called when an event settles a promise, whose continuations run before the next. */
  noteSettled(): void {
    this.#isDrainNeeded = true;
  }

  async runFor(durationMs: number): Promise<void> {
    const endMs = this.nowMs + durationMs;
    for (let next = this.#queue.at(-1); next !== undefined; next = this.#queue.at(-1)) {
      if (next.atMs > endMs) break;
      this.#queue.pop();
      this.nowMs = next.atMs;
      next.run();
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
