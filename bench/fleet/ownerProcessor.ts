/** Models the owner's processor in virtual time. Answers and steps wait while it is busy. */
import type { VirtualTime } from '../virtualTime.js';

/**
 * Processor time per call at a few hundred calls a second, as `bench fleet calls` measures it (see
 * docs/CAPACITY.md).
 */
export const CALL_COST_MS = {
  hold: 0.23,
  order: 0.13,
  commit: 0.63,
  read: 0.56,
  feed: 0.2,
} as const;
/**
 * Adds the garbage collection that decisions cause to the time of the decisions, in the proportion
 * that `bench fleet profile` shows.
 */
const GARBAGE_COLLECTION_FACTOR = 1.1;

interface QueuedWork {
  readonly costMs: number;
  readonly run: () => void;
}

export class OwnerProcessor {
  readonly #time: VirtualTime;

  /** Number of cores; undefined if work takes no virtual time. */
  readonly #cores: number | undefined;

  readonly #queue: QueuedWork[] = [];

  #busyUntilMs = 0;

  #isScheduled = false;

  /** Total virtual time during which the processor was busy. */
  busyMs = 0;

  constructor(time: VirtualTime, cores: number | undefined) {
    this.#time = time;
    this.#cores = cores;
  }

  /**
   * Queues the work and runs it when the processor is free. The work occupies the processor for the
   * time measured on this machine plus `costMs`.
   */
  run(costMs: number, run: () => void): void {
    if (this.#cores === undefined) {
      run();
      return;
    }
    this.#queue.push({ costMs, run });
    this.#scheduleNext();
  }

  /** Converts a decision's measured duration on this machine into its duration in virtual time. */
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
