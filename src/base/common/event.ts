/** Typed events between objects of one process. */
import { type Disposable, toDisposable } from './lifecycle.js';

/** Subscribes a listener; disposing the result ends the subscription. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** Fires an event to its listeners. The owner exposes `event` as `onDidX`. */
export class Emitter<T> implements Disposable {
  readonly #listeners = new Set<(value: T) => void>();

  readonly event: Event<T> = (listener) => {
    this.#listeners.add(listener);
    return toDisposable(() => this.#listeners.delete(listener));
  };

  fire(value: T): void {
    [...this.#listeners].forEach((listener) => listener(value));
  }

  dispose(): void {
    this.#listeners.clear();
  }
}
