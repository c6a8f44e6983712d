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
  IN_FORCE_BOUND_MS,
  VersionStep,
  versionStep,
} from '../common/configurationSteps.js';
import { type ConfigurationView, toConfigurationView } from '../common/configurationView.js';
import { DOCUMENT_PREFIX, toVersion, VERSION_KEY } from '../common/documents.js';

/** Why a poll did not confirm the configuration. */
export const LearningFault = {
  StoreUnavailable: 'store-unavailable',
  OldRead: 'old-read',
  Malformed: 'malformed',
} as const;
export type LearningFault = (typeof LearningFault)[keyof typeof LearningFault];

/**
 * How many changes beyond the version read are also requested. They may be accepted between the
 * reads of the version and of the changes; if they were left to the next poll, they would wait for
 * an interval and two more reads.
 */
const LOOK_AHEAD_CHANGES = 4;

/** Undefined when the version in force is confirmed. */
type LookResult = LearningFault | undefined;

export class ConfigurationFollower implements ConfigurationService, Disposable {
  readonly #table: TableService;

  readonly #clock: Clock;

  readonly #log: Log;

  readonly #metrics: Metrics;

  readonly #didChange = new Emitter<ConfigurationView>();

  readonly #startedAtMs: number;

  #current: ConfigurationView | undefined;

  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  #heardVersion = 0;

  #heardAtMs = Number.POSITIVE_INFINITY;

  #isReportedConfirmed = true;

  /** The error of the last malformed row, for the log. */
  #faultText = '';

  #running: Promise<void> | undefined;

