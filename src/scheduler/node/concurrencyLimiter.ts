/**
 * Limits how many calls run at the same time. The first call to a worker opens a connection and has
 * the longest answer. The first calls to a whole fleet at once occupy a slow processor for seconds,
 * during which the owner handles no answers to its own renewals.
 */
export class ConcurrencyLimiter {
  readonly #limit: number;

  readonly #slotTimeoutMs: number;

  readonly #waiting: (() => void)[] = [];

  #activeCount = 0;

  /** A call without an answer after `slotTimeoutMs` stops counting towards the limit. */
  constructor(limit: number, slotTimeoutMs: number) {
    this.#limit = limit;
    this.#slotTimeoutMs = slotTimeoutMs;
  }

  /** Resolves with a release function when the call may begin. Invoke it when the call is over. */
  async acquire(): Promise<() => void> {
    if (this.#activeCount >= this.#limit) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    } else {
      this.#activeCount += 1;
    }
    return this.#startSlot();
  }

  #startSlot(): () => void {
    let timer: NodeJS.Timeout | undefined;
    const release = (): void => {
      if (timer === undefined) return;
      clearTimeout(timer);
      timer = undefined;
      this.#releaseSlot();
    };
    timer = setTimeout(release, this.#slotTimeoutMs);
    return release;
  }

  #releaseSlot(): void {
    const resolve = this.#waiting.shift();
    if (resolve === undefined) this.#activeCount -= 1;
    else resolve();
  }
}
