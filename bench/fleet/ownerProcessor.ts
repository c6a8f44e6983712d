/** The owner's processor in virtual time: while it is busy, answers and steps wait. */
import type { VirtualTime } from '../virtualTime.js';

/** Processor time of calls at some hundreds a second, by `bench fleet calls` (docs/CAPACITY.md). */
export const CALL_COST_MS = {
  hold: 0.23,
  order: 0.13,
  commit: 0.63,
  read: 0.56,
  feed: 0.2,
} as const;
/** Collections beside the decisions that make the garbage, by `bench fleet profile`. */
const GARBAGE_COLLECTION_FACTOR = 1.1;

interface QueuedWork {
  readonly costMs: number;
  readonly run: () => void;
}

export class OwnerProcessor {
  readonly #time: VirtualTime;

  /** Undefined for a processor on which nothing takes time. */
  readonly #cores: number | undefined;

  readonly #queue: QueuedWork[] = [];

  #busyUntilMs = 0;

  #isScheduled = false;

  /** For how long the processor has been busy. */
  busyMs = 0;

  constructor(time: VirtualTime, cores: number | undefined) {
    this.#time = time;
    this.#cores = cores;
  }

  /** Runs the work in its turn; it takes its own time on this machine, and `costMs` more. */
  run(costMs: number, run: () => void): void {
    if (this.#cores === undefined) {
      run();
      return;
    }
    this.#queue.push({ costMs, run });
    this.#scheduleNext();
  }

  /** How long a decision that takes so long on this machine takes there. */
  toVirtualMs(measuredMs: number): number {
    return this.#cores === undefined ? 0 : (measuredMs * GARBAGE_COLLECTION_FACTOR) / this.#cores;
  }

  #spend(costMs: number): void {
    const durationMs = costMs / (this.#cores ?? 1);
    this.busyMs += durationMs;
    this.#busyUntilMs = Math.max(this.#busyUntilMs, this.#time.nowMs) + durationMs;
  }

  #scheduleNext(): void {
    if (this.#isScheduled || this.#queue.length === 0) return;
    this.#isScheduled = true;
    this.#time.after(Math.max(0, this.#busyUntilMs - this.#time.nowMs), () => {
      this.#isScheduled = false;
      this.#runNext();
    });
  }

  #runNext(): void {
    const next = this.#queue.shift();
    if (next === undefined) return;
    const startedAtMs = performance.now();
    next.run();
    this.#spend(next.costMs + (performance.now() - startedAtMs) * GARBAGE_COLLECTION_FACTOR);
    this.#scheduleNext();
  }
}
