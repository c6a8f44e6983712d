/** Handles a caller's request: reads its options, claims its idempotency key and answers it. */
import { setTimeout as delay } from 'node:timers/promises';

import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import type { Clock } from '../../base/common/clock.js';
import type { Event } from '../../base/common/event.js';
import { type Disposable, DisposableStore } from '../../base/common/lifecycle.js';
import type { ConfigurationService } from '../../services/configuration/common/configurationService.js';
import { Urgency } from '../../services/configuration/common/documents.js';
import {
  ERROR_ANSWERS,
  ErrorKind,
  failure,
  type Failure,
  WorkOutcome,
} from '../../services/errors/common/errorKinds.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import type { Settings } from '../../services/settings/common/settings.js';
import { Hop, type TraceSpan, type Tracing } from '../../services/tracing/common/tracing.js';
import type { RecordedAnswer } from '../../services/workload/common/claimRow.js';
import type { Admission } from '../common/admission.js';
import {
  type CallerRequest,
  readRequestOptions,
  type RequestOptions,
} from '../common/callerRequest.js';
import type { HangUpSignal } from '../common/hangUpSignal.js';
import { REPLAYED_HEADER, TRACEPARENT_HEADER } from '../common/headers.js';
import { endToEndHeaders } from '../common/forwardedHeaders.js';
import { RequestProgress } from '../common/requestProgress.js';
import type { BackendAnswer } from './attemptRun.js';
import type { BackendConnections } from './backendConnections.js';
import type { ClaimManager, ClaimResult, HeldClaim } from './claimManager.js';
import type { ActiveRequest } from './activeRequest.js';
import { RequestDispatch } from './requestDispatch.js';
import type { RoutingReader } from './routingReader.js';

type Result = Either<Failure, BackendAnswer>;

/** The current entries: the platform's list, corrected by what the daemons see of each other. */
export interface EntryMembers {
  /** The number of entries that take requests, including this one. */
  readonly servingCount: number;
  readonly onDidChangeMembers: Event<void>;
}

export interface RequestHandlerServices {
  readonly routing: Pick<RoutingReader, 'routes' | 'onDidChange'>;
  readonly admission: Admission<ActiveRequest>;
  readonly connections: BackendConnections;
  readonly claims: ClaimManager;
  readonly configuration: Pick<ConfigurationService, 'current'>;
  readonly entries: EntryMembers;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
  /** The wall clock, which is only used for the generation of a claim. */
  readonly wallNowMs: () => number;
}

const toRecorded = (answer: BackendAnswer): RecordedAnswer => ({
  statusCode: answer.statusCode,
  headers: endToEndHeaders(answer.headers),
  bodyBase64: answer.body.toString('base64'),
});

const fromRecorded = (answer: RecordedAnswer): BackendAnswer => ({
  statusCode: answer.statusCode,
  headers: { ...answer.headers, [REPLAYED_HEADER]: 'true' },
  body: Buffer.from(answer.bodyBase64, 'base64'),
});

const workOutcomeOf = (cause: Failure): WorkOutcome =>
  cause.workOutcome ?? ERROR_ANSWERS[cause.kind].workOutcome;

export class RequestHandler implements Disposable {
  readonly #services: RequestHandlerServices;

  readonly #settings: Settings['entry'];

  readonly #dispatch: RequestDispatch;

  readonly #disposables = new DisposableStore();

  constructor(services: RequestHandlerServices, settings: Settings['entry']) {
    this.#services = services;
    this.#settings = settings;
    this.#dispatch = this.#disposables.add(new RequestDispatch(services, settings));
    this.#disposables.add(services.routing.onDidChange(() => this.#applyRoutes()));
    this.#disposables.add(services.entries.onDidChangeMembers(() => this.#applyRoutes()));
    this.#applyRoutes();
  }

  dispose(): void {
    this.#disposables.dispose();
  }

  /** The number of requests that have no answer yet. */
  get activeCount(): number {
    return this.#dispatch.activeCount;
  }

  /** Gives all active requests their final answer. */
  giveUpAll(): void {
    this.#dispatch.giveUpAll();
  }

  /** Resolves when the writes of recorded answers and released claims have ended. */
  async settle(): Promise<void> {
    await this.#services.claims.settle();
  }

  /** Serves one request; `hangUp` is raised when the caller hangs up before the answer. */
  async handle(request: CallerRequest, hangUp: HangUpSignal): Promise<Result> {
    const { clock, tracing, metrics } = this.#services;
    const startedAtMs = clock.nowMs();
    const options = readRequestOptions(request, this.#settings);
    if (isLeft(options)) return options;
    const header = request.headers[TRACEPARENT_HEADER];
    const span = tracing.startTrace(Hop.Entry, typeof header === 'string' ? header : undefined);
    const result = await this.#serve(request, options.right, startedAtMs, span, hangUp);
    const outcome = isLeft(result) ? result.left.kind : 'answered';
    span?.end({ service: request.serviceName, outcome });
    metrics.count('requests', { outcome });
    metrics.recordMs('request_duration', clock.nowMs() - startedAtMs);
    return result;
  }

  #serve(
    request: CallerRequest,
    options: RequestOptions,
    nowMs: number,
    span: TraceSpan | undefined,
    hangUp: HangUpSignal,
  ): Promise<Result> {
    if (!this.#services.routing.routes.has(request.serviceName)) {
      const cause = failure(ErrorKind.UnknownService, `no service ${request.serviceName}`);
      return Promise.resolve(left(cause));
    }
    const deadlineAtMs = nowMs + options.timeoutMs;
    const progress = new RequestProgress({
      isIdempotent: options.isIdempotent,
      maximumAttemptCount: this.#settings.maximumAttemptCount,
      deadlineAtMs,
    });
    const activeRequest: ActiveRequest = {
      request,
      options,
      progress,
      span,
      hangUp,
      deadlineAtMs,
      callerId: options.callerId,
      waitingSinceMs: nowMs,
      avoidedWorkerId: undefined,
      queueSpan: undefined,
      runningAttempts: [],
      isDone: false,
      prepare: undefined,
      preparing: undefined,
      settle: () => {},
    };
    const { idempotencyKey, isIdempotent } = options;
    if (isIdempotent || idempotencyKey === undefined) return this.#dispatchChecked(activeRequest);
    return this.#serveClaimed(activeRequest, idempotencyKey);
  }

