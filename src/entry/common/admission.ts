/** Decides for each request whether it is sent now, and where, or waits, or is refused. */
import type { RandomSource } from '../../base/common/random.js';
import { URGENCY_ORDER, type Urgency } from '../../services/configuration/common/documents.js';
import { ErrorKind, failure, type Failure } from '../../services/errors/common/errorKinds.js';
import { AbandonedPermits } from './abandonedPermits.js';
import {
  type AdmissionDecision,
  AdmissionKind,
  type Dispatched,
  SecondAttemptReason,
  type AttemptOutcome,
  type Rejected,
  ServerVerdict,
} from './admissionDecision.js';
import type { WaitingRequest } from './fairQueue.js';
import type { LatencyWindows } from './latencyWindows.js';
import type { RoutingTable } from './routing.js';
import type { ServerChooser } from './serverChoice.js';
import { ServerFeedback } from './serverFeedback.js';
import type { ServerRecord, ServiceRecord } from './serverRecords.js';
import { type RegistrySettings, ServiceRegistry } from './serviceRegistry.js';

export interface AdmissionSettings extends RegistrySettings {
  readonly maximumWaitMs: number;
  readonly maximumSetAsideRatio: number;
  readonly leavingHoldMs: number;
}

const MINIMUM_RETRY_AFTER_MS = 1_000;
const RETRY_AFTER_JITTER_MS = 2_000;

/**
 * How long the permit of an abandoned request stays in use, counted from the start of its attempt:
 * a multiple of the service's median latency, with a lower bound.
 */
const ABANDONED_HOLD_MEDIANS = 1.5;
const MINIMUM_ABANDONED_HOLD_MS = 40;

/**
 * Admission control of one entry, for bursts and saturation on servers that several services and
 * several entries share.
 *
 * Each request that is sent holds a permit on its server until it ends. A request is sent at once
 * while its service is below its limit. The limit counts the requests of all services on the same
 * workers, so that two services together do not exceed the limit that each of them has alone. At
 * the limit a request waits here. A freed permit goes to the most urgent waiting service, and
 * services of equal urgency take turns, so that work of low urgency does not get ahead of urgent
 * work inside a worker.
 *
 * A request is refused at once when it would wait longer than the setting allows, or longer than
 * its deadline leaves: the caller pays for work that is answered too late and cannot use it. The
 * retry delay carries random jitter, so that requests refused together do not return together.
 */
export class Admission<Waiting extends WaitingRequest> {
  readonly #settings: AdmissionSettings;

  readonly #chooser: ServerChooser;

  readonly #random: RandomSource;

  readonly #registry: ServiceRegistry<Waiting>;

  readonly #abandonedPermits = new AbandonedPermits<Waiting>();

  readonly #feedback: ServerFeedback<Waiting>;

  #dequeuedCount = 0;

  constructor(settings: AdmissionSettings, chooser: ServerChooser, random: RandomSource) {
    this.#settings = settings;
    this.#chooser = chooser;
    this.#random = random;
    this.#registry = new ServiceRegistry(settings);
    this.#feedback = new ServerFeedback(settings.maximumSetAsideRatio, random);
  }

  /** Latencies of the servers' answers, for the scheduler that places tasks on the same workers. */
  get latencyWindows(): LatencyWindows {
    return this.#feedback.latencyWindows;
  }

  service(name: string): ServiceRecord<Waiting> | undefined {
    return this.#registry.service(name);
  }

  /** The number of requests of all services that wait now. */
  get waitingCount(): number {
    return this.#registry.services.reduce((sum, { queue }) => sum + queue.length, 0);
  }

  /** Whether a later sweep has permits of abandoned requests to release. */
  get hasAbandonedPermits(): boolean {
    return !this.#abandonedPermits.isEmpty;
  }

  /** How often a server was set aside since the last call. */
  takeSetAsideCount(): number {
    return this.#feedback.takeSetAsideCount();
  }

  /** Applies new routes; see `ServiceRegistry.updateRoutes`. */
  updateRoutes(
    routes: RoutingTable,
    urgencyOf: (serviceName: string) => Urgency,
    entryCount: number,
  ): void {
    this.#registry.updateRoutes(routes, urgencyOf, entryCount);
  }

