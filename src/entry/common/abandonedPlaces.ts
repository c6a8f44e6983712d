/** Places that stay taken after their callers hung up. */
import type { WaitingRequest } from './fairQueue.js';
import type { ServerRecord } from './serverRecords.js';

interface AbandonedPlace<Waiting extends WaitingRequest> {
  readonly server: ServerRecord<Waiting>;
  readonly freeAtMs: number;
}

/** Places whose callers hung up while their servers may still work; bounded by the shares. */
export class AbandonedPlaces<Waiting extends WaitingRequest> {
  #places: AbandonedPlace<Waiting>[] = [];

  get isEmpty(): boolean {
    return this.#places.length === 0;
  }

  hold(server: ServerRecord<Waiting>, freeAtMs: number): void {
    this.#places.push({ server, freeAtMs });
  }

  /** The servers whose places are due, each place once. */
  takeDue(nowMs: number): readonly ServerRecord<Waiting>[] {
    if (this.isEmpty) return [];
    const due = this.#places.filter(({ freeAtMs }) => freeAtMs <= nowMs);
    this.#places = this.#places.filter(({ freeAtMs }) => freeAtMs > nowMs);
    return due.map(({ server }) => server);
  }
}