  /** Sends work that is not idempotent only while it holds the claim of its key. */
  #serveClaimed(activeRequest: ActiveRequest, idempotencyKey: string): Promise<Result> {
    if (this.#services.claims.isEarly)
      return this.#serveClaimedEarly(activeRequest, idempotencyKey);
    return this.#serveClaimedLate(activeRequest, idempotencyKey);
  }

  async #serveClaimedEarly(activeRequest: ActiveRequest, idempotencyKey: string): Promise<Result> {
    const claimed = await this.#claimBeforeDeadline(activeRequest, idempotencyKey);
    if (isLeft(claimed)) return claimed;
    if (claimed.right.kind === 'replay') return right(fromRecorded(claimed.right.answer));
    // This class still owns the record.
    // eslint-disable-next-line no-param-reassign
    activeRequest.waitingSinceMs = this.#services.clock.nowMs();
    const result = await this.#dispatchChecked(activeRequest);
    this.#endClaim(claimed.right.held, result, activeRequest);
    return result;
  }

  /** The claim may be granted after the request has failed; the claim is released then. */
  async #serveClaimedLate(activeRequest: ActiveRequest, idempotencyKey: string): Promise<Result> {
    const { claims, wallNowMs } = this.#services;
    let claiming: Promise<Either<Failure, ClaimResult>> | undefined;
    // This class still owns the record.
    // eslint-disable-next-line no-param-reassign
    activeRequest.prepare = async () => {
      claiming = claims.claim(
        activeRequest.request,
        idempotencyKey,
        wallNowMs(),
        activeRequest.span,
      );
      const claimed = await claiming;
      if (isLeft(claimed)) return claimed;
      const isReplay = claimed.right.kind === 'replay';
      return right(isReplay ? fromRecorded(claimed.right.answer) : undefined);
    };
    const result = await this.#dispatchChecked(activeRequest);
    void claiming?.then((claimed) => {
      if (isLeft(claimed) || claimed.right.kind !== 'held') return;
      this.#endClaim(claimed.right.held, result, activeRequest);
    });
    return result;
  }

  /**
   * Claims the key, but lets the caller wait no longer than its deadline. If a slow store grants
   * the claim afterwards, the claim is released, because nothing was sent.
   */
  async #claimBeforeDeadline(
    activeRequest: ActiveRequest,
    idempotencyKey: string,
  ): Promise<Either<Failure, ClaimResult>> {
    const { claims, clock, wallNowMs } = this.#services;
    const claiming = claims.claim(
      activeRequest.request,
      idempotencyKey,
      wallNowMs(),
      activeRequest.span,
    );
    const timer = new AbortController();
    const remainingMs = Math.max(0, activeRequest.deadlineAtMs - clock.nowMs());
    const late = delay(remainingMs, undefined, { signal: timer.signal }).catch(() => undefined);
    const claimed = await Promise.race([claiming, late]);
    timer.abort();
    if (claimed !== undefined) return claimed;
    void claiming.then((granted) => {
      if (!isLeft(granted) && granted.right.kind === 'held') {
        void claims.release(granted.right.held);
      }
    });
    return left(failure(ErrorKind.DeadlineExceeded, 'the store gave no claim before the deadline'));
  }

  #endClaim(held: HeldClaim, result: Result, activeRequest: ActiveRequest): void {
    const { claims } = this.#services;
    if (!isLeft(result)) claims.recordAnswer(held, toRecorded(result.right));
    else if (
      workOutcomeOf(result.left) === WorkOutcome.NotRun &&
      !activeRequest.progress.mayHaveRun
    ) {
      void claims.release(held);
    }
  }

  /** Dispatches, and checks that a result "not run" is true before the caller gets it. */
  async #dispatchChecked(activeRequest: ActiveRequest): Promise<Result> {
    const result = await this.#dispatch.serve(activeRequest);
    if (!isLeft(result) || workOutcomeOf(result.left) !== WorkOutcome.NotRun) return result;
    if (!activeRequest.progress.mayHaveRun) return result;
    this.#services.metrics.count('invariant_false_not_run');
    return left({ ...result.left, workOutcome: WorkOutcome.Unknown });
  }

  #applyRoutes(): void {
    const { routing, admission, connections, configuration, entries } = this.#services;
    const { routes } = routing;
    const view = configuration.current;
    admission.updateRoutes(
      routes,
      (serviceName) => view?.services.get(serviceName)?.urgency ?? Urgency.Normal,
      entries.servingCount,
    );
    const origins = new Set<string>();
    routes.forEach((servers) => servers.forEach(({ origin }) => origins.add(origin)));
    connections.retainOnly(origins);
  }
}
