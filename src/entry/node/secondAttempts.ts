/** Reserves servers for second attempts: hedges, and replacements of silent connections. */
import type { Metrics } from '../../services/metrics/common/metrics.js';
import type { Settings } from '../../services/settings/common/settings.js';
import type { Admission } from '../common/admission.js';
import { SecondAttemptReason } from '../common/admissionDecision.js';
import { secondAttemptReason } from '../common/secondAttempt.js';
import type { ServerRecord } from '../common/serverRecords.js';
import type { ActiveRequest } from './activeRequest.js';

export interface SecondAttempt {
  readonly server: ServerRecord<ActiveRequest>;
  readonly reason: SecondAttemptReason;
}

export class SecondAttempts {
  readonly #admission: Admission<ActiveRequest>;

  readonly #metrics: Metrics;

  readonly #settings: Settings['entry'];

  constructor(admission: Admission<ActiveRequest>, metrics: Metrics, settings: Settings['entry']) {
    this.#admission = admission;
    this.#metrics = metrics;
    this.#settings = settings;
  }

  /** Takes a permit and a budget token if a second attempt is due; the caller then sends it. */
  tryReserve(activeRequest: ActiveRequest, nowMs: number): SecondAttempt | undefined {
    const [first, second] = activeRequest.runningAttempts;
    const service = this.#admission.service(activeRequest.request.serviceName);
    if (first === undefined || second !== undefined || service === undefined) return undefined;
    const reason = secondAttemptReason(
      {
        isIdempotent: activeRequest.options.isIdempotent,
        attemptCount: activeRequest.progress.attemptCount,
        maximumAttemptCount: this.#settings.maximumAttemptCount,
        ageMs: nowMs - first.startedAtMs,
        hasProgress: first.run.hasProgress,
        p95LatencyMs: service.limit.p95Ms,
      },
      this.#settings,
    );
    if (reason === undefined) return undefined;
    const budget = reason === SecondAttemptReason.Silence ? service.budget : service.hedgeBudget;
    if (!budget.hasToken) return undefined;
    const server = this.#admission.tryAdmitSecondAttempt(service.name, first.server, reason, nowMs);
    if (server === undefined) return undefined;
    budget.trySpend();
    this.#metrics.count('second_attempts', { reason });
    return { server, reason };
  }
}
