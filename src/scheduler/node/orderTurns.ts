/**
 * Decides when each order to a worker is sent. Orders are held back here rather than in the queue of
 * a connection, as one that has not been sent can still be withheld. A few are under way at a time,
 * which needs as many connections, and each that has no answer for a while lets another one pass.
 * Starts do not keep stops waiting.
 */
import { ConcurrencyLimiter } from './concurrencyLimiter.js';

const PROMPT_ANSWER_MS = 50;
const ORDERS_AT_A_TIME = 3;
/** The client has a connection for each order of both kinds that may be under way. */
const MAXIMUM_ORDERS_UNDER_WAY = 4;

export const OrderKind = { Start: 'start', Other: 'other' } as const;
export type OrderKind = (typeof OrderKind)[keyof typeof OrderKind];

export class OrderTurns {
  readonly #limiters = new Map<string, ConcurrencyLimiter>();

  /** Resolves with a release function when the order may be sent. Invoke it when it is over. */
  async acquire(workerId: string, kind: OrderKind): Promise<() => void> {
    const key = `${kind} ${workerId}`;
    const limiter =
      this.#limiters.get(key) ??
      new ConcurrencyLimiter(ORDERS_AT_A_TIME, PROMPT_ANSWER_MS, MAXIMUM_ORDERS_UNDER_WAY);
    this.#limiters.set(key, limiter);
    const release = await limiter.acquire();
    return () => {
      // The connection of an answered order is free only in the next phase of the event loop.
      setImmediate(() => {
        release();
        if (limiter.isIdle) this.#limiters.delete(key);
      });
    };
  }
}
