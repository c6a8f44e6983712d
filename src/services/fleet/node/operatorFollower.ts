/** Follows the operators' changes in the platform's store. */
import { isLeft } from 'fp-ts/lib/Either.js';

import type { Clock } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import type { Disposable } from '../../../base/common/lifecycle.js';
import type { Log } from '../../log/common/log.js';
import {
  type KnownOperatorState,
  NO_OPERATOR_STATE,
  type OperatorState,
} from '../common/fleetConfiguration.js';
import {
  type FleetDirectory,
  type OperatorChanges,
  withOperatorChanges,
} from '../common/fleetDirectory.js';

/**
 * How long the store may delay its answer while nothing changes. The regular answer also shows that
 * the store is reachable. The store answers immediately when there is a change.
 */
const WAIT_MS = 2_000;
/** The retry delay after a failure: a quarter of the time in which a change must be in force. */
const RETRY_MS = 400;
/** The store counts as unreachable after this long without an answer, even if no call fails. */
const SILENCE_MS = 3_500;

export class OperatorFollower implements KnownOperatorState, Disposable {
  readonly #directory: FleetDirectory;

  readonly #clock: Clock;

  readonly #log: Log;

  readonly #didChange = new Emitter<OperatorState>();

  readonly onDidChange = this.#didChange.event;

  #state = NO_OPERATOR_STATE;

  #position: number | undefined;

  #isReachable = false;

  #lastAnswerAtMs = Number.NEGATIVE_INFINITY;

  /** When the last answered call was sent. The answer itself may have been under way for long. */
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

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

  get confirmedAtMs(): number {
    return this.#confirmedAtMs;
  }

  /** Whether the last call to the store succeeded and its answer is recent. */
  isStoreReachable(nowMs: number): boolean {
    return this.#isReachable && nowMs - this.#lastAnswerAtMs < SILENCE_MS;
  }

  /** The time since the store last answered. */
  silenceMs(nowMs: number): number {
    return nowMs - this.#lastAnswerAtMs;
  }

  dispose(): void {
    this.#isDisposed = true;
    clearTimeout(this.#timer);
  }

  async #follow(): Promise<void> {
    if (this.#isDisposed) return;
    const sentAtMs = this.#clock.nowMs();
    const result = await this.#directory.operatorChanges(this.#position, WAIT_MS)();
    if (this.#isDisposed) return;
    if (isLeft(result)) {
      if (this.#isReachable) this.#log.warn('store-lost', { message: result.left.message });
      this.#isReachable = false;
      this.#timer = setTimeout(() => void this.#follow(), RETRY_MS);
      return;
    }
    if (!this.#isReachable) this.#log.info('store-regained');
    this.#isReachable = true;
    this.#lastAnswerAtMs = this.#clock.nowMs();
    this.#apply(result.right);
    this.#confirmedAtMs = sentAtMs;
    this.#timer = setTimeout(() => void this.#follow(), 0);
  }

  #apply(update: OperatorChanges): void {
    this.#position = update.position;
    if (!update.isSnapshot && update.changes.length === 0) return;
    update.changes.forEach((change) => {
      if (change.kind === 'unreadable') this.#log.warn('row-unreadable', { key: change.key });
    });
    this.#state = withOperatorChanges(this.#state, update);
    this.#log.info('operator-state-in-force', {
      version: this.#state.configuration?.version ?? 0,
      position: update.position,
      ageLimitMs: Math.round(this.#clock.nowMs() - this.#confirmedAtMs),
      withdrawnZones: [...this.#state.withdrawnZones].join(','),
    });
    this.#didChange.fire(this.#state);
  }
}
