/** Follows the configuration in the table; each call of `refresh` polls the table. */
import { isLeft } from 'fp-ts/lib/Either.js';

import type { Clock } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import type { Disposable } from '../../../base/common/lifecycle.js';
import type { Log } from '../../log/common/log.js';
import type { Metrics } from '../../metrics/common/metrics.js';
import {
  ABSENT_VERSION,
  type TableRow,
  type TableService,
  TransactionOutcome,
} from '../../table/common/table.js';
import type { ConfigurationHealth, ConfigurationService } from '../common/configurationService.js';
import {
  changeKeysBetween,
  followChanges,
  MAXIMUM_CONFIGURATION_LAG_MS,
  VersionStep,
  selectVersionStep,
} from '../common/configurationSteps.js';
import { type ConfigurationView, toConfigurationView } from '../common/configurationView.js';
import { DOCUMENT_PREFIX, toVersion, VERSION_KEY } from '../common/documents.js';

/** Why a poll did not confirm the configuration. */
export const PollFault = {
  StoreUnavailable: 'store-unavailable',
  StaleRead: 'old-read',
  Malformed: 'malformed',
} as const;
export type PollFault = (typeof PollFault)[keyof typeof PollFault];

/**
 * How many changes beyond the version read are also requested. They may be accepted between the
 * reads of the version and of the changes; if they were left to the next poll, they would wait for
 * an interval and two more reads.
 */
const READ_AHEAD_CHANGE_COUNT = 4;

/** Undefined when the version in force is confirmed. */
type PollResult = PollFault | undefined;

export class ConfigurationFollower implements ConfigurationService, Disposable {
  readonly #table: TableService;

  readonly #clock: Clock;

  readonly #log: Log;

  readonly #metrics: Metrics;

  readonly #didChange = new Emitter<ConfigurationView>();

  readonly #startedAtMs: number;

  #current: ConfigurationView | undefined;

  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  #hintedVersion = 0;

  #hintedAtMs = Number.POSITIVE_INFINITY;

  #wasReportedConfirmed = true;

  /** The error of the last malformed row, for the log. */
  #malformedRowError = '';

  #running: Promise<void> | undefined;

  #isPollRequested = false;

  constructor(table: TableService, clock: Clock, log: Log, metrics: Metrics) {
    this.#table = table;
    this.#clock = clock;
    this.#log = log;
    this.#metrics = metrics;
    this.#startedAtMs = clock.nowMs();
  }

  get current(): ConfigurationView | undefined {
    return this.#current;
  }

  get confirmedAtMs(): number {
    return this.#confirmedAtMs;
  }

  get onDidChange(): Emitter<ConfigurationView>['event'] {
    return this.#didChange.event;
  }

  get health(): ConfigurationHealth {
    const nowMs = this.#clock.nowMs();
    return {
      version: this.#current?.version,
      isConfirmed: nowMs - this.#confirmedAtMs <= MAXIMUM_CONFIGURATION_LAG_MS,
      isBehind: nowMs - this.#hintedAtMs > MAXIMUM_CONFIGURATION_LAG_MS,
    };
  }

