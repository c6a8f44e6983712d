/** Removes plans whose retention time has passed. */
import { isLeft } from 'fp-ts/lib/Either.js';

import type { Disposable } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import type { TableRow, TableService } from '../../services/table/common/table.js';
import { planningViolation } from '../common/confirmation.js';
import { planPrefixesBefore } from '../common/plan.js';

/** Old hours covered by each sweep, so that it also removes plans left while no daemon ran. */
const HOURS_SWEPT = 48;
const ROWS_PER_TRANSACTION = 100;
const HOUR_MS = 3_600_000;

/** One sweep without a timer, so that tests can run it directly. */
export class PlanSweep {
  readonly #table: TableService;

  readonly #metrics: Metrics;

  readonly #retentionMs: number;

  constructor(table: TableService, metrics: Metrics, retentionMs: number) {
    this.#table = table;
    this.#metrics = metrics;
    this.#retentionMs = retentionMs;
  }

  /**
   * Removes old plans. About 12,000 plans are made a day and nothing else removes them, so without
   * the sweep the table and every listing of plans would grow without bound. Plan ids begin with
   * the hour, so only old hours are read. All daemons sweep concurrently: a second sweep finds no
   * rows, or its conditions fail. A plan is removed only when its whole hour is older than the
   * retention. The rest of that hour is a margin for a clock that is fast.
   */
  async run(wallNowMs: number): Promise<void> {
    const prefixes = planPrefixesBefore(wallNowMs - this.#retentionMs, HOURS_SWEPT);
    const read = await this.#table.read({ keys: [], prefixes })();
    if (isLeft(read)) return;
    const { rows } = read.right;
    for (let index = 0; index < rows.length; index += ROWS_PER_TRANSACTION) {
      // Small transactions, one at a time, do not delay other users of the store.
      // eslint-disable-next-line no-await-in-loop
      await this.#remove(rows.slice(index, index + ROWS_PER_TRANSACTION), wallNowMs);
    }
  }

  async #remove(rows: readonly TableRow[], wallNowMs: number): Promise<void> {
    const transaction = {
      operationId: `plan-sweep-${wallNowMs}`,
      conditions: rows.map(({ key, version }) => ({ key, version })),
      writes: rows.map(({ key }) => ({ key, value: null })),
    };
    const violation = planningViolation(transaction);
    if (violation !== undefined) {
      this.#metrics.count(violation);
      return;
    }
    const removed = await this.#table.transact(transaction)();
    if (!isLeft(removed)) this.#metrics.count('plans_removed', {}, rows.length);
  }
}

export class PlanSweeper implements Disposable {
  readonly #timer: PeriodicTimer;

  constructor(sweep: PlanSweep, wallNowMs: () => number) {
    this.#timer = new PeriodicTimer(HOUR_MS, () => sweep.run(wallNowMs()));
  }

  dispose(): void {
    this.#timer.dispose();
  }
}
