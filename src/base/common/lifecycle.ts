/** Ownership and release of resources such as sockets, timers and listeners. */

/** Holds a resource until its owner disposes it. `dispose` may be called more than once. */
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

/** Owns disposables and disposes them in the reverse order of their registration. */
export class DisposableStore implements Disposable {
  readonly #items: Disposable[] = [];

  #isDisposed = false;

  get isDisposed(): boolean {
    return this.#isDisposed;
  }

  /** Takes ownership of an item. An item added after disposal is disposed immediately. */
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
