/**
 * Simulates event loops in virtual time, each on its own processor: work on one loop delays
 * everything due on that loop and nothing on the others. Global timers belong to the running loop.
 */
import { vi } from 'vitest';

import type { Clock } from '../../../base/common/clock.js';

interface ScheduledCallback {
  readonly loop: SimulatedEventLoop;
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Node's own `setImmediate`, which tests stub; one turn of it settles all pending promises. */
const nodeSetImmediate = setImmediate;
const promisesSettled = (): Promise<void> =>
  new Promise((resolve) => {
    nodeSetImmediate(resolve);
  });

export class SimulatedEventLoop implements Clock {
  readonly #simulator: EventLoopSimulator;

  #nowMs: number;

  #longestDelayMs = 0;

  constructor(simulator: EventLoopSimulator, nowMs: number) {
    this.#simulator = simulator;
    this.#nowMs = nowMs;
  }

  nowMs(): number {
    return this.#nowMs;
  }

  /** The longest time that a due callback had to wait for the processor. */
  get longestDelayMs(): number {
    return this.#longestDelayMs;
  }

  /** Simulates work that takes this long on the loop's processor. */
  spend(durationMs: number): void {
    this.#nowMs += durationMs;
  }

  after(delayMs: number, run: () => void): object {
    return this.#simulator.schedule(this, this.#nowMs + delayMs, run);
  }

  /** Moves the clock to the start of a callback that is due at `dueAtMs`. */
  begin(dueAtMs: number): void {
    this.#longestDelayMs = Math.max(this.#longestDelayMs, this.#nowMs - dueAtMs);
    this.#nowMs = Math.max(this.#nowMs, dueAtMs);
  }
}

const startMs = ({ loop, atMs }: ScheduledCallback): number => Math.max(atMs, loop.nowMs());

const isBefore = (one: ScheduledCallback, other: ScheduledCallback): boolean => {
  const laterMs = startMs(one) - startMs(other) || one.atMs - other.atMs;
  return laterMs < 0 || (laterMs === 0 && one.order < other.order);
};

export class EventLoopSimulator {
  /** The loop for everything outside the daemons; work on it takes no time. */
  readonly outside = new SimulatedEventLoop(this, 0);

  readonly #scheduled = new Set<ScheduledCallback>();

  #currentLoop = this.outside;

  #order = 0;

  newLoop(): SimulatedEventLoop {
    return new SimulatedEventLoop(this, this.outside.nowMs());
  }

  schedule(loop: SimulatedEventLoop, atMs: number, run: () => void): object {
    this.#order += 1;
    const scheduled: ScheduledCallback = { loop, atMs, order: this.#order, run };
    this.#scheduled.add(scheduled);
    return scheduled;
  }

  /** Replaces Node's timers by those of the running loop. */
  stubTimers(): void {
    const after = (run: () => void, delayMs = 0): object =>
      this.#currentLoop.after(Math.max(1, delayMs), run);
    vi.stubGlobal('setTimeout', after);
    vi.stubGlobal('clearTimeout', (scheduled: ScheduledCallback) =>
      this.#scheduled.delete(scheduled),
    );
    vi.stubGlobal('setImmediate', (run: () => void) => this.#currentLoop.after(0, run));
  }

  /** Runs a function as part of a loop, such as the start of a process. */
  runOn<Result>(loop: SimulatedEventLoop, run: () => Result): Result {
    this.#currentLoop = loop;
    return run();
  }

  async runUntil(untilMs: number): Promise<void> {
    for (let next = this.#next(); next !== undefined; next = this.#next()) {
      if (startMs(next) > untilMs) break;
      this.#scheduled.delete(next);
      next.loop.begin(next.atMs);
      this.#currentLoop = next.loop;
      next.run();
      // Callbacks run one after the other, as on a single processor.
      // eslint-disable-next-line no-await-in-loop
      await promisesSettled();
    }
    this.outside.begin(untilMs);
  }

  /** The callback that starts first; on one loop, the one that was due first. */
  #next(): ScheduledCallback | undefined {
    let first: ScheduledCallback | undefined;
    this.#scheduled.forEach((scheduled) => {
      if (first === undefined || isBefore(scheduled, first)) first = scheduled;
    });
    return first;
  }
}
