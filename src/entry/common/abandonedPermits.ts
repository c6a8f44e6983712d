/** Places that stay taken after their callers hung up. */
import type { WaitingRequest } from './fairQueue.js';
import type { ServerRecord } from './serverRecords.js';

interface AbandonedPermit<Waiting extends WaitingRequest> {
  readonly server: ServerRecord<Waiting>;
  readonly freeAtMs: number;
}

/** Places whose callers hung up while their servers may still work; bounded by the shares. */
export class AbandonedPermits<Waiting extends WaitingRequest> {
  #permits: AbandonedPermit<Waiting>[] = [];

  get isEmpty(): boolean {
    return this.#permits.length === 0;
  }

  hold(server: ServerRecord<Waiting>, freeAtMs: number): void {
    this.#permits.push({ server, freeAtMs });
  }

  /** The servers whose places are due, each place once. */
  takeDue(nowMs: number): readonly ServerRecord<Waiting>[] {
    if (this.isEmpty) return [];
    const due = this.#permits.filter(({ freeAtMs }) => freeAtMs <= nowMs);
    this.#permits = this.#permits.filter(({ freeAtMs }) => freeAtMs > nowMs);
    return due.map(({ server }) => server);
  }
}
