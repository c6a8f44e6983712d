/**
 * Decides whether orders to a worker share the connection of its hold calls. A worker that has
 * reached its limit of connections resets further ones at once, so that an owner may have no more
 * than one.
 */

/** A connection that ends this soon after it was opened has been refused by the worker. */
const REFUSED_WITHIN_MS = 250;
/** How long orders share a connection before another one is tried. */
const SHARED_MS = 5_000;
/** How long a hold call may keep the orders waiting that share its connection. */
const LONGEST_SHARED_WAIT_MS = 100;

export class ConnectionSharing {
  #sharedUntilMs = Number.NEGATIVE_INFINITY;

  /** Records the end of a connection for orders, for which the worker gave no reason. */
  noteOrderConnectionLost(openedAtMs: number, nowMs: number): void {
    if (nowMs - openedAtMs <= REFUSED_WITHIN_MS) this.#sharedUntilMs = nowMs + SHARED_MS;
  }

  isShared(nowMs: number): boolean {
    return nowMs < this.#sharedUntilMs;
  }

  /** How long a hold call may wait that was to wait for `waitMs`. */
  holdWaitMs(waitMs: number, nowMs: number): number {
    return this.isShared(nowMs) ? Math.min(waitMs, LONGEST_SHARED_WAIT_MS) : waitMs;
  }
}
