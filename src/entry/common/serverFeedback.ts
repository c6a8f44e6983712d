/** Updates the records of servers with the outcomes of attempts. */
import type { RandomSource } from '../../base/common/random.js';
import { type AttemptOutcome, ServerVerdict } from './admissionDecision.js';
import type { WaitingRequest } from './fairQueue.js';
import { LatencyWindows } from './latencyWindows.js';
import type { ServerRecord, ServiceRecord } from './serverRecords.js';

/**
 * Makes a server less likely to be chosen, or sets it aside. Admission only asks whether a server
 * may be chosen.
 */
export class ServerFeedback<Waiting extends WaitingRequest> {
  readonly #maximumSetAsideRatio: number;

  readonly #random: RandomSource;

  /** Latencies of the servers' answers, for the scheduler that places tasks on the same workers. */
  readonly latencyWindows = new LatencyWindows();

  #setAsideCount = 0;

  constructor(maximumSetAsideRatio: number, random: RandomSource) {
    this.#maximumSetAsideRatio = maximumSetAsideRatio;
    this.#random = random;
  }

  /** How often a server was set aside since the last call. */
  takeSetAsideCount(): number {
    const count = this.#setAsideCount;
    this.#setAsideCount = 0;
    return count;
  }

  /** Records the outcome of an attempt, whether or not its permit is released now. */
  note(
    service: ServiceRecord<Waiting>,
    server: ServerRecord<Waiting>,
    outcome: AttemptOutcome,
    nowMs: number,
  ): void {
    if (outcome.verdict === ServerVerdict.Unused) return;
    if (
      outcome.verdict === ServerVerdict.Overtaken ||
      outcome.verdict === ServerVerdict.Abandoned
    ) {
      server.latency.noteAtLeast(outcome.latencyMs, nowMs);
      return;
    }
    if (outcome.verdict === ServerVerdict.Success) {
      server.latency.note(outcome.latencyMs, nowMs);
      this.latencyWindows.note(server.worker.workerId, service.name, outcome.latencyMs, nowMs);
      server.health.noteSuccess();
      if (service.limit.note(outcome.latencyMs, service.occupiedCount)) {
        service.servicesNotLessUrgent.forEach((each) => each.refreshEffectiveLimit());
      }
      return;
    }
    if (!server.health.noteFailure() || server.health.isSetAside(nowMs)) return;
    if (!this.#maySetAside(service, nowMs)) return;
    server.health.setAside(nowMs, this.#random);
    this.#setAsideCount += 1;
  }

  /**
   * Only a part of a service's servers may be set aside. When more of them fail, the servers are
   * hardly the cause, and the few that are left would only be overloaded.
   */
  #maySetAside(service: ServiceRecord<Waiting>, nowMs: number): boolean {
    const { servers } = service;
    if (servers.length < 2) return false;
    const allowed = Math.max(1, Math.floor(servers.length * this.#maximumSetAsideRatio));
    const setAsideCount = servers.filter(({ health }) => health.isSetAside(nowMs)).length;
    return setAsideCount < allowed;
  }
}
