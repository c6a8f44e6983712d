/** The bounded queue of a service's requests that wait until a server has room. */

export interface WaitingRequest {
  /** Who sent it; callers that do not say are one. */
  readonly callerId: string;
  readonly deadlineAtMs: number;
  readonly waitingSinceMs: number;
  /** The worker of a failed attempt, which the next one leaves out if there is another. */
  readonly avoidedWorkerId: string | undefined;
}

/** What became of a request that wanted to wait. */
export interface QueueResult<Waiting> {
  readonly isAdded: boolean;
  /** A request of a greedier caller that had to leave for it. */
  readonly displaced: Waiting | undefined;
}

/**
 * Made for bursts of a few seconds above what the servers can take, and for one caller's storm
 * of retries. Callers take turns, each with its own requests by age, so a caller who sends a
 * hundred times as much waits behind itself. When the queue is full the newest request of the
 * caller with the most waiting makes place for one who has fewer; it gets its final answer at
 * once. The length is bounded, for a queue that outlasts its callers' deadlines only delays the
 * refusal.
 */
export class FairQueue<Waiting extends WaitingRequest> {
  readonly #capacity: number;

  /** Callers with something waiting, in the order of their turns. */
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

  /** The request to serve next, removed; its caller's next turn comes last. */
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

  /** Takes out one request; false when it does not wait here. */
  remove(waiting: Waiting): boolean {
    const lane = this.#lanes.get(waiting.callerId);
    const index = lane?.indexOf(waiting) ?? -1;
    if (lane === undefined || index < 0) return false;
    lane.splice(index, 1);
    if (lane.length === 0) this.#lanes.delete(waiting.callerId);
    this.#length -= 1;
    return true;
  }

  /** Removes and returns the requests that `isGivenUp` names. */
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
