/** A limit for the whole time of a call, for calls whose timeout must not be late. */
import type { Disposable } from '../../../base/common/lifecycle.js';

/**
 * Aborts its signal after the given time. In a process that is late, the answer may have arrived by
 * then without having been read. So the signal is aborted only after the sockets have been read once
 * more. The timeouts of undici may be late by half a second.
 */
export class CallTimeout implements Disposable {
  readonly #controller = new AbortController();

  readonly #timer: NodeJS.Timeout;

  #immediate: NodeJS.Immediate | undefined;

  constructor(timeoutMs: number) {
    this.#timer = setTimeout(() => {
      this.#immediate = setImmediate(() => this.#controller.abort());
    }, timeoutMs);
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  dispose(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#immediate);
  }
}
