/** Takes requests through admission and attempts; the decisions are made by code in common/. */
import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import type { Clock } from '../../base/common/clock.js';
import { type Disposable, DisposableStore } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';
import { ErrorKind, failure, type Failure } from '../../services/errors/common/errorKinds.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import type { Settings } from '../../services/settings/common/settings.js';
import { Hop } from '../../services/tracing/common/tracing.js';
import type { Admission } from '../common/admission.js';
import {
  AdmissionKind,
  type Dispatched,
  SecondAttemptReason,
  ServerVerdict,
} from '../common/admissionDecision.js';
import { MAXIMUM_CLAIM_HOLD_MS } from '../common/claims.js';
import { HangUpAction } from '../common/hangUp.js';
import type { ServerRecord, ServiceRecord } from '../common/serverRecords.js';
import { toAttemptRequest } from './attemptRequest.js';
import type { AttemptResult, BackendAnswer } from './attemptRun.js';
import { attemptVerdict } from './attemptVerdict.js';
import type { BackendConnections } from './backendConnections.js';
import type { ActiveRequest, RunningAttempt } from './activeRequest.js';
import { SecondAttempts } from './secondAttempts.js';
import { SweepTimer } from './sweepTimer.js';

const GAUGE_INTERVAL_MS = 1_000;
/** The mutable state of an attempt at its start. */
const INITIAL_ATTEMPT_STATE = { isOvertaken: false, isAbandoned: false };

export interface RequestDispatchServices {
  readonly admission: Admission<ActiveRequest>;
  readonly connections: BackendConnections;
  readonly clock: Clock;
  readonly metrics: Metrics;
}

export class RequestDispatch implements Disposable {
  readonly #services: RequestDispatchServices;

  readonly #settings: Settings['entry'];

  readonly #activeRequests = new Set<ActiveRequest>();

  readonly #disposables = new DisposableStore();

  readonly #sweepTimer: SweepTimer;

  readonly #secondAttempts: SecondAttempts;