  /**
   * Polls the table once. If a poll is already running, one more poll follows it. Concurrent polls
   * could put their answers in force in the wrong order, and a burst of hints would cause a burst
   * of reads.
   */
  refresh(hintedVersion = 0): Promise<void> {
    this.#recordHint(hintedVersion);
    if (this.#running !== undefined) {
      this.#isPollRequested = true;
      return this.#running;
    }
    this.#running = this.#run().finally(() => {
      this.#running = undefined;
    });
    return this.#running;
  }

  dispose(): void {
    this.#didChange.dispose();
  }

  async #run(): Promise<void> {
    do {
      this.#isPollRequested = false;
      // Each poll depends on the version that the previous poll put in force.
      // eslint-disable-next-line no-await-in-loop
      const fault = await this.#pollSafely();
      this.#report(fault);
    } while (this.#isPollRequested);
  }

  /** A malformed row must not end the polling loop, because that loop reads the correction. */
  async #pollSafely(): Promise<PollResult> {
    try {
      return await this.#poll();
    } catch (error) {
      this.#metrics.count('configuration_malformed');
      this.#malformedRowError = (error as Error).message;
      return PollFault.Malformed;
    }
  }

  async #poll(): Promise<PollResult> {
    const sentAtMs = this.#clock.nowMs();
    const read = await this.#table.read({ keys: [VERSION_KEY], prefixes: [] })();
    if (isLeft(read)) return PollFault.StoreUnavailable;
    const row = read.right.rows[0];
    const version = toVersion(read.right.rows);
    switch (selectVersionStep(this.#current, version, this.#hintedVersion)) {
      case VersionStep.Confirm:
        this.#confirm(sentAtMs);
        return undefined;
      case VersionStep.Verify:
        return this.#verify(row, sentAtMs);
      case VersionStep.StaleRead:
        return this.#recordStaleRead();
      case VersionStep.FollowChanges:
        return this.#follow(version, sentAtMs);
      default:
        return this.#loadAll();
    }
  }

  async #follow(version: number, sentAtMs: number): Promise<PollResult> {
    const current = this.#current as ConfigurationView;
    const lastRequestedVersion = version + READ_AHEAD_CHANGE_COUNT;
    const keys = [VERSION_KEY, ...changeKeysBetween(current.version, lastRequestedVersion)];
    const read = await this.#table.read({ keys, prefixes: [] })();
    if (isLeft(read)) return PollFault.StoreUnavailable;
    const readVersion = toVersion(read.right.rows);
    if (readVersion < version) return this.#recordStaleRead();
    const followed = followChanges(
      current,
      Math.min(readVersion, lastRequestedVersion),
      read.right.rows,
    );
    if (isLeft(followed)) {
      this.#metrics.count('configuration_change_malformed');
      return this.#loadAll();
    }
    if (readVersion > lastRequestedVersion) this.#isPollRequested = true;
    return this.#putInForce(followed.right, sentAtMs);
  }

  /**
   * Reads every document, at the start or after a gap. A daemon that has just started has no
   * version to compare a read with, so a stale read could bring back a configuration that this
   * instance had already replaced before its restart. The first view is therefore verified.
   */
  async #loadAll(): Promise<PollResult> {
    const sentAtMs = this.#clock.nowMs();
    const read = await this.#table.read({ keys: [VERSION_KEY], prefixes: [DOCUMENT_PREFIX] })();
    if (isLeft(read)) return PollFault.StoreUnavailable;
    const view = toConfigurationView(read.right.rows);
    if (this.#current === undefined || this.#hintedVersion > view.version) {
      const row = read.right.rows.find(({ key }) => key === VERSION_KEY);
      const fault = await this.#verify(row, sentAtMs);
      if (fault !== undefined) return fault;
    }
    return this.#putInForce(view, sentAtMs);
  }

  /**
   * Verifies that a version row is the newest by a transaction that writes nothing and commits only
   * if the row is unchanged. A read alone may be stale.
   */
  async #verify(row: TableRow | undefined, sentAtMs: number): Promise<PollResult> {
    const result = await this.#table.transact({
      operationId: 'configuration-proof',
      conditions: [{ key: VERSION_KEY, version: row?.version ?? ABSENT_VERSION }],
      writes: [],
    })();
    if (isLeft(result)) return PollFault.StoreUnavailable;
    if (result.right.outcome === TransactionOutcome.Conflict) return this.#recordStaleRead();
    this.#hintedVersion = 0;
    if (this.#current !== undefined) this.#confirm(sentAtMs);
    return undefined;
  }

  /**
   * Invariant: the version in force never decreases. A lower version is always refused, because it
   * would bring a withdrawn zone back into use.
   */
  #putInForce(view: ConfigurationView, sentAtMs: number): PollResult {
    const version = this.#current?.version;
    if (version !== undefined && view.version < version) {
      this.#metrics.count('invariant_configuration_never_reverts');
      return PollFault.StaleRead;
    }
    if (version !== view.version) {
      this.#current = view;
      this.#metrics.gauge('configuration_version', view.version);
      this.#log.info('configuration-in-force', { version: view.version });
    }
    this.#confirm(sentAtMs);
    if (version !== view.version) this.#didChange.fire(view);
    return undefined;
  }

  #confirm(sentAtMs: number): void {
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, sentAtMs);
    if (this.#hintedVersion <= (this.#current?.version ?? 0)) {
      this.#hintedAtMs = Number.POSITIVE_INFINITY;
    }
  }

  #recordHint(hintedVersion: number): void {
    if (hintedVersion <= Math.max(this.#hintedVersion, this.#current?.version ?? 0)) return;
    this.#hintedVersion = hintedVersion;
    this.#hintedAtMs = Math.min(this.#hintedAtMs, this.#clock.nowMs());
  }

  #recordStaleRead(): PollFault {
    this.#metrics.count('configuration_old_read');
    return PollFault.StaleRead;
  }

  /** Logs one line when the configuration can no longer be confirmed, and one when it can again. */
  #report(fault: PollResult): void {
    if (fault !== undefined) this.#metrics.count('configuration_look_failed', { fault });
    const { isConfirmed } = this.health;
    const isStarting =
      this.#current === undefined &&
      this.#clock.nowMs() - this.#startedAtMs <= MAXIMUM_CONFIGURATION_LAG_MS;
    if (isStarting && !isConfirmed) return;
    this.#metrics.gauge('configuration_is_confirmed', isConfirmed ? 1 : 0);
    if (isConfirmed === this.#wasReportedConfirmed) return;
    this.#wasReportedConfirmed = isConfirmed;
    const version = this.#current?.version ?? 0;
    if (isConfirmed) this.#log.info('configuration-confirmed-again', { version });
    else {
      const cause =
        fault === PollFault.Malformed ? this.#malformedRowError : (fault ?? 'slow answers');
      this.#log.warn('configuration-cannot-be-learnt', { version, cause });
    }
  }
}
