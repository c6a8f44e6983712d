/**
 * Event loops in virtual time, each on a processor of its own: what one spends delays everything
 * that is due on it, and nothing on the others. The loop that runs answers the global timers.
 */
import { vi } from 'vitest';

import type { Clock } from '../../../base/common/clock.js';

interface Due {
  readonly loop: LoopModel;
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** The real one; a turn of it runs all that was promised. */
const realImmediate = setImmediate;
const promisesSettled = (): Promise<void> =>
  new Promise((resolve) => {
    realImmediate(resolve);
  });

export class LoopModel implements Clock {
  readonly #world: LoopWorld;

  #nowMs: number;

  #longestDelayMs = 0;

  constructor(world: LoopWorld, nowMs: number) {
    this.#world = world;
    this.#nowMs = nowMs;
  }

  nowMs(): number {
    return this.#nowMs;
  }

  /** The longest time that something due had to wait for the processor. */
  get longestDelayMs(): number {
    return this.#longestDelayMs;
  }

  /** Work that takes this long on the loop's processor. */
  spend(durationMs: number): void {
    this.#nowMs += durationMs;
  }

  after(delayMs: number, run: () => void): object {
    return this.#world.add(this, this.#nowMs + delayMs, run);
  }

  begin(dueAtMs: number): void {
    this.#longestDelayMs = Math.max(this.#longestDelayMs, this.#nowMs - dueAtMs);
    this.#nowMs = Math.max(this.#nowMs, dueAtMs);
  }
}

const startMs = ({ loop, atMs }: Due): number => Math.max(atMs, loop.nowMs());

const isBefore = (one: Due, other: Due): boolean => {
  const laterMs = startMs(one) - startMs(other) || one.atMs - other.atMs;
  return laterMs < 0 || (laterMs === 0 && one.order < other.order);
};

export class LoopWorld {
  /** For what is no process of the product: takes no time. */
  readonly outside = new LoopModel(this, 0);

  readonly #due = new Set<Due>();

  #running = this.outside;

  #order = 0;

  newLoop(): LoopModel {
    return new LoopModel(this, this.outside.nowMs());
  }

  add(loop: LoopModel, atMs: number, run: () => void): object {
    this.#order += 1;
    const due: Due = { loop, atMs, order: this.#order, run };
    this.#due.add(due);
    return due;
  }

  /** Puts the timers of the running loop in place of Node's. */
  stubTimers(): void {
    const after = (run: () => void, delayMs = 0): object =>
      this.#running.after(Math.max(1, delayMs), run);
    vi.stubGlobal('setTimeout', after);
    vi.stubGlobal('clearTimeout', (due: Due) => this.#due.delete(due));
    vi.stubGlobal('setImmediate', (run: () => void) => this.#running.after(0, run));
  }

  /** Runs something as part of a loop, such as the start of a process. */
  as<Result>(loop: LoopModel, run: () => Result): Result {
    this.#running = loop;
    return run();
  }

  async runUntil(untilMs: number): Promise<void> {
    for (let next = this.#next(); next !== undefined; next = this.#next()) {
      if (startMs(next) > untilMs) break;
      this.#due.delete(next);
      next.loop.begin(next.atMs);
      this.#running = next.loop;
      next.run();
      // One after the other, as on one processor.
      // eslint-disable-next-line no-await-in-loop
      await promisesSettled();
    }
    this.outside.begin(untilMs);
  }

  /** What starts first; on one loop, what was due first. */
  #next(): Due | undefined {
    let first: Due | undefined;
    this.#due.forEach((due) => {
      if (first === undefined || isBefore(due, first)) first = due;
    });
    return first;
  }
}
