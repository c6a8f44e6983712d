/** A clock that only the test advances, with the events scheduled on it. */

/** How far the clock moves in one step. */
export const TICK_MS = 10;

interface ScheduledEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void | Promise<void>;
}

export class VirtualTime {
  nowMs = 0;

  #events: ScheduledEvent[] = [];

  #order = 0;

  later(delayMs: number, run: () => void | Promise<void>): void {
    this.#order += 1;
    this.#events.push({ atMs: this.nowMs + delayMs, order: this.#order, run });
  }

  /** Runs all events that are due. */
  async runDue(): Promise<void> {
    const due = this.#events.filter(({ atMs }) => atMs <= this.nowMs);
    this.#events = this.#events.filter(({ atMs }) => atMs > this.nowMs);
    due.sort((one, other) => one.atMs - other.atMs || one.order - other.order);
    // Events that are due at the same time run one after the other, in the order of scheduling.
    // eslint-disable-next-line no-restricted-syntax
    for (const event of due) {
      // eslint-disable-next-line no-await-in-loop
      await event.run();
    }
  }
}
