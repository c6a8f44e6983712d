/** Follows the configuration by polling it about once a second. */
import type { Clock } from '../../../base/common/clock.js';
import { PeriodicTimer } from '../../../base/node/periodicTimer.js';
import type { Log } from '../../log/common/log.js';
import type { Metrics } from '../../metrics/common/metrics.js';
import type { TableService } from '../../table/common/table.js';
import { ConfigurationFollower } from './configurationFollower.js';

export class ConfigurationReader extends ConfigurationFollower {
  readonly #timer: PeriodicTimer;

  constructor(table: TableService, clock: Clock, log: Log, metrics: Metrics, intervalMs: number) {
    super(table, clock, log, metrics);
    this.#timer = new PeriodicTimer(intervalMs, () => this.refresh());
  }

  override dispose(): void {
    this.#timer.dispose();
    super.dispose();
  }
}
