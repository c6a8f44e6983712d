/** Ownership of things that must be released: sockets, timers, listeners. */

/** Something that holds a resource; its owner disposes it, once or more often. */
export interface Disposable {
  dispose(): void;
}

/** Wraps a function as a disposable that runs it at most once. */
export const toDisposable = (release: () => void): Disposable => {
  let isDisposed = false;
  return {
    dispose: () => {
      if (isDisposed) return;
      isDisposed = true;
      release();
    },
  };
};

/** Holds disposables and releases them in the reverse order of their registration. */
export class DisposableStore implements Disposable {
  readonly #items: Disposable[] = [];

  #isDisposed = false;

  get isDisposed(): boolean {
    return this.#isDisposed;
  }

  /** Takes ownership; an item added after disposal is released at once. */
  add<T extends Disposable>(item: T): T {
    if (this.#isDisposed) item.dispose();
    else this.#items.push(item);
    return item;
  }

  dispose(): void {
    if (this.#isDisposed) return;
    this.#isDisposed = true;
    this.#items.reverse().forEach((item) => item.dispose());
    this.#items.length = 0;
  }
}
