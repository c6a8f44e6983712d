/** Keeps permits in use for a while after the callers of their requests hung up. */
import type { WaitingRequest } from './fairQueue.js';
import type { ServerRecord } from './serverRecords.js';

interface AbandonedPermit<Waiting extends WaitingRequest> {
  readonly server: ServerRecord<Waiting>;
  readonly freeAtMs: number;
}

/**
 * Permits of requests whose callers hung up while the backend server may still be working. This
 * entry's connection shares bound their number.
 */
export class AbandonedPermits<Waiting extends WaitingRequest> {
  #permits: AbandonedPermit<Waiting>[] = [];

  get isEmpty(): boolean {
    return this.#permits.length === 0;
  }

  hold(server: ServerRecord<Waiting>, freeAtMs: number): void {
    this.#permits.push({ server, freeAtMs });
  }

  /** Removes the permits that are due and returns their servers, one for each permit. */
  takeDue(nowMs: number): readonly ServerRecord<Waiting>[] {
    if (this.isEmpty) return [];
    const due = this.#permits.filter(({ freeAtMs }) => freeAtMs <= nowMs);
    this.#permits = this.#permits.filter(({ freeAtMs }) => freeAtMs > nowMs);
    return due.map(({ server }) => server);
  }
}
