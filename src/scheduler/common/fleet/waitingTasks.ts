/** Groups waiting tasks so that the cost of ranking does not grow with the number of tasks. */
import { failureCount, isInterrupted, stepName, type TaskRecord } from './taskRecords.js';

/** Waiting tasks of one step that share a rank and placement rules. */
export interface TaskGroup {
  readonly key: string;
  readonly tasks: ReadonlySet<TaskRecord>;
}

/** Retries and interrupted persistent tasks are ranked or placed differently from other tasks. */
const groupKey = (task: TaskRecord): string => {
  const name = stepName(task);
  if (task.step.isPersistent) return isInterrupted(task) ? `${name} interrupted` : name;
  // The members of a gang are placed together, whichever of them failed.
  if (task.step.isGang) return name;
  return failureCount(task) > 0 ? `${name} retry` : name;
};

export class WaitingTasks {
  readonly #keys = new Map<TaskRecord, string>();

  readonly #tasksByKey = new Map<string, Set<TaskRecord>>();

  get size(): number {
    return this.#keys.size;
  }

  get groups(): readonly TaskGroup[] {
    return [...this.#tasksByKey].map(([key, tasks]) => ({ key, tasks }));
  }

  [Symbol.iterator](): IterableIterator<TaskRecord> {
    return this.#keys.keys();
  }

  has(task: TaskRecord): boolean {
    return this.#keys.has(task);
  }

  add(task: TaskRecord): void {
    const key = groupKey(task);
    const tasks = this.#tasksByKey.get(key) ?? new Set<TaskRecord>();
    this.#tasksByKey.set(key, tasks.add(task));
    this.#keys.set(task, key);
  }

  delete(task: TaskRecord): void {
    const key = this.#keys.get(task);
    if (key === undefined) return;
    this.#keys.delete(task);
    const tasks = this.#tasksByKey.get(key);
    tasks?.delete(task);
    if (tasks?.size === 0) this.#tasksByKey.delete(key);
  }
}