  admit(serviceName: string, waiting: Waiting, nowMs: number): AdmissionDecision<Waiting> {
    const service = this.#registry.service(serviceName);
    if (service === undefined) {
      return Admission.#refuse(failure(ErrorKind.UnknownService, `no service ${serviceName}`));
    }
    if (service.servers.length === 0) {
      return Admission.#refuse(
        this.#retryableFailure(ErrorKind.NoServer, `no server for ${serviceName}`),
      );
    }
    if (service.queue.length === 0 && service.hasCapacity) {
      const server = this.#chooser.choose(service.servers, nowMs, waiting.avoidedWorkerId);
      if (server !== undefined) {
        Admission.#acquirePermit(server);
        return { kind: AdmissionKind.Admitted, server };
      }
    }
    if (this.#wouldWaitTooLong(service, waiting, nowMs)) {
      return Admission.#refuse(
        this.#retryableFailure(ErrorKind.Saturated, `${serviceName} is saturated`),
      );
    }
    if (service.queue.length === 0) service.dequeueInterval.noteQueueStart(nowMs);
    const { isAdded, displaced } = service.queue.add(waiting);
    if (!isAdded) {
      return Admission.#refuse(
        this.#retryableFailure(ErrorKind.Saturated, `${serviceName}: queue full`),
      );
    }
    if (displaced === undefined) return { kind: AdmissionKind.Queued, displaced };
    const cause = this.#retryableFailure(
      ErrorKind.Saturated,
      `${serviceName}: others have fewer waiting`,
    );
    return { kind: AdmissionKind.Queued, displaced: { waiting: displaced, failure: cause } };
  }

  /**
   * Returns a server with a permit for a second attempt at a running request, past the queue. A
   * hedge gets one only while the service is below its limit and no service on its workers waits,
   * so that saturated servers get no extra work. These conditions do not apply to
   * an attempt that replaces a silent connection; the retry budget limits such attempts.
   */
  tryAdmitSecondAttempt(
    serviceName: string,
    avoidedServer: ServerRecord<Waiting>,
    reason: SecondAttemptReason,
    nowMs: number,
  ): ServerRecord<Waiting> | undefined {
    const service = this.#registry.service(serviceName);
    if (service === undefined) return undefined;
    const isBusy =
      !service.hasCapacity || service.servicesNotMoreUrgent.some(({ queue }) => queue.length > 0);
    if (reason === SecondAttemptReason.Hedge && isBusy) return undefined;
    const { workerId } = avoidedServer.worker;
    const server = this.#chooser.choose(service.servers, nowMs, workerId);
    if (server !== undefined) Admission.#acquirePermit(server);
    return server;
  }

  /** Removes a waiting request that nobody wants any more; false when it does not wait. */
  removeWaiting(serviceName: string, waiting: Waiting): boolean {
    return this.#registry.service(serviceName)?.queue.remove(waiting) ?? false;
  }

  /**
   * Releases a permit and returns the waiting requests that may be sent instead.
   *
   * The permit of an abandoned request stays in use for as long as its work is likely to run. Some
   * callers hang up within milliseconds and repeat at once, and some servers do not notice that a
   * connection was closed. If such permits were free at once, each repeat would put one more
   * request inside a worker, past every limit, and urgent work would wait behind it.
   */
  finish(
    serviceName: string,
    server: ServerRecord<Waiting>,
    outcome: AttemptOutcome,
    nowMs: number,
  ): readonly Dispatched<Waiting>[] {
    const service = this.#registry.service(serviceName);
    if (service !== undefined) this.#feedback.note(service, server, outcome, nowMs);
    const { worker } = server;
    if (outcome.isServerLeaving) worker.leavingUntilMs = nowMs + this.#settings.leavingHoldMs;
    if (outcome.verdict !== ServerVerdict.Abandoned) return this.#releasePermit(server, nowMs);
    const holdMs = Math.max(
      MINIMUM_ABANDONED_HOLD_MS,
      ABANDONED_HOLD_MEDIANS * (service?.limit.medianMs ?? 0),
    );
    if (outcome.latencyMs >= holdMs) return this.#releasePermit(server, nowMs);
    this.#abandonedPermits.hold(server, nowMs + holdMs - outcome.latencyMs);
    return [];
  }

  #releasePermit(server: ServerRecord<Waiting>, nowMs: number): readonly Dispatched<Waiting>[] {
    const { worker } = server;
    worker.inFlightCount -= 1;
    if (worker.inFlightCount === 0) this.#registry.forgetDeparted(worker);
    worker.services.forEach((each) => {
      // This class owns the record.
      // eslint-disable-next-line no-param-reassign
      each.occupiedCount -= 1;
    });
    return this.#dispatchWaiting(worker.services, nowMs);
  }

  /** Rejects waiting requests that have expired, and sends those that now get a permit. */
  sweep(nowMs: number): {
    readonly rejected: readonly Rejected<Waiting>[];
    readonly dispatched: readonly Dispatched<Waiting>[];
  } {
    const dispatchedOnRelease = this.#abandonedPermits
      .takeDue(nowMs)
      .flatMap((server) => this.#releasePermit(server, nowMs));
    const rejected: Rejected<Waiting>[] = [];
    const waitingServices: ServiceRecord<Waiting>[] = [];
    this.#registry.services.forEach((service) => {
      if (service.queue.length === 0) return;
      service.queue
        .removeWhere((waiting) => service.servers.length === 0 || this.#hasExpired(waiting, nowMs))
        .forEach((waiting) => rejected.push(this.#toRejected(service, waiting, nowMs)));
      waitingServices.push(service);
    });
    waitingServices.sort(
      (left, right) => URGENCY_ORDER[left.urgency] - URGENCY_ORDER[right.urgency],
    );
    return {
      rejected,
      dispatched: [...dispatchedOnRelease, ...this.#dispatchWaiting(waitingServices, nowMs)],
    };
  }

  static #refuse(cause: Failure): { readonly kind: 'refused'; readonly failure: Failure } {
    return { kind: AdmissionKind.Refused, failure: cause };
  }

  #hasExpired(waiting: Waiting, nowMs: number): boolean {
    return (
      nowMs >= waiting.deadlineAtMs ||
      nowMs - waiting.waitingSinceMs >= this.#settings.maximumWaitMs
    );
  }

  #toRejected(service: ServiceRecord<Waiting>, waiting: Waiting, nowMs: number): Rejected<Waiting> {
    if (service.servers.length === 0) {
      return {
        waiting,
        failure: this.#retryableFailure(ErrorKind.NoServer, `no server: ${service.name}`),
      };
    }
    const isPastDeadline = nowMs >= waiting.deadlineAtMs;
    const kind = isPastDeadline ? ErrorKind.DeadlineExceeded : ErrorKind.Saturated;
    return { waiting, failure: this.#retryableFailure(kind, `${service.name}: waited too long`) };
  }

  #retryableFailure(kind: ErrorKind, message: string): Failure {
    const jitterMs = Math.floor(this.#random.nextFraction() * RETRY_AFTER_JITTER_MS);
    return { ...failure(kind, message), retryAfterMs: MINIMUM_RETRY_AFTER_MS + jitterMs };
  }

  /**
   * Estimates the wait from the queue's length and the recent interval between two dequeued
   * requests. While more urgent work takes every permit, the time since the last dequeued request
   * serves as that interval.
   */
  #wouldWaitTooLong(service: ServiceRecord<Waiting>, waiting: Waiting, nowMs: number): boolean {
    const waitMs = service.queue.length * service.dequeueInterval.valueMs(nowMs);
    const remainingMs = waiting.deadlineAtMs - nowMs;
    return waitMs > this.#settings.maximumWaitMs || waitMs + service.limit.medianMs > remainingMs;
  }

  #dispatchWaiting(
    services: readonly ServiceRecord<Waiting>[],
    nowMs: number,
  ): readonly Dispatched<Waiting>[] {
    const dispatched: Dispatched<Waiting>[] = [];
    for (;;) {
      const service = Admission.#nextService(services);
      if (service === undefined) return dispatched;
      const waiting = service.queue.peek();
      if (waiting === undefined) return dispatched;
      const server = this.#chooser.choose(service.servers, nowMs, waiting.avoidedWorkerId);
      if (server === undefined) return dispatched;
      service.queue.takeNext();
      Admission.#acquirePermit(server);
      this.#dequeuedCount += 1;
      service.lastDequeueOrder = this.#dequeuedCount;
      service.dequeueInterval.noteDequeue(nowMs);
      dispatched.push({ waiting, server });
    }
  }

  /** The most urgent service that waits and has capacity; services of equal urgency take turns. */
  static #nextService<Waiting extends WaitingRequest>(
    services: readonly ServiceRecord<Waiting>[],
  ): ServiceRecord<Waiting> | undefined {
    let next: ServiceRecord<Waiting> | undefined;
    services.forEach((service) => {
      if (service.queue.length === 0 || !service.hasCapacity) return;
      const isPreferred =
        next === undefined ||
        URGENCY_ORDER[service.urgency] < URGENCY_ORDER[next.urgency] ||
        (service.urgency === next.urgency && service.lastDequeueOrder < next.lastDequeueOrder);
      if (isPreferred) next = service;
    });
    return next;
  }

  static #acquirePermit<Waiting extends WaitingRequest>(server: ServerRecord<Waiting>): void {
    const { worker } = server;
    worker.inFlightCount += 1;
    worker.services.forEach((service) => {
      // This class owns the record.
      // eslint-disable-next-line no-param-reassign
      service.occupiedCount += 1;
    });
  }
}
