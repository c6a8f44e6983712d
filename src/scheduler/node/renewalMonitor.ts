/** Reports how punctually the owner renews its lease. */
import type { Log } from '../../services/log/common/log.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import { LeaseStepKind } from '../common/cellLease.js';

/** Renewals that are further apart than this share of the lease are logged. */
const LATE_GAP_SHARE = 0.6;

export class RenewalMonitor {
  readonly #leaseMs: number;

  readonly #log: Log;

  readonly #metrics: Metrics;

  #lastSentAtMs: number | undefined;

  constructor(leaseMs: number, log: Log, metrics: Metrics) {
    this.#leaseMs = leaseMs;
    this.#log = log;
    this.#metrics = metrics;
  }

  /** Handles the answer to a call that acquires or renews the lease. */
  note(step: LeaseStepKind, sentAtMs: number, answeredAtMs: number): void {
    const previousSentAtMs = this.#lastSentAtMs;
    this.#lastSentAtMs = sentAtMs;
    if (step !== LeaseStepKind.Renew || previousSentAtMs === undefined) return;
    const gapMs = Math.round(sentAtMs - previousSentAtMs);
    this.#metrics.recordMs('lease_renewal_gap', gapMs);
    if (gapMs <= this.#leaseMs * LATE_GAP_SHARE) return;
    const answeredAfterMs = Math.round(answeredAtMs - sentAtMs);
    this.#log.warn('lease-renewed-late', { gapMs, answeredAfterMs });
  }
}
