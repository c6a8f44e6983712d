/** Follows the operators' changes in the platform's store. */
import { isLeft } from 'fp-ts/lib/Either.js';

import type { Clock } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import type { Disposable } from '../../../base/common/lifecycle.js';
import type { CallGuard } from '../../errors/common/callGuard.js';
import type { Log } from '../../log/common/log.js';
import type { OperatorTiming } from '../common/operatorTiming.js';
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

/** The interval between two calls that fail at once. */
const RETRY_MS = 400;

export class OperatorFollower implements KnownOperatorState, Disposable {
  readonly #directory: FleetDirectory;

  readonly #clock: Clock;

  readonly #log: Log;

  readonly #timing: OperatorTiming;

  readonly #guard: CallGuard;

  readonly #didChange = new Emitter<OperatorState>();

  readonly onDidChange = this.#didChange.event;

  readonly #didConfirm = new Emitter<number>();

  /** Fires with each answer, after `onDidChange`, with the time at which its call was sent. */
  readonly onDidConfirm = this.#didConfirm.event;

  #state = NO_OPERATOR_STATE;

  #position: number | undefined;

  #isReachable = false;

  /** When the last answered call was sent. The answer itself may have been under way for long. */
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  #timer: NodeJS.Timeout | undefined;

  #isDisposed = false;

  constructor(
    directory: FleetDirectory,
    clock: Clock,
    log: Log,
    timing: OperatorTiming,
    guard: CallGuard,
  ) {
    this.#directory = directory;
    this.#clock = clock;
    this.#log = log;
    this.#timing = timing;
    this.#guard = guard;
    void this.#follow();
  }

  get state(): OperatorState {
    return this.#state;
  }

  get confirmedAtMs(): number {
    return this.#confirmedAtMs;
  }

  /** Whether the last call to the store succeeded and the state is recent enough to go by. */
  isStoreReachable(nowMs: number): boolean {
    return this.#isReachable && this.ageMs(nowMs) <= this.#timing.maximumAgeMs;
  }

  /** The longest time for which the state may have been out of date. */
  ageMs(nowMs: number): number {
    return nowMs - this.#confirmedAtMs;
  }

  dispose(): void {
    this.#isDisposed = true;
    clearTimeout(this.#timer);
  }

  async #follow(): Promise<void> {
    if (this.#isDisposed) return;
    const sentAtMs = this.#clock.nowMs();
    const waitMs = this.#waitMs(sentAtMs);
    const { callTimeoutMs } = this.#timing;
    const result = await this.#guard.run('operator-changes', () =>
      this.#directory.operatorChanges(this.#position, waitMs, callTimeoutMs)(),
    );
    if (this.#isDisposed) return;
    if (isLeft(result)) {
      if (this.#isReachable) this.#log.warn('store-lost', { message: result.left.message });
      this.#isReachable = false;
      const tookMs = this.#clock.nowMs() - sentAtMs;
      this.#timer = setTimeout(() => void this.#follow(), Math.max(0, RETRY_MS - tookMs));
      return;
    }
    if (!this.#isReachable) this.#log.info('store-regained');
    this.#isReachable = true;
    this.#apply(result.right);
    this.#confirmedAtMs = sentAtMs;
    this.#didConfirm.fire(sentAtMs);
    this.#timer = setTimeout(() => void this.#follow(), 0);
  }

  /**
   * How long a call sent now may wait for a change. It does not wait after a failure, nor if the
   * state would be too old once the call had failed, so that its answer confirms the state at once.
   */
  #waitMs(nowMs: number): number {
    const { waitMs, callTimeoutMs, maximumAgeMs } = this.#timing;
    const mayFail = this.ageMs(nowMs) + callTimeoutMs <= maximumAgeMs;
    return this.#isReachable && mayFail ? waitMs : 0;
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
      ageLimitMs: Math.round(this.ageMs(this.#clock.nowMs())),
      withdrawnZones: [...this.#state.withdrawnZones].join(','),
    });
    this.#didChange.fire(this.#state);
  }
}
