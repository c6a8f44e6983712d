/**
 * Limits how many calls run at the same time. A call that has had no answer for a while makes room
 * for another one, so that one silent peer holds up few calls, up to a limit of calls under way.
 */
export class ConcurrencyLimiter {
  readonly #limit: number;

  readonly #slotTimeoutMs: number;

  readonly #maximumUnderWay: number;

  readonly #waiting: (() => void)[] = [];

  #activeCount = 0;

  #underWayCount = 0;

  /**
   * A call without an answer after `slotTimeoutMs` stops counting towards `limit`, and counts
   * towards `maximumUnderWay` until it is over.
   */
  constructor(limit: number, slotTimeoutMs: number, maximumUnderWay = Number.POSITIVE_INFINITY) {
    this.#limit = limit;
    this.#slotTimeoutMs = slotTimeoutMs;
    this.#maximumUnderWay = maximumUnderWay;
  }

  get isIdle(): boolean {
    return this.#underWayCount === 0 && this.#waiting.length === 0;
  }

  /** Resolves with a release function when the call may begin. Invoke it when the call is over. */
  async acquire(): Promise<() => void> {
    if (this.#mayBegin()) this.#countBegun();
    else {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    return this.#startSlot();
  }

  #mayBegin(): boolean {
    return this.#activeCount < this.#limit && this.#underWayCount < this.#maximumUnderWay;
  }

  #countBegun(): void {
    this.#activeCount += 1;
    this.#underWayCount += 1;
  }

  #startSlot(): () => void {
    let isActive = true;
    let isUnderWay = true;
    const makeRoom = (): void => {
      if (!isActive) return;
      isActive = false;
      this.#activeCount -= 1;
      this.#beginNext();
    };
    const timer = setTimeout(makeRoom, this.#slotTimeoutMs);
    return (): void => {
      if (!isUnderWay) return;
      isUnderWay = false;
      clearTimeout(timer);
      this.#underWayCount -= 1;
      if (isActive) makeRoom();
      else this.#beginNext();
    };
  }

  #beginNext(): void {
    if (this.#waiting.length === 0 || !this.#mayBegin()) return;
    this.#countBegun();
    this.#waiting.shift()?.();
  }
}
