/**
 * What could be done at best: one pool of all processors of the zones in use, true sizes and run
 * times known, no pair kept apart, nothing lost by a move. No scheduler does as well, so a share
 * of it is a cautious figure.
 */

export interface IdealTask {
  readonly processorMillis: number;
  remainingMs: number;
}

export class IdealPool {
  #queue: IdealTask[] = [];

  #running: IdealTask[] = [];

  submit(task: IdealTask): void {
    this.#queue.push(task);
  }

  /** Lets the pool work for `elapsedMs`; returns the processor-milliseconds done. */
  advance(freeMillis: number, elapsedMs: number): number {
    const waiting = [...this.#running, ...this.#queue];
    this.#running = [];
    this.#queue = [];
    let leftMillis = freeMillis;
    let doneMs = 0;
    waiting.forEach((next) => {
      const task = next;
      if (task.processorMillis > leftMillis) {
        this.#queue.push(task);
        return;
      }
      leftMillis -= task.processorMillis;
      const stepMs = Math.min(elapsedMs, task.remainingMs);
      doneMs += (stepMs * task.processorMillis) / 1_000;
      task.remainingMs -= stepMs;
      if (task.remainingMs > 0) this.#running.push(task);
    });
    return doneMs;
  }
}
