/** Writes lines to a file descriptor without blocking when its reader is slow. */
import { write } from 'node:fs';
import { setTimeout as delay } from 'node:timers/promises';

/** Holds a few seconds of lines at the rate limit of `RateLimitedLog`. */
const MAXIMUM_BUFFERED_BYTES = 256 * 1024;
/** Lines added within this time are written in one call. */
const BATCH_DELAY_MS = 100;
/** The retry delay after a failed write, for example when a non-blocking pipe is full. */
const RETRY_MS = 100;
/** How often a flush checks whether everything is written. */
const FLUSH_POLL_MS = 10;

/** The system call that writes bytes; tests replace it to simulate a reader that does not read. */
export type WriteBytes = (
  bytes: Buffer,
  done: (error: Error | null, written: number) => void,
) => void;

/**
 * `process.stdout` writes to a pipe synchronously, on the thread that answers callers, and blocks
 * while the pipe is full. This class writes on a thread of the pool, one chunk at a time. Lines
 * added while the buffer is full are dropped and counted; the count is written as soon as there is
 * room again.
 */
export class LineWriter {
  readonly #write: WriteBytes;

  readonly #describeDropped: (lines: number) => string;

  #lines: string[] = [];

  #bufferedBytes = 0;

  #droppedCount = 0;

  #isWriting = false;

  #timer: NodeJS.Timeout | undefined;

  constructor(describeDropped: (lines: number) => string, writeBytes: WriteBytes) {
    this.#describeDropped = describeDropped;
    this.#write = writeBytes;
  }

  static toDescriptor(descriptor: number, describeDropped: (lines: number) => string): LineWriter {
    return new LineWriter(describeDropped, (bytes, done) => write(descriptor, bytes, done));
  }

  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  add(line: string): void {
    const bytes = Buffer.byteLength(line);
    if (this.#bufferedBytes + bytes > MAXIMUM_BUFFERED_BYTES) {
      this.#droppedCount += 1;
      return;
    }
    this.#lines.push(line);
    this.#bufferedBytes += bytes;
    this.#schedule(BATCH_DELAY_MS);
  }

  /** Writes the buffered lines before the process ends, and gives up after the timeout. */
  async flush(timeoutMs: number): Promise<void> {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (!this.#isWriting) this.#sendAll();
    let remainingMs = timeoutMs;
    while (this.#bufferedBytes > 0 && remainingMs > 0) {
      // eslint-disable-next-line no-await-in-loop -- polls until everything is written
      await delay(FLUSH_POLL_MS);
      remainingMs -= FLUSH_POLL_MS;
    }
  }

  #takeText(): string {
    if (this.#droppedCount > 0) this.#lines.push(this.#describeDropped(this.#droppedCount));
    const text = this.#lines.join('');
    this.#lines = [];
    this.#droppedCount = 0;
    return text;
  }

  #schedule(delayMs: number): void {
    if (this.#isWriting || this.#timer !== undefined) return;
    this.#timer = setTimeout(() => {
      this.#timer = undefined;
      this.#sendAll();
    }, delayMs);
    this.#timer.unref();
  }

  #sendAll(): void {
    const bytes = Buffer.from(this.#takeText());
    if (bytes.length > 0) this.#send(bytes);
  }

  #send(bytes: Buffer): void {
    this.#isWriting = true;
    this.#write(bytes, (error, written) => {
      const rest = error === null ? bytes.subarray(written) : bytes;
      if (rest.length > 0) {
        setTimeout(() => this.#send(rest), error === null ? 0 : RETRY_MS).unref();
        return;
      }
      this.#isWriting = false;
      this.#bufferedBytes = this.#lines.reduce((sum, line) => sum + Buffer.byteLength(line), 0);
      if (this.#lines.length > 0 || this.#droppedCount > 0) this.#schedule(BATCH_DELAY_MS);
    });
  }
}
