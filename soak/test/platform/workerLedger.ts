/** What runs on which life of a worker, and which lives can take more. */
import type { TaskSize, WorkerLife } from './soakTypes.js';

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

  /** The highest fence that had effect in this life before; this one counts from now on. */
  raiseFence(key: string, fence: number): number {
    const record = this.#lives.get(key);
    const before = record?.highestFence ?? 0;
    if (record !== undefined) record.highestFence = Math.max(before, fence);
    return before;
  }
}
