/**
 * Lets few calls at a time begin. The first call to a worker opens a connection, and its answer is
 * the longest; those of a whole fleet at once take a slow processor for seconds, in which the owner
 * gets no answer to its own renewals.
 */
export class CallTurns {
  readonly #limit: number;

  readonly #patienceMs: number;

  readonly #waiting: (() => void)[] = [];

  #underWay = 0;

  /** A call that has no answer after the patience makes way for another one. */
  constructor(limit: number, patienceMs: number) {
    this.#limit = limit;
    this.#patienceMs = patienceMs;
  }

  /** Resolves when the call may begin, with what to call when it is over. */
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
