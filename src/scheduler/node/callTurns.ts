/**
 * Limits how many calls run at the same time. The first call to a worker opens a connection and has
 * the longest answer. The first calls to a whole fleet at once occupy a slow processor for seconds,
 * during which the owner handles no answers to its own renewals.
 */
export class CallTurns {
  readonly #limit: number;

  readonly #patienceMs: number;

  readonly #waiting: (() => void)[] = [];

  #underWay = 0;

  /** A call without an answer after `patienceMs` stops counting towards the limit. */
  constructor(limit: number, patienceMs: number) {
    this.#limit = limit;
    this.#patienceMs = patienceMs;
  }

  /** Resolves when the call may begin. The caller calls the result when the call is over. */
  async next(): Promise<() => void> {
    if (this.#underWay >= this.#limit) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    } else {
      this.#underWay += 1;
    }
    return this.#turn();
  }

  #turn(): () => void {
    let timer: NodeJS.Timeout | undefined;
    const end = (): void => {
      if (timer === undefined) return;
      clearTimeout(timer);
      timer = undefined;
      this.#pass();
    };
    timer = setTimeout(end, this.#patienceMs);
    return end;
  }

  #pass(): void {
    const resolve = this.#waiting.shift();
    if (resolve === undefined) this.#underWay -= 1;
    else resolve();
  }
}
