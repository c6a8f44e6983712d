/** Follows what operators write in the platform's store. */
import { isLeft } from 'fp-ts/lib/Either.js';

import type { Clock } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import type { Disposable } from '../../../base/common/lifecycle.js';
import type { Log } from '../../log/common/log.js';
import { NO_OPERATOR_STATE, type OperatorState } from '../common/fleetConfiguration.js';
import {
  type FleetDirectory,
  type OperatorChanges,
  withOperatorChanges,
} from '../common/fleetDirectory.js';

/**
 * How long the store may hold a call back without news. An answer at least so often also shows
 * that the store can be reached; a change is answered at once.
 */
const WAIT_MS = 2_000;
/** After a failure; a quarter of the time in which a change must be in force. */
const RETRY_MS = 400;
/** Without an answer for this long the store counts as out of reach, whatever the calls do. */
const SILENCE_MS = 3_500;

export class OperatorFollower implements Disposable {
  readonly #directory: FleetDirectory;

  readonly #clock: Clock;

  readonly #log: Log;

  readonly #didChange = new Emitter<OperatorState>();

  readonly onDidChange = this.#didChange.event;

  #state = NO_OPERATOR_STATE;

  #position: number | undefined;

  #isReached = false;

  #reachedAtMs = Number.NEGATIVE_INFINITY;

  #timer: NodeJS.Timeout | undefined;

  #isDisposed = false;

  constructor(directory: FleetDirectory, clock: Clock, log: Log) {
    this.#directory = directory;
    this.#clock = clock;
    this.#log = log;
    void this.#follow();
  }

  get state(): OperatorState {
    return this.#state;
  }

  /** Whether the store has answered lately and its last call did not fail. */
  isStoreReached(nowMs: number): boolean {
    return this.#isReached && nowMs - this.#reachedAtMs < SILENCE_MS;
  }

  /** How long ago the store last answered. */
  silenceMs(nowMs: number): number {
    return nowMs - this.#reachedAtMs;
  }

  dispose(): void {
    this.#isDisposed = true;
    clearTimeout(this.#timer);
  }

  async #follow(): Promise<void> {
    if (this.#isDisposed) return;
    const result = await this.#directory.operatorChanges(this.#position, WAIT_MS)();
    if (this.#isDisposed) return;
    if (isLeft(result)) {
      if (this.#isReached) this.#log.warn('store-lost', { message: result.left.message });
      this.#isReached = false;
      this.#timer = setTimeout(() => void this.#follow(), RETRY_MS);
      return;
    }
    if (!this.#isReached) this.#log.info('store-regained');
    this.#isReached = true;
    this.#reachedAtMs = this.#clock.nowMs();
    this.#take(result.right);
    this.#timer = setTimeout(() => void this.#follow(), 0);
  }

  #take(news: OperatorChanges): void {
    this.#position = news.position;
    if (!news.isWhole && news.changes.length === 0) return;
    news.changes.forEach((change) => {
      if (change.kind === 'unreadable') this.#log.warn('row-unreadable', { key: change.key });
    });
    this.#state = withOperatorChanges(this.#state, news);
    this.#log.info('operator-state-in-force', {
      version: this.#state.configuration?.version ?? 0,
      withdrawnZones: [...this.#state.withdrawnZones].join(','),
    });
    this.#didChange.fire(this.#state);
  }
}