  #isWantedAgain = false;

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
      isConfirmed: nowMs - this.#confirmedAtMs <= IN_FORCE_BOUND_MS,
      isBehind: nowMs - this.#heardAtMs > IN_FORCE_BOUND_MS,
    };
  }

  /**
   * Polls the table once. If a poll is already running, one more poll follows it. Concurrent polls
   * could put their answers in force in the wrong order, and a burst of hints would cause a burst
   * of reads.
   */
  refresh(heardVersion = 0): Promise<void> {
    this.#noteHeard(heardVersion);
    if (this.#running !== undefined) {
      this.#isWantedAgain = true;
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
      this.#isWantedAgain = false;
      // Each poll depends on the version that the previous poll put in force.
      // eslint-disable-next-line no-await-in-loop
      const fault = await this.#lookSafely();
      this.#report(fault);
    } while (this.#isWantedAgain);
  }

  /** A malformed row must not end the polling loop, because that loop reads the correction. */
  async #lookSafely(): Promise<LookResult> {
    try {
      return await this.#look();
    } catch (error) {
      this.#metrics.count('configuration_malformed');
      this.#faultText = (error as Error).message;
      return LearningFault.Malformed;
    }
  }

  async #look(): Promise<LookResult> {
    const sentAtMs = this.#clock.nowMs();
    const read = await this.#table.read({ keys: [VERSION_KEY], prefixes: [] })();
    if (isLeft(read)) return LearningFault.StoreUnavailable;
    const row = read.right.rows[0];
    const version = toVersion(read.right.rows);
    switch (versionStep(this.#current, version, this.#heardVersion)) {
      case VersionStep.Confirm:
        this.#confirm(sentAtMs);
        return undefined;
      case VersionStep.Prove:
        return this.#prove(row, sentAtMs);
      case VersionStep.OldRead:
        return this.#noteOldRead();
      case VersionStep.FollowChanges:
        return this.#follow(version, sentAtMs);
      default:
        return this.#loadAll();
    }
  }

  async #follow(version: number, sentAtMs: number): Promise<LookResult> {
    const current = this.#current as ConfigurationView;
    const lastVersion = version + LOOK_AHEAD_CHANGES;
    const keys = [VERSION_KEY, ...changeKeysBetween(current.version, lastVersion)];
    const read = await this.#table.read({ keys, prefixes: [] })();
    if (isLeft(read)) return LearningFault.StoreUnavailable;
    const toldVersion = toVersion(read.right.rows);
    if (toldVersion < version) return this.#noteOldRead();
    const followed = followChanges(current, Math.min(toldVersion, lastVersion), read.right.rows);
    if (isLeft(followed)) {
      this.#metrics.count('configuration_change_malformed');
      return this.#loadAll();
    }
    if (toldVersion > lastVersion) this.#isWantedAgain = true;
    return this.#putInForce(followed.right, sentAtMs);
  }

  /**
   * Reads every document, at the start or after a gap. A daemon that has just started has no
   * version to compare a read with, so a stale read could bring back a configuration that this
   * instance had already replaced before its restart. The first view is therefore verified.
   */
  async #loadAll(): Promise<LookResult> {
    const sentAtMs = this.#clock.nowMs();
    const read = await this.#table.read({ keys: [VERSION_KEY], prefixes: [DOCUMENT_PREFIX] })();
    if (isLeft(read)) return LearningFault.StoreUnavailable;
    const view = toConfigurationView(read.right.rows);
    if (this.#current === undefined || this.#heardVersion > view.version) {
      const row = read.right.rows.find(({ key }) => key === VERSION_KEY);
      const fault = await this.#prove(row, sentAtMs);
      if (fault !== undefined) return fault;
    }
    return this.#putInForce(view, sentAtMs);
  }

  /**
   * Verifies that a version row is the newest by a transaction that writes nothing and commits only
   * if the row is unchanged. A read alone may be stale.
   */
  async #prove(row: TableRow | undefined, sentAtMs: number): Promise<LookResult> {
    const result = await this.#table.transact({
      operationId: 'configuration-proof',
      conditions: [{ key: VERSION_KEY, version: row?.version ?? ABSENT_VERSION }],
      writes: [],
    })();
    if (isLeft(result)) return LearningFault.StoreUnavailable;
    if (result.right.outcome === TransactionOutcome.Conflict) return this.#noteOldRead();
    this.#heardVersion = 0;
    if (this.#current !== undefined) this.#confirm(sentAtMs);
    return undefined;
  }

  /**
   * Invariant: the version in force never decreases. A lower version is always refused, because it
   * would bring a withdrawn zone back into use.
   */
  #putInForce(view: ConfigurationView, sentAtMs: number): LookResult {
    const version = this.#current?.version;
    if (version !== undefined && view.version < version) {
      this.#metrics.count('invariant_configuration_never_reverts');
      return LearningFault.OldRead;
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
    if (this.#heardVersion <= (this.#current?.version ?? 0)) {
      this.#heardAtMs = Number.POSITIVE_INFINITY;
    }
  }

  #noteHeard(heardVersion: number): void {
    if (heardVersion <= Math.max(this.#heardVersion, this.#current?.version ?? 0)) return;
    this.#heardVersion = heardVersion;
    this.#heardAtMs = Math.min(this.#heardAtMs, this.#clock.nowMs());
  }

  #noteOldRead(): LearningFault {
    this.#metrics.count('configuration_old_read');
    return LearningFault.OldRead;
  }

  /** Logs one line when the configuration can no longer be confirmed, and one when it can again. */
  #report(fault: LookResult): void {
    if (fault !== undefined) this.#metrics.count('configuration_look_failed', { fault });
    const { isConfirmed } = this.health;
    const isStarting =
      this.#current === undefined && this.#clock.nowMs() - this.#startedAtMs <= IN_FORCE_BOUND_MS;
    if (isStarting && !isConfirmed) return;
    this.#metrics.gauge('configuration_is_confirmed', isConfirmed ? 1 : 0);
    if (isConfirmed === this.#isReportedConfirmed) return;
    this.#isReportedConfirmed = isConfirmed;
    const version = this.#current?.version ?? 0;
    if (isConfirmed) this.#log.info('configuration-confirmed-again', { version });
    else {
      const cause = fault === LearningFault.Malformed ? this.#faultText : (fault ?? 'slow answers');
      this.#log.warn('configuration-cannot-be-learnt', { version, cause });
    }
  }
}
