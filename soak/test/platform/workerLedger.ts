/** What runs on which life of a worker, and which lives can take more. */
import type { TaskSize, WorkerLife } from './soakTypes.js';

/** An owner without the store grants for five seconds, leases last six. */
const OLD_FENCE_MS = 12_000;

interface LifeRecord {
  readonly life: WorkerLife;
  readonly running: Map<string, TaskSize>;
  isOpen: boolean;
  highestFence: number;
}

const fits = (capacity: TaskSize, sizes: readonly TaskSize[]): boolean =>
  sizes.reduce((sum, { processorMillis }) => sum + processorMillis, 0) <=
    capacity.processorMillis &&
  sizes.reduce((sum, { memoryMegabytes }) => sum + memoryMegabytes, 0) <= capacity.memoryMegabytes;

export class WorkerLedger {
  readonly #lives = new Map<string, LifeRecord>();

  /** By worker, over all its lives; a new life has seen none, so an order may still come late. */
  readonly #fences = new Map<string, { readonly highest: number; readonly sinceMs: number }>();

  add(life: WorkerLife): void {
    this.#lives.set(life.key, { life, running: new Map(), isOpen: true, highestFence: 0 });
  }

  /** Nothing new is owed to it: it drains. */
  close(key: string): void {
    const record = this.#lives.get(key);
    if (record !== undefined) record.isOpen = false;
  }

  remove(key: string): void {
    this.#lives.delete(key);
  }

  start(key: string, taskName: string, size: TaskSize): void {
    this.#lives.get(key)?.running.set(taskName, size);
  }

  end(key: string, taskName: string): void {
    this.#lives.get(key)?.running.delete(taskName);
  }

  /** Lives on which the task runs. */
  placesOf(taskName: string): readonly string[] {
    return [...this.#lives.values()]
      .filter(({ running }) => running.has(taskName))
      .map(({ life }) => life.key);
  }

  isOverCapacity(key: string): boolean {
    const record = this.#lives.get(key);
    return record !== undefined && !fits(record.life.capacity, [...record.running.values()]);
  }

  /** Whether a worker has room for it twice over. */
  hasRoom(size: TaskSize): boolean {
    return [...this.#lives.values()].some(
      ({ isOpen, life, running }) =>
        isOpen && fits(life.capacity, [...running.values(), size, size]),
    );
  }

  /** What this fence falls below, if anything; it counts from now on. */
  noteFence(key: string, fence: number, nowMs: number): string | undefined {
    const record = this.#lives.get(key);
    if (record === undefined) return undefined;
    const ofLife = record.highestFence;
    record.highestFence = Math.max(ofLife, fence);
    if (fence < ofLife) return `fence ${fence} had effect after ${ofLife}`;
    const { workerId } = record.life;
    const ofWorker = this.#fences.get(workerId) ?? { highest: 0, sinceMs: 0 };
    if (fence > ofWorker.highest) this.#fences.set(workerId, { highest: fence, sinceMs: nowMs });
    const isOld = fence < ofWorker.highest && nowMs - ofWorker.sinceMs > OLD_FENCE_MS;
    return isOld ? `fence ${fence} has effect long after ${ofWorker.highest}` : undefined;
  }
}
