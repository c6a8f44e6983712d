/**
 * An event queue in virtual time. Events run in the order of their due times; events that are due
 * at the same time run in the order in which they were scheduled. Benchmarks, the tests of a cell
 * and randomised tests share this clock.
 */

interface Scheduled {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

const isBefore = (left: Scheduled, right: Scheduled): boolean =>
  left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);

export class VirtualTime {
  nowMs = 0;

  #order = 0;

  /** A binary heap with the next event first. */
  readonly #heap: Scheduled[] = [];

  after(delayMs: number, run: () => void): void {
    this.#order += 1;
    const item = { atMs: this.nowMs + delayMs, order: this.#order, run };
    let index = this.#heap.length;
    this.#heap.push(item);
    while (index > 0) {
      const parent = Math.floor((index - 1) / 2);
      const above = this.#heap[parent] as Scheduled;
      if (!isBefore(item, above)) break;
      this.#heap[index] = above;
      index = parent;
    }
    this.#heap[index] = item;
  }

  /** Runs the next event that is due by `endMs`. Returns false if there is none. */
  runNext(endMs: number): boolean {
    const [next] = this.#heap;
    if (next === undefined || next.atMs > endMs) return false;
    this.#removeFirst();
    this.nowMs = next.atMs;
    next.run();
    return true;
  }

  runUntil(endMs: number): void {
    while (this.runNext(endMs));
    this.nowMs = endMs;
  }

  #removeFirst(): void {
    const last = this.#heap.pop() as Scheduled;
    const size = this.#heap.length;
    if (size === 0) return;
    let index = 0;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= size) break;
      const [leftChild, rightChild] = [this.#heap[child], this.#heap[child + 1]];
      if (rightChild !== undefined && isBefore(rightChild, leftChild as Scheduled)) child += 1;
      const below = this.#heap[child] as Scheduled;
      if (!isBefore(below, last)) break;
      this.#heap[index] = below;
      index = child;
    }
    this.#heap[index] = last;
  }
}