  constructor(services: RequestDispatchServices, settings: Settings['entry']) {
    this.#services = services;
    this.#settings = settings;
    const { admission, metrics } = services;
    this.#secondAttempts = new SecondAttempts(admission, metrics, settings);
    this.#sweepTimer = this.#disposables.add(
      new SweepTimer(
        () => this.#activeRequests.size > 0 || admission.hasAbandonedPermits,
        () => this.#sweep(),
      ),
    );
    this.#disposables.add(new PeriodicTimer(GAUGE_INTERVAL_MS, () => this.#reportGauges()));
  }

  dispose(): void {
    this.#disposables.dispose();
  }

  get activeCount(): number {
    return this.#activeRequests.size;
  }

  /** Gives all active requests their final answer, when the time for a shutdown is over. */
  giveUpAll(): void {
    this.#activeRequests.forEach((activeRequest) => {
      this.#services.metrics.count('requests_given_up_at_shutdown');
      this.#finish(
        activeRequest,
        left(failure(ErrorKind.ShuttingDown, 'the entry is shutting down')),
      );
    });
  }

  /** Serves a request. The result resolves once, at the deadline at the latest. */
  serve(activeRequest: ActiveRequest): Promise<Either<Failure, BackendAnswer>> {
    return new Promise((settle) => {
      // This class owns the record from here on.
      // eslint-disable-next-line no-param-reassign
      activeRequest.settle = settle;
      this.#activeRequests.add(activeRequest);
      this.#sweepTimer.arm();
      if (activeRequest.hangUp.hasHungUp) {
        this.#handleHangUp(activeRequest);
        return;
      }
      activeRequest.hangUp.listen(() => this.#handleHangUp(activeRequest));
      const service = this.#serviceOf(activeRequest);
      service?.budget.earn();
      service?.hedgeBudget.earn();
      this.#admit(activeRequest, this.#services.clock.nowMs());
    });
  }

  /** Releases what an abandoned request holds, unless the request must run to its end. */
  #handleHangUp(activeRequest: ActiveRequest): void {
    if (activeRequest.isDone) return;
    const { admission, metrics } = this.#services;
    const action = activeRequest.progress.noteHangUp(
      activeRequest.runningAttempts.some(({ run }) => run.isSent),
    );
    metrics.count('requests_abandoned', { step: action });
    if (action === HangUpAction.LetFinish) return;
    if (action === HangUpAction.Dequeue) {
      admission.removeWaiting(activeRequest.request.serviceName, activeRequest);
      this.#finish(
        activeRequest,
        left(activeRequest.progress.finalFailure(this.#services.clock.nowMs())),
      );
      return;
    }
    // The request ends when its attempts have, so that its outcome reflects their results.
    activeRequest.runningAttempts.forEach((attempt) => {
      // This class owns the record.
      // eslint-disable-next-line no-param-reassign
      attempt.isAbandoned = true;
      attempt.run.cancel();
    });
  }

  #serviceOf(activeRequest: ActiveRequest): ServiceRecord<ActiveRequest> | undefined {
    return this.#services.admission.service(activeRequest.request.serviceName);
  }

  #admit(activeRequest: ActiveRequest, nowMs: number): void {
    const decision = this.#services.admission.admit(
      activeRequest.request.serviceName,
      activeRequest,
      nowMs,
    );
    switch (decision.kind) {
      case AdmissionKind.Admitted:
        this.#send(activeRequest, decision.server, undefined, nowMs);
        return;
      case AdmissionKind.Refused:
        this.#finish(activeRequest, left(decision.failure));
        return;
      default:
        this.#services.metrics.count('requests_queued');
        // This class owns the record.
        // eslint-disable-next-line no-param-reassign
        activeRequest.queueSpan = activeRequest.span?.child(Hop.Queue);
        if (decision.displaced === undefined) return;
        this.#services.metrics.count('requests_displaced');
        this.#finish(decision.displaced.waiting, left(decision.displaced.failure));
    }
  }

  #send(
    activeRequest: ActiveRequest,
    server: ServerRecord<ActiveRequest>,
    secondAttemptReason: SecondAttemptReason | undefined,
    nowMs: number,
  ): void {
    activeRequest.queueSpan?.end();
    if (activeRequest.prepare === undefined)
      this.#attempt(activeRequest, server, secondAttemptReason, nowMs);
    else this.#startPreparing(activeRequest, activeRequest.prepare, server, nowMs);
  }

  /** Holds the permit while `prepare` runs; the sweep releases the permit if that is slow. */
  #startPreparing(
    activeRequest: ActiveRequest,
    prepare: NonNullable<ActiveRequest['prepare']>,
    server: ServerRecord<ActiveRequest>,
    nowMs: number,
  ): void {
    /* eslint-disable no-param-reassign -- this class owns the record */
    activeRequest.prepare = undefined;
    activeRequest.preparing = { server, startedAtMs: nowMs };
    /* eslint-enable no-param-reassign */
    void prepare().then((prepared) => this.#handlePrepared(activeRequest, prepared));
  }

  #handlePrepared(
    activeRequest: ActiveRequest,
    prepared: Either<Failure, BackendAnswer | undefined>,
  ): void {
    if (activeRequest.isDone) return;
    const nowMs = this.#services.clock.nowMs();
    if (isLeft(prepared)) {
      this.#finish(activeRequest, prepared);
      return;
    }
    if (prepared.right !== undefined) {
      this.#finish(activeRequest, right(prepared.right));
      return;
    }
    const server = activeRequest.preparing?.server;
    if (server?.worker.isInUse(nowMs) === true) {
      // This class owns the record.
      // eslint-disable-next-line no-param-reassign
      activeRequest.preparing = undefined;
      this.#attempt(activeRequest, server, undefined, nowMs);
      return;
    }
    // The permit was released, or the server began to leave, while `prepare` was running.
    this.#releasePreparingPermit(activeRequest, nowMs);
    /* eslint-disable no-param-reassign -- this class owns the record */
    activeRequest.preparing = undefined;
    activeRequest.waitingSinceMs = nowMs;
    /* eslint-enable no-param-reassign */
    this.#admit(activeRequest, nowMs);
  }

  /** Releases the permit of a request whose `prepare` is still running. */
  #releasePreparingPermit(activeRequest: ActiveRequest, nowMs: number): void {
    const { preparing } = activeRequest;
    if (preparing?.server === undefined) return;
    // This class owns the record.
    // eslint-disable-next-line no-param-reassign
    activeRequest.preparing = { ...preparing, server: undefined };
    this.#releaseUnused(activeRequest, preparing.server, nowMs);
  }

  #attempt(
    activeRequest: ActiveRequest,
    server: ServerRecord<ActiveRequest>,
    secondAttemptReason: SecondAttemptReason | undefined,
    nowMs: number,
  ): void {
    const { request, progress } = activeRequest;
    if (!server.worker.isInUse(nowMs)) {
      this.#services.metrics.count('invariant_sent_to_leaving_server');
      this.#releaseUnused(activeRequest, server, nowMs);
      this.#finish(
        activeRequest,
        left(failure(ErrorKind.NoServer, 'the backend server is leaving')),
      );
      return;
    }
    if (activeRequest.isDone || !progress.tryStart()) {
      if (!activeRequest.isDone)
        this.#services.metrics.count('invariant_non_idempotent_sent_twice');
      this.#releaseUnused(activeRequest, server, nowMs);
      this.#finish(activeRequest, left(failure(ErrorKind.AnswerLost, 'it may have run already')));
      return;
    }
    const span = activeRequest.span?.child(Hop.Attempt, { worker: server.worker.workerId });
    const isFreshWanted = secondAttemptReason === SecondAttemptReason.Silence;
    const run = this.#services.connections.attempt(
      toAttemptRequest(request, server.server, span, isFreshWanted),
    );
    const attempt = {
      server,
      run,
      startedAtMs: nowMs,
      secondAttemptReason,
      span,
      ...INITIAL_ATTEMPT_STATE,
    };
    activeRequest.runningAttempts.push(attempt);
    void run.result.then((result) => this.#handleEnd(activeRequest, attempt, result));
  }

  /** Releases a permit that was not used. */
  #releaseUnused(
    activeRequest: ActiveRequest,
    server: ServerRecord<ActiveRequest>,
    nowMs: number,
  ): void {
    const { serviceName } = activeRequest.request;
    const outcome = { latencyMs: 0, verdict: ServerVerdict.Unused, isServerLeaving: false };
    this.#sendAll(this.#services.admission.finish(serviceName, server, outcome, nowMs), nowMs);
  }

  #sendAll(dispatched: readonly Dispatched<ActiveRequest>[], nowMs: number): void {
    dispatched.forEach(({ waiting, server }) => this.#send(waiting, server, undefined, nowMs));
  }

  #handleEnd(activeRequest: ActiveRequest, attempt: RunningAttempt, result: AttemptResult): void {
    const nowMs = this.#services.clock.nowMs();
    const { server, startedAtMs, span } = attempt;
    span?.end({ end: result.end });
    activeRequest.runningAttempts.splice(activeRequest.runningAttempts.indexOf(attempt), 1);
    activeRequest.progress.noteEnd(result.end);
    const outcome = {
      latencyMs: nowMs - startedAtMs,
      verdict: attemptVerdict(attempt, result),
      isServerLeaving: result.isServerLeaving,
    };
    if (outcome.isServerLeaving) this.#services.metrics.count('servers_said_leaving');
    const { serviceName } = activeRequest.request;
    const dispatched = this.#services.admission.finish(serviceName, server, outcome, nowMs);
    this.#sweepTimer.arm();
    this.#finishOrRetry(activeRequest, attempt, result, nowMs);
    this.#sendAll(dispatched, nowMs);
  }

  #finishOrRetry(
    activeRequest: ActiveRequest,
    attempt: RunningAttempt,
    result: AttemptResult,
    nowMs: number,
  ): void {
    if (activeRequest.isDone) return;
    if (result.answer !== undefined) {
      if (attempt.secondAttemptReason !== undefined) {
        this.#services.metrics.count('second_attempts_won', {
          reason: attempt.secondAttemptReason,
        });
        if (attempt.secondAttemptReason === SecondAttemptReason.Hedge)
          this.#serviceOf(activeRequest)?.hedgeBudget.noteWin();
      }
      this.#finish(activeRequest, right(result.answer));
      return;
    }
    if (activeRequest.runningAttempts.length > 0) return;
    const { progress } = activeRequest;
    const mayRetry = progress.mayRetry(nowMs);
    if (!mayRetry || this.#serviceOf(activeRequest)?.budget.trySpend() !== true) {
      if (mayRetry) this.#services.metrics.count('retries_over_budget');
      this.#finish(activeRequest, left(progress.finalFailure(nowMs)));
      return;
    }
    this.#services.metrics.count('request_retries');
    /* eslint-disable no-param-reassign -- this class owns the record */
    activeRequest.waitingSinceMs = nowMs;
    activeRequest.avoidedWorkerId = attempt.server.worker.workerId;
    /* eslint-enable no-param-reassign */
    this.#admit(activeRequest, nowMs);
  }

  /** Settles the request at once, and cancels its remaining attempts. */
  #finish(activeRequest: ActiveRequest, result: Either<Failure, BackendAnswer>): void {
    if (activeRequest.isDone) return;
    const { progress, runningAttempts } = activeRequest;
    // This class owns the record.
    // eslint-disable-next-line no-param-reassign
    activeRequest.isDone = true;
    this.#activeRequests.delete(activeRequest);
    this.#releasePreparingPermit(activeRequest, this.#services.clock.nowMs());
    activeRequest.queueSpan?.end();
    activeRequest.settle(
      result._tag === 'Left' ? left(progress.toReportedFailure(result.left)) : result,
    );
    [...runningAttempts].forEach((attempt) => {
      // This class owns the record.
      // eslint-disable-next-line no-param-reassign
      attempt.isOvertaken = result._tag === 'Right';
      if (attempt.isOvertaken && !attempt.run.hasProgress) {
        this.#services.metrics.count('connections_overtaken');
      }
      attempt.run.cancel();
    });
  }

  #sweep(): void {
    const nowMs = this.#services.clock.nowMs();
    const { rejected, dispatched } = this.#services.admission.sweep(nowMs);
    rejected.forEach(({ waiting, failure: cause }) => this.#finish(waiting, left(cause)));
    this.#sendAll(dispatched, nowMs);
    this.#activeRequests.forEach((activeRequest) => {
      if (activeRequest.runningAttempts.length === 0) {
        this.#sweepPreparing(activeRequest, nowMs);
        return;
      }
      if (nowMs >= activeRequest.deadlineAtMs) {
        this.#finish(activeRequest, left(activeRequest.progress.finalFailure(nowMs)));
        return;
      }
      const secondAttempt = this.#secondAttempts.tryReserve(activeRequest, nowMs);
      if (secondAttempt !== undefined)
        this.#send(activeRequest, secondAttempt.server, secondAttempt.reason, nowMs);
    });
  }

  #sweepPreparing(activeRequest: ActiveRequest, nowMs: number): void {
    const { preparing } = activeRequest;
    if (preparing === undefined) return;
    if (nowMs >= activeRequest.deadlineAtMs) {
      this.#finish(activeRequest, left(activeRequest.progress.finalFailure(nowMs)));
    } else if (nowMs - preparing.startedAtMs >= MAXIMUM_CLAIM_HOLD_MS) {
      this.#releasePreparingPermit(activeRequest, nowMs);
    }
  }

  #reportGauges(): void {
    const { admission, metrics } = this.#services;
    metrics.gauge('requests_waiting', admission.waitingCount);
    const setAsideCount = admission.takeSetAsideCount();
    if (setAsideCount > 0) metrics.count('servers_set_aside', {}, setAsideCount);
  }
}
