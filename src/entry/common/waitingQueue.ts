/** The bounded queue of requests that wait until a server has room. */
import {
  type Urgency,
  Urgency as UrgencyValue,
} from '../../platform/configuration/common/documents.js';

export interface WaitingRequest {
  readonly urgency: Urgency;
  readonly deadlineAtMs: number;
}

const ORDER: readonly Urgency[] = [UrgencyValue.Urgent, UrgencyValue.Normal, UrgencyValue.Low];

/**
 * Made for bursts of a few seconds above what the servers can take. Urgent requests go first,
 * equal ones by age. The length is bounded, for a queue that outlasts its callers' deadlines
 * only delays the refusal; a request whose deadline has passed is given up at once.
 */
export class WaitingQueue<Waiting extends WaitingRequest> {
  readonly #capacity: number;

  readonly #lanes = new Map<Urgency, Waiting[]>(ORDER.map((urgency) => [urgency, []]));

  constructor(capacity: number) {
    this.#capacity = capacity;
  }

  get length(): number {
    return ORDER.reduce((sum, urgency) => sum + this.#lane(urgency).length, 0);
  }

  /** False when the queue is full and the request has to be refused. */
  tryAdd(waiting: Waiting): boolean {
    if (this.length >= this.#capacity) return false;
    this.#lane(waiting.urgency).push(waiting);
    return true;
  }

  /** The request to serve next, removed from the queue. */
  takeNext(): Waiting | undefined {
    const urgency = ORDER.find((candidate) => this.#lane(candidate).length > 0);
    return urgency === undefined ? undefined : this.#lane(urgency).shift();
  }

  /** Removes and returns the requests whose deadline has passed. */
  takeExpired(nowMs: number): readonly Waiting[] {
    return ORDER.flatMap((urgency) => {
      const lane = this.#lane(urgency);
      const expired = lane.filter((waiting) => waiting.deadlineAtMs <= nowMs);
      if (expired.length > 0) {
        this.#lanes.set(
          urgency,
          lane.filter((waiting) => waiting.deadlineAtMs > nowMs),
        );
      }
      return expired;
    });
  }

  #lane(urgency: Urgency): Waiting[] {
    return this.#lanes.get(urgency) ?? [];
  }
}
