/**
 * Handles the messages of one task in order, one at a time, so that the task's state has a
 * single writer. The mailbox is bounded: under overload it rejects messages immediately, so that
 * memory use does not grow until the process dies.
 */
export class Mailbox<Message> {
  readonly #handle: (message: Message) => Promise<void> | void;

  readonly #capacity: number;

  readonly #waiting: Message[] = [];

  #isRunning = false;

  constructor(capacity: number, handle: (message: Message) => Promise<void> | void) {
    this.#capacity = capacity;
    this.#handle = handle;
  }

  /** Queues a message; returns false and drops the message when the mailbox is full. */
  post(message: Message): boolean {
    if (this.#waiting.length >= this.#capacity) return false;
    this.#waiting.push(message);
    if (!this.#isRunning) void this.#run();
    return true;
  }

  async #run(): Promise<void> {
    this.#isRunning = true;
    try {
      for (let next = this.#waiting.shift(); next !== undefined; next = this.#waiting.shift()) {
        // The task's state has a single writer, so messages must not be handled concurrently.
        // eslint-disable-next-line no-await-in-loop
        await this.#handle(next);
      }
    } finally {
      this.#isRunning = false;
    }
  }
}
