/** Carries a caller's request through admission, attempts and the answer. */
import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import type { Clock } from '../../base/common/clock.js';
import { type Disposable, DisposableStore } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';
import type { ConfigurationService } from '../../platform/configuration/common/configurationService.js';
import { Urgency } from '../../platform/configuration/common/documents.js';
import { ErrorKind, failure, type Failure } from '../../platform/errors/common/errorKinds.js';
import type { Metrics } from '../../platform/metrics/common/metrics.js';
import type { Settings } from '../../platform/settings/common/settings.js';
import { Hop, type TraceSpan, type Tracing } from '../../platform/tracing/common/tracing.js';
import { AttemptEnd, mayRetry } from '../common/attempt.js';
import { type CallerRequest, readTerms, type RequestTerms } from '../common/callerRequest.js';
import { SERVICE_HEADER, TRACEPARENT_HEADER } from '../common/headers.js';
import { RetryBudget } from '../common/retryBudget.js';
import type { BackendServer } from '../common/routing.js';
import type { ServerChooser } from '../common/serverChoice.js';
import { WaitingQueue, type WaitingRequest } from '../common/waitingQueue.js';
import type { AttemptResult, BackendAnswer, BackendConnections } from './backendConnections.js';
import type { RoutingReader } from './routingReader.js';

