/** The bounded queue of a service's requests that wait for capacity at a server. */

export interface WaitingRequest {
  /** The sender; callers that do not identify themselves share the empty id. */
  readonly callerId: string;
  readonly deadlineAtMs: number;
  readonly waitingSinceMs: number;
  /** The worker of a failed attempt; the next attempt avoids it if there is another worker. */
  readonly avoidedWorkerId: string | undefined;
}

/** The result of adding a request to the queue. */
export interface QueueResult<Waiting> {
  readonly isAdded: boolean;
  /** A request that was removed to make room, of a caller with more requests in the queue. */
  readonly displaced: Waiting | undefined;
}

/**
 * A fair queue for bursts of a few seconds above the servers' capacity, and for one caller's storm
 * of retries. Callers take turns, and the requests of one caller are served by age, so a caller
 * that sends a hundred times as much only delays itself. When the queue is full, the newest request
 * of the caller with the most waiting requests makes room for a caller with fewer; the removed
 * request gets its final answer at once. The length is bounded, because a queue longer than its
 * callers' deadlines only delays the refusal.
 */
export class FairQueue<Waiting extends WaitingRequest> {
  readonly #capacity: number;

  /** The waiting requests of each caller, in the order of the callers' turns. */
  readonly #lanes = new Map<string, Waiting[]>();

  #length = 0;

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get length(): number {
    return this.#length;
  }

  add(waiting: Waiting): QueueResult<Waiting> {
    const displaced = this.#length < this.#capacity ? undefined : this.#displaceFor(waiting);
    if (this.#length >= this.#capacity) return { isAdded: false, displaced: undefined };
    const lane = this.#lanes.get(waiting.callerId);
    if (lane === undefined) this.#lanes.set(waiting.callerId, [waiting]);
    else lane.push(waiting);
    this.#length += 1;
    return { isAdded: true, displaced };
  }

  /** The request to serve next. */
  peek(): Waiting | undefined {
    const first = this.#lanes.values().next();
    return first.done === true ? undefined : first.value[0];
  }

  /** Removes and returns the request to serve next; its caller moves to the end of the order. */
  takeNext(): Waiting | undefined {
    const first = this.#lanes.entries().next();
    if (first.done === true) return undefined;
    const [callerId, lane] = first.value;
    const waiting = lane.shift();
    this.#lanes.delete(callerId);
    if (lane.length > 0) this.#lanes.set(callerId, lane);
    this.#length -= 1;
    return waiting;
  }

  /** Removes one request; false when it is not in the queue. */
  remove(waiting: Waiting): boolean {
    const lane = this.#lanes.get(waiting.callerId);
    const index = lane?.indexOf(waiting) ?? -1;
    if (lane === undefined || index < 0) return false;
    lane.splice(index, 1);
    if (lane.length === 0) this.#lanes.delete(waiting.callerId);
    this.#length -= 1;
    return true;
  }

  /** Removes and returns the requests for which `shouldRemove` is true. */
  removeWhere(shouldRemove: (waiting: Waiting) => boolean): readonly Waiting[] {
    const removed: Waiting[] = [];
    [...this.#lanes].forEach(([callerId, lane]) => {
      const kept = lane.filter((waiting) => !shouldRemove(waiting));
      if (kept.length === lane.length) return;
      removed.push(...lane.filter(shouldRemove));
      if (kept.length === 0) this.#lanes.delete(callerId);
      else this.#lanes.set(callerId, kept);
    });
    this.#length -= removed.length;
    return removed;
  }

  #displaceFor(waiting: Waiting): Waiting | undefined {
    let [longestId, longestLength] = ['', 0];
    this.#lanes.forEach((lane, callerId) => {
      if (lane.length > longestLength) [longestId, longestLength] = [callerId, lane.length];
    });
    const ownCount = this.#lanes.get(waiting.callerId)?.length ?? 0;
    if (longestLength <= ownCount + 1) return undefined;
    this.#length -= 1;
    return this.#lanes.get(longestId)?.pop();
  }
}
