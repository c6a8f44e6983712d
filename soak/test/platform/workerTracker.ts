/** Tracks the tasks and free capacity of each worker incarnation, and the fences it has seen. */
import type { TaskSize, WorkerIncarnation } from './soakTypes.js';

/** An owner without the store grants leases for five seconds, and a lease lasts six seconds. */
const OLD_FENCE_MS = 12_000;

interface IncarnationRecord {
  readonly incarnation: WorkerIncarnation;
  readonly running: Map<string, TaskSize>;
  acceptsTasks: boolean;
  highestFence: number;
}

const fits = (capacity: TaskSize, sizes: readonly TaskSize[]): boolean =>
  sizes.reduce((sum, { processorMillis }) => sum + processorMillis, 0) <=
    capacity.processorMillis &&
  sizes.reduce((sum, { memoryMegabytes }) => sum + memoryMegabytes, 0) <= capacity.memoryMegabytes;

export class WorkerTracker {
  readonly #incarnations = new Map<string, IncarnationRecord>();

  /**
   * The highest fence by worker id, across incarnations. A new incarnation has seen no fence, so a
   * late order with an old fence may still have effect for a while.
   */
  readonly #fences = new Map<string, { readonly highest: number; readonly sinceMs: number }>();

  add(incarnation: WorkerIncarnation): void {
    this.#incarnations.set(incarnation.key, {
      incarnation,
      running: new Map(),
      acceptsTasks: true,
      highestFence: 0,
    });
  }

  /** Marks an incarnation as draining. It no longer counts as room for tasks. */
  markDraining(key: string): void {
    const record = this.#incarnations.get(key);
    if (record !== undefined) record.acceptsTasks = false;
  }

  remove(key: string): void {
    this.#incarnations.delete(key);
  }

  start(key: string, taskName: string, size: TaskSize): void {
    this.#incarnations.get(key)?.running.set(taskName, size);
  }

  end(key: string, taskName: string): void {
    this.#incarnations.get(key)?.running.delete(taskName);
  }

  /** Returns the keys of the incarnations on which the task runs. */
  incarnationsRunning(taskName: string): readonly string[] {
    return [...this.#incarnations.values()]
      .filter(({ running }) => running.has(taskName))
      .map(({ incarnation }) => incarnation.key);
  }

  isOverCapacity(key: string): boolean {
    const record = this.#incarnations.get(key);
    return record !== undefined && !fits(record.incarnation.capacity, [...record.running.values()]);
  }

  /** Whether a worker that does not drain has room for two tasks of this size. */
  hasRoom(size: TaskSize): boolean {
    return [...this.#incarnations.values()].some(
      ({ acceptsTasks, incarnation, running }) =>
        acceptsTasks && fits(incarnation.capacity, [...running.values(), size, size]),
    );
  }

  /** Records a fence. Returns a finding if it is lower than allowed, otherwise undefined. */
  noteFence(key: string, fence: number, nowMs: number): string | undefined {
    const record = this.#incarnations.get(key);
    if (record === undefined) return undefined;
    const incarnationFence = record.highestFence;
    record.highestFence = Math.max(incarnationFence, fence);
    if (fence < incarnationFence) return `fence ${fence} had effect after ${incarnationFence}`;
    const { workerId } = record.incarnation;
    const workerFence = this.#fences.get(workerId) ?? { highest: 0, sinceMs: 0 };
    if (fence > workerFence.highest) this.#fences.set(workerId, { highest: fence, sinceMs: nowMs });
    const isOld = fence < workerFence.highest && nowMs - workerFence.sinceMs > OLD_FENCE_MS;
    return isOld ? `fence ${fence} has effect long after ${workerFence.highest}` : undefined;
  }
}