/** Headers that concern one connection only and are never passed on. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  'connection',
  'content-length',
  'expect',
  'host',
  'keep-alive',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);
const EXPIRY_INTERVAL_MS = 20;

/** The headers of a message that go on to the next hop. */
export const endToEndHeaders = (
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string | string[]> => {
  const kept: Record<string, string | string[]> = {};
  Object.entries(headers).forEach(([name, value]) => {
    if (value !== undefined && !HOP_BY_HOP_HEADERS.has(name)) kept[name] = value;
  });
  return kept;
};

interface QueuedRequest extends WaitingRequest {
  readonly serviceName: string;
  readonly settle: (server: Either<Failure, BackendServer>) => void;
}

/** A request under way: what it is, by when it must be answered and its trace. */
interface Journey {
  readonly request: CallerRequest;
  readonly terms: RequestTerms;
  readonly deadlineAtMs: number;
  readonly span: TraceSpan | undefined;
}

export interface RequestHandlerServices {
  readonly routing: RoutingReader;
  readonly connections: BackendConnections;
  readonly chooser: ServerChooser;
  readonly configuration: ConfigurationService;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly tracing: Tracing;
}

export class RequestHandler implements Disposable {
  readonly #services: RequestHandlerServices;

  readonly #settings: Settings['entry'];

  readonly #inFlight = new Map<string, number>();

  readonly #queues = new Map<string, WaitingQueue<QueuedRequest>>();

  readonly #budgets = new Map<string, RetryBudget>();

  readonly #disposables = new DisposableStore();

  constructor(services: RequestHandlerServices, settings: Settings['entry']) {
    this.#services = services;
    this.#settings = settings;
    this.#disposables.add(new PeriodicTimer(EXPIRY_INTERVAL_MS, () => this.#expire()));
  }

  dispose(): void {
    this.#disposables.dispose();
  }

  async handle(request: CallerRequest): Promise<Either<Failure, BackendAnswer>> {
    const { clock, tracing, metrics } = this.#services;
    const startedAtMs = clock.nowMs();
    const terms = readTerms(request, this.#settings);
    if (isLeft(terms)) return terms;
    const header = request.headers[TRACEPARENT_HEADER];
    const span = tracing.startTrace(Hop.Entry, typeof header === 'string' ? header : undefined);
    const deadlineAtMs = startedAtMs + terms.right.timeoutMs;
    const result = await this.#serve({ request, terms: terms.right, deadlineAtMs, span });
    const outcome = isLeft(result) ? result.left.kind : 'answered';
    span?.end({ service: request.serviceName, outcome });
    metrics.count('requests', { outcome });
    metrics.recordMs('request_duration', clock.nowMs() - startedAtMs);
    return result;
  }

  async #serve(journey: Journey): Promise<Either<Failure, BackendAnswer>> {
    const { request, terms } = journey;
    if (!this.#services.routing.routes.has(request.serviceName)) {
      return left(failure(ErrorKind.UnknownService, `no service ${request.serviceName}`));
    }
    const budget = this.#budget(request.serviceName);
    budget.earn();
    for (let attemptCount = 1; ; attemptCount += 1) {
      // Attempts follow one another by nature.
      // eslint-disable-next-line no-await-in-loop
      const server = await this.#admit(journey);
      if (isLeft(server)) return server;
      // eslint-disable-next-line no-await-in-loop
      const result = await this.#attempt(journey, server.right);
      if (result.answer !== undefined) return right(result.answer);
      const question = {
        end: result.end,
        isIdempotent: terms.isIdempotent,
        attemptCount,
        maximumAttemptCount: this.#settings.maximumAttemptCount,
        deadlineAtMs: journey.deadlineAtMs,
      };
      const isRetried = mayRetry(question, this.#services.clock.nowMs()) && budget.trySpend();
      if (!isRetried) return left(RequestHandler.#finalFailure(result.end));
      this.#services.metrics.count('request_retries');
    }
  }

  static #finalFailure(end: AttemptEnd): Failure {
    switch (end) {
      case AttemptEnd.NotRun:
        return failure(ErrorKind.ServerRefused, 'the backend server did not take the request');
      case AttemptEnd.TimedOut:
        return failure(ErrorKind.DeadlineExceededAfterSend, 'no answer before the deadline');
      default:
        return failure(ErrorKind.AnswerLost, 'the connection ended before the whole answer');
    }
  }

  async #attempt(journey: Journey, server: BackendServer): Promise<AttemptResult> {
    const { request, span } = journey;
    const attemptSpan = span?.child(Hop.Attempt, { worker: server.workerId });
    const headers = endToEndHeaders(request.headers);
    headers[SERVICE_HEADER] = request.serviceName;
    if (attemptSpan !== undefined) headers[TRACEPARENT_HEADER] = attemptSpan.traceparent;
    try {
      const remainingMs = journey.deadlineAtMs - this.#services.clock.nowMs();
      const result = await this.#services.connections.attempt({
        server,
        method: request.method,
        path: request.path,
        headers,
        body: request.body,
        timeoutMs: Math.max(1, Math.ceil(remainingMs)),
        maximumBodyBytes: this.#settings.maximumBodyBytes,
      });
      attemptSpan?.end({ end: result.end });
      return result;
    } finally {
      this.#release(server, request.serviceName);
    }
  }

  /** Waits until a server has room; the slot taken has to be released. */
  async #admit(journey: Journey): Promise<Either<Failure, BackendServer>> {
    const { serviceName } = journey.request;
    const servers = this.#services.routing.routes.get(serviceName) ?? [];
    if (servers.length === 0) {
      return left(failure(ErrorKind.NoServer, `no backend server for ${serviceName}`));
    }
    const queue = this.#queue(serviceName);
    const server = queue.length === 0 ? this.#choose(serviceName) : undefined;
    if (server !== undefined) {
      this.#occupy(server);
      return right(server);
    }
    const urgency =
      this.#services.configuration.current?.services.get(serviceName)?.urgency ?? Urgency.Normal;
    const span = journey.span?.child(Hop.Queue);
    const admitted = await new Promise<Either<Failure, BackendServer>>((settle) => {
      const waiting = { urgency, deadlineAtMs: journey.deadlineAtMs, serviceName, settle };
      if (queue.tryAdd(waiting)) return;
      settle(left(failure(ErrorKind.Saturated, `${serviceName} is saturated`)));
    });
    span?.end();
    return admitted;
  }

  #choose(serviceName: string): BackendServer | undefined {
    const servers = this.#services.routing.routes.get(serviceName) ?? [];
    return this.#services.chooser.choose(servers, {
      inFlightCount: (workerId) => this.#inFlight.get(workerId) ?? 0,
      inFlightLimit: (server) => this.#services.connections.connectionShare(server),
    });
  }

  #occupy(server: BackendServer): void {
    this.#inFlight.set(server.workerId, (this.#inFlight.get(server.workerId) ?? 0) + 1);
  }

  #release(server: BackendServer, serviceName: string): void {
    const count = (this.#inFlight.get(server.workerId) ?? 1) - 1;
    if (count === 0) this.#inFlight.delete(server.workerId);
    else this.#inFlight.set(server.workerId, count);
    this.#serveQueue(serviceName);
  }

  #serveQueue(serviceName: string): void {
    const queue = this.#queue(serviceName);
    while (queue.length > 0) {
      const server = this.#choose(serviceName);
      if (server === undefined) return;
      const next = queue.takeNext();
      if (next === undefined) return;
      this.#occupy(server);
      next.settle(right(server));
    }
  }

  #expire(): void {
    const nowMs = this.#services.clock.nowMs();
    this.#queues.forEach((queue, serviceName) => {
      queue
        .takeExpired(nowMs)
        .forEach((waiting) =>
          waiting.settle(left(failure(ErrorKind.DeadlineExceeded, 'waited until the deadline'))),
        );
      this.#serveQueue(serviceName);
    });
  }

  #queue(serviceName: string): WaitingQueue<QueuedRequest> {
    const known = this.#queues.get(serviceName);
    if (known !== undefined) return known;
    const queue = new WaitingQueue<QueuedRequest>(this.#settings.queueCapacity);
    this.#queues.set(serviceName, queue);
    return queue;
  }

  #budget(serviceName: string): RetryBudget {
    const known = this.#budgets.get(serviceName);
    if (known !== undefined) return known;
    const budget = new RetryBudget(this.#settings.retryBudgetRatio);
    this.#budgets.set(serviceName, budget);
    return budget;
  }
}
