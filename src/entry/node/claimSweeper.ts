/** Removes expired claims of idempotency keys. */
import { randomUUID } from 'node:crypto';

import { isLeft } from 'fp-ts/lib/Either.js';

import type { Disposable } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import type { TableRow, TableService } from '../../services/table/common/table.js';
import {
  CLAIM_PART_COUNT,
  claimGeneration,
  claimPartPrefix,
} from '../../services/workload/common/claimRow.js';

/**
 * The ages, in generations, at which a generation is removed. Insertions check one generation
 * back, and a clock may be off by one more. A third generation keeps the removal away from all
 * rows that insertions may still check.
 */
const REMOVAL_DISTANCES = [3, 4] as const;
const ROWS_PER_TRANSACTION = 100;

/**
 * Every entry goes through all parts of the old generations once per lifetime, and each entry
 * begins at a different part. Without the removal the table would grow with every order.
 */
export class ClaimSweeper implements Disposable {
  readonly #table: TableService;

  readonly #metrics: Metrics;

  readonly #lifetimeMs: number;

  readonly #wallNowMs: () => number;

  readonly #timer: PeriodicTimer;

  #step: number;

  constructor(
    table: TableService,
    metrics: Metrics,
    lifetimeMs: number,
    wallNowMs: () => number,
    firstStep: number,
  ) {
    this.#table = table;
    this.#metrics = metrics;
    this.#lifetimeMs = lifetimeMs;
    this.#wallNowMs = wallNowMs;
    this.#step = firstStep;
    const stepCount = CLAIM_PART_COUNT * REMOVAL_DISTANCES.length;
    const intervalMs = Math.max(1, Math.floor(lifetimeMs / stepCount));
    this.#timer = new PeriodicTimer(intervalMs, () => this.sweepNext());
  }

  dispose(): void {
    this.#timer.dispose();
  }

  /** Removes one part of one old generation. The timer and tests call it. */
  async sweepNext(): Promise<void> {
    const step = this.#step;
    this.#step += 1;
    const distance = REMOVAL_DISTANCES[step % REMOVAL_DISTANCES.length] ?? REMOVAL_DISTANCES[0];
    const part = Math.floor(step / REMOVAL_DISTANCES.length) % CLAIM_PART_COUNT;
    const generation = claimGeneration(this.#wallNowMs(), this.#lifetimeMs) - distance;
    const prefixes = [claimPartPrefix(generation, part)];
    const read = await this.#table.read({ keys: [], prefixes })();
    if (isLeft(read) || read.right.rows.length === 0) return;
    await this.#remove(read.right.rows.slice(0, ROWS_PER_TRANSACTION));
  }

  async #remove(rows: readonly TableRow[]): Promise<void> {
    const removed = await this.#table.transact({
      operationId: randomUUID(),
      conditions: [],
      writes: rows.map(({ key }) => ({ key, value: null })),
    })();
    if (isLeft(removed)) return;
    this.#metrics.count('claims_expired', {}, rows.length);
    // The next step removes the rest of this part before it goes on to another part.
    if (rows.length === ROWS_PER_TRANSACTION) this.#step -= 1;
  }
}
