/** Follows the configuration in the table by reading its version about once a second. */
import { isLeft } from 'fp-ts/lib/Either.js';

import type { Clock } from '../../../base/common/clock.js';
import { Emitter } from '../../../base/common/event.js';
import type { Disposable } from '../../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../../base/node/periodicTimer.js';
import type { Log } from '../../log/common/log.js';
import type { Metrics } from '../../metrics/common/metrics.js';
import type { TableService } from '../../table/common/table.js';
import type { ConfigurationService } from '../common/configurationService.js';
import {
  type ConfigurationView,
  newerView,
  toConfigurationView,
} from '../common/configurationView.js';
import { DOCUMENT_PREFIX, VERSION_KEY, versionRowSchema } from '../common/documents.js';

export class ConfigurationReader implements ConfigurationService, Disposable {
  readonly #table: TableService;

  readonly #clock: Clock;

  readonly #log: Log;

  readonly #metrics: Metrics;

  readonly #timer: PeriodicTimer;

  readonly #didChange = new Emitter<ConfigurationView>();

  #current: ConfigurationView | undefined;

  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  #isReachable = true;

  constructor(table: TableService, clock: Clock, log: Log, metrics: Metrics, intervalMs: number) {
    this.#table = table;
    this.#clock = clock;
    this.#log = log;
    this.#metrics = metrics;
    this.#timer = new PeriodicTimer(intervalMs, () => this.refresh());
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

  async refresh(): Promise<void> {
    const sentAtMs = this.#clock.nowMs();
    const versionRead = await this.#table.read({ keys: [VERSION_KEY], prefixes: [] })();
    if (isLeft(versionRead)) {
      this.#noteReachable(false);
      return;
    }
    this.#noteReachable(true);
    const row = versionRead.right.rows[0];
    const version = row === undefined ? 0 : versionRowSchema.parse(row.value).version;
    if (this.#current !== undefined && version === this.#current.version) {
      this.#confirmedAtMs = Math.max(this.#confirmedAtMs, sentAtMs);
      return;
    }
    await this.#readDocuments();
  }

  dispose(): void {
    this.#timer.dispose();
    this.#didChange.dispose();
  }

  async #readDocuments(): Promise<void> {
    const sentAtMs = this.#clock.nowMs();
    const read = await this.#table.read({ keys: [VERSION_KEY], prefixes: [DOCUMENT_PREFIX] })();
    if (isLeft(read)) {
      this.#noteReachable(false);
      return;
    }
    const view = toConfigurationView(read.right.rows);
    const chosen = newerView(this.#current, view);
    if (chosen !== view) {
      this.#metrics.count('configuration_old_read');
      return;
    }
    this.#confirmedAtMs = Math.max(this.#confirmedAtMs, sentAtMs);
    if (this.#current?.version === view.version) return;
    this.#current = view;
    this.#metrics.gauge('configuration_version', view.version);
    this.#log.info('configuration-in-force', { version: view.version });
    this.#didChange.fire(view);
  }

  #noteReachable(isReachable: boolean): void {
    if (!isReachable) this.#metrics.count('configuration_read_failed');
    if (isReachable === this.#isReachable) return;
    this.#isReachable = isReachable;
    if (isReachable) this.#log.info('table-reachable');
    else this.#log.warn('table-unreachable');
  }
}
