/**
 * Simulates the request path in virtual time. Each virtual entry runs the product's own
 * `Admission`, `RequestProgress` and `secondAttemptReason`, as the daemon does. Arrivals and
 * service times are random. A worker is modelled as slots with a queue; the model has no other
 * part of a cluster.
 */
import type { RandomSource } from '../../src/base/common/random.js';
import { SeededRandom } from '../../src/base/common/random.js';
import { Admission, type AdmissionSettings } from '../../src/entry/common/admission.js';
import { SecondAttemptReason, ServerVerdict } from '../../src/entry/common/admissionDecision.js';
import { AttemptEnd } from '../../src/entry/common/attempt.js';
import type { WaitingRequest } from '../../src/entry/common/fairQueue.js';
import { HangUpAction } from '../../src/entry/common/hangUp.js';
import { RequestProgress } from '../../src/entry/common/requestProgress.js';
import type { BackendServer, RoutingTable } from '../../src/entry/common/routing.js';
import { secondAttemptReason } from '../../src/entry/common/secondAttempt.js';
import type { ServerChooser } from '../../src/entry/common/serverChoice.js';
import type { ServerRecord } from '../../src/entry/common/serverRecords.js';
import {
  generateArrivals,
  ONE_WAY_MS,
  type Scenario,
  SLOT_COUNT,
  type Traffic,
} from './arrivals.js';
import { Outcome } from './outcome.js';
import { VirtualTime } from '../virtualTime.js';

const SWEEP_INTERVAL_MS = 10;
const CONNECTION_COUNT = 64;
const ZONE_COUNT = 3;
const SILENCE_FLOOR_MS = 1_000;
const MAXIMUM_ATTEMPT_COUNT = 3;

export interface ModelPolicy {
  readonly createChooser: (random: RandomSource) => ServerChooser;
  readonly admission: AdmissionSettings;
  readonly isHedgingEnabled: boolean;
  /** Whether the entry ends a request when its caller hangs up. False gives the baseline. */
  readonly areHangUpsHandled: boolean;
}

export interface ModelResult {
  readonly outcomes: ReadonlyMap<string, Outcome>;
  readonly all: Outcome;
  attemptCount: number;
  secondAttemptCount: number;
  readonly capacityMs: number;
}

interface VirtualAttempt {
  readonly server: ServerRecord<VirtualRequest>;
  readonly startedAtMs: number;
  readonly reason: SecondAttemptReason | undefined;
  isDetached: boolean;
  /** Cancels the work on a server that detects the closed connection. */
  cancel: () => void;
}

interface VirtualRequest extends WaitingRequest {
  readonly entry: VirtualEntry;
  readonly traffic: Traffic;
  readonly workMs: number;
  readonly arrivedAtMs: number;
  readonly remainingResendCount: number;
  readonly isMeasured: boolean;
  readonly progress: RequestProgress;
  readonly attempts: VirtualAttempt[];
  waitingSinceMs: number;
  avoidedWorkerId: string | undefined;
  isDone: boolean;
  /** The caller hung up, so nobody reads the answer. */
  isAbandoned: boolean;
}

class VirtualWorker {
  readonly #time: VirtualTime;

  readonly #waiting: (() => void)[] = [];

  #busyCount = 0;

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  /** Returns a function that cancels the work. */
  serve(workMs: number, done: () => void): () => void {
    let isEnded = false;
    const end = (): void => {
      if (isEnded) return;
      isEnded = true;
      this.#busyCount -= 1;
      done();
      this.#waiting.shift()?.();
    };
    const begin = (): void => {
      this.#busyCount += 1;
      this.#time.after(workMs, end);
    };
    if (this.#busyCount < SLOT_COUNT) {
      begin();
      return end;
    }
    this.#waiting.push(begin);
    return () => {
      const position = this.#waiting.indexOf(begin);
      if (position < 0) end();
      else this.#waiting.splice(position, 1);
    };
  }
}

interface VirtualEntry {
  readonly admission: Admission<VirtualRequest>;
  readonly openRequests: Set<VirtualRequest>;
}

export class LoadModel {
  readonly #scenario: Scenario;

  readonly #policy: ModelPolicy;

  readonly #time = new VirtualTime();

  readonly #random: RandomSource;

  readonly #workers: readonly VirtualWorker[];

  readonly #servers: readonly BackendServer[];

  readonly #entries: readonly VirtualEntry[];

  readonly #result: ModelResult;

  #routesKey = '';

  constructor(scenario: Scenario, policy: ModelPolicy, seed: number) {
    const { workerCount, entryCount, traffic, durationMs, warmUpMs } = scenario;
    this.#scenario = scenario;
    this.#policy = policy;
    this.#random = new SeededRandom(seed);
    this.#workers = Array.from({ length: workerCount }, () => new VirtualWorker(this.#time));
    this.#servers = Array.from({ length: workerCount }, (_, index) => ({
      workerId: `w${index}`,
      origin: `http://w${index}`,
      availabilityZone: `zone-${index % ZONE_COUNT}`,
      slotCount: SLOT_COUNT,
      connectionCount: CONNECTION_COUNT,
    }));
    this.#entries = Array.from({ length: entryCount }, (_, index) => {
      const random = new SeededRandom(seed * 1_000 + index);
      const chooser = policy.createChooser(random);
      const admission = new Admission<VirtualRequest>(policy.admission, chooser, random);
      return { admission, openRequests: new Set<VirtualRequest>() };
    });
    this.#result = {
      outcomes: new Map(traffic.map(({ serviceName }) => [serviceName, new Outcome()])),
      all: new Outcome(),
      attemptCount: 0,
      secondAttemptCount: 0,
      capacityMs: (durationMs - warmUpMs) * workerCount * SLOT_COUNT,
    };
  }

  run(): ModelResult {
    const { durationMs } = this.#scenario;
    this.#sweep();
    generateArrivals(this.#scenario, this.#time, this.#random, (traffic, workMs) =>
      this.#begin(traffic, workMs),
    );
    this.#time.runUntil(durationMs);
    return this.#result;
  }

  #pickEntry(): VirtualEntry {
    const { isEntryDead, entryWeight } = this.#scenario;
    for (;;) {
      const index = this.#random.nextIndex(this.#entries.length);
      const weight = entryWeight?.(index) ?? 1;
      const isChosen = weight >= 1 || this.#random.nextFraction() < weight;
      if (isChosen && isEntryDead?.(index, this.#time.nowMs) !== true) {
        return this.#entries[index] as VirtualEntry;
      }
    }
  }

  #begin(traffic: Traffic, workMs: number, remainingResendCount = traffic.resendCount ?? 0): void {
    const { nowMs } = this.#time;
    const entry = this.#pickEntry();
    const deadlineAtMs = nowMs + traffic.deadlineMs;
    const request: VirtualRequest = {
      entry,
      traffic,
      workMs,
      arrivedAtMs: nowMs,
      remainingResendCount,
      deadlineAtMs,
      isMeasured: nowMs >= this.#scenario.warmUpMs,
      progress: new RequestProgress({
        isIdempotent: true,
        maximumAttemptCount: MAXIMUM_ATTEMPT_COUNT,
        deadlineAtMs,
      }),
      attempts: [],
      callerId: traffic.callerId ?? '',
      waitingSinceMs: nowMs,
      avoidedWorkerId: undefined,
      isDone: false,
      isAbandoned: false,
    };
    this.#outcomes(request).forEach((outcome) => outcome.count('offered'));
    entry.openRequests.add(request);
    const service = entry.admission.service(traffic.serviceName);
    service?.budget.earn();
    service?.hedgeBudget.earn();
    this.#admit(request);
    const { callerTimeoutMs } = traffic;
    if (callerTimeoutMs !== undefined)
      this.#time.after(callerTimeoutMs, () => this.#hangUp(request));
  }

  /** The caller hangs up and resends the request. The policy decides whether the entry reacts. */
  #hangUp(request: VirtualRequest): void {
    if (request.isDone) return;
    request.isAbandoned = true;
    this.#outcomes(request).forEach((outcome) => outcome.count('failed'));
    if (this.#policy.areHangUpsHandled) this.#handleHangUp(request);
    const { traffic, workMs, remainingResendCount } = request;
    if (remainingResendCount > 0) this.#begin(traffic, workMs, remainingResendCount - 1);
  }

  #handleHangUp(request: VirtualRequest): void {
    const action = request.progress.noteHangUp(true);
    if (action === HangUpAction.Dequeue)
      request.entry.admission.removeWaiting(request.traffic.serviceName, request);
    const { attempts } = request;
    const cancels = attempts.map(({ cancel }) => cancel);
    this.#close(request, ServerVerdict.Abandoned);
    if (this.#scenario.areServersCancelling !== true) return;
    this.#time.after(ONE_WAY_MS, () => cancels.forEach((cancel) => cancel()));
  }

  #admit(request: VirtualRequest): void {
    const { admission } = request.entry;
    const decision = admission.admit(request.traffic.serviceName, request, this.#time.nowMs);
    if (decision.kind === 'admitted') this.#startAttempt(request, decision.server);
    if (decision.kind === 'refused') this.#refuse(request);
    if (decision.kind === 'queued' && decision.displaced !== undefined) {
      this.#refuse(decision.displaced.waiting);
    }
  }

  #startAttempt(
    request: VirtualRequest,
    server: ServerRecord<VirtualRequest>,
    reason?: SecondAttemptReason,
  ): void {
    const attempt: VirtualAttempt = {
      server,
      startedAtMs: this.#time.nowMs,
      reason,
      isDetached: false,
      cancel: () => {},
    };
    request.attempts.push(attempt);
    request.progress.tryStart();
    if (request.isMeasured) this.#result.attemptCount += 1;
    const index = Number(server.worker.workerId.slice(1));
    this.#time.after(ONE_WAY_MS, () => {
      const { serviceTimeFactor, isFailing } = this.#scenario;
      const { nowMs } = this.#time;
      if (isFailing?.(index, nowMs) === true) {
        this.#time.after(ONE_WAY_MS, () => this.#endAttempt(request, attempt, AttemptEnd.NotRun));
        return;
      }
      const workMs = request.workMs * (serviceTimeFactor?.(index, nowMs) ?? 1);
      const done = (): void =>
        this.#time.after(ONE_WAY_MS, () => this.#endAttempt(request, attempt, AttemptEnd.Answered));
      const cancel = this.#workers[index]?.serve(workMs, done);
      if (cancel !== undefined) attempt.cancel = cancel;
    });
  }

  #endAttempt(request: VirtualRequest, attempt: VirtualAttempt, end: AttemptEnd): void {
    if (attempt.isDetached) return;
    const { nowMs } = this.#time;
    request.progress.noteEnd(end);
    request.attempts.splice(request.attempts.indexOf(attempt), 1);
    const isAnswer = end === AttemptEnd.Answered;
    this.#releaseSlot(request, attempt, isAnswer ? ServerVerdict.Success : ServerVerdict.Failure);
    if (request.isDone) return;
    if (isAnswer) {
      const service = request.entry.admission.service(request.traffic.serviceName);
      if (attempt.reason === SecondAttemptReason.Hedge) service?.hedgeBudget.noteWin();
      this.#answer(request);
      return;
    }
    if (request.attempts.length > 0) return;
    const service = request.entry.admission.service(request.traffic.serviceName);
    if (!request.progress.mayRetry(nowMs) || service?.budget.trySpend() !== true) {
      this.#fail(request);
      return;
    }
    request.waitingSinceMs = nowMs;
    request.avoidedWorkerId = attempt.server.worker.workerId;
    this.#admit(request);
  }

  #releaseSlot(request: VirtualRequest, attempt: VirtualAttempt, verdict: ServerVerdict): void {
    const { nowMs } = this.#time;
    const { admission } = request.entry;
    const end = { latencyMs: nowMs - attempt.startedAtMs, verdict, isServerLeaving: false };
    admission
      .finish(request.traffic.serviceName, attempt.server, end, nowMs)
      .forEach(({ waiting, server }) => this.#startAttempt(waiting, server));
  }

  #answer(request: VirtualRequest): void {
    const latencyMs = this.#time.nowMs - request.arrivedAtMs;
    const { deadlineMs } = request.traffic;
    if (!request.isAbandoned) {
      this.#outcomes(request).forEach((outcome) =>
        outcome.recordAnswer(latencyMs, deadlineMs, request.workMs),
      );
    }
    this.#close(request, ServerVerdict.Overtaken);
  }

  #refuse(request: VirtualRequest): void {
    if (!request.isAbandoned)
      this.#outcomes(request).forEach((outcome) => outcome.count('refused'));
    this.#close(request, ServerVerdict.Failure);
  }

  #fail(request: VirtualRequest): void {
    if (!request.isAbandoned) this.#outcomes(request).forEach((outcome) => outcome.count('failed'));
    this.#close(request, ServerVerdict.Failure);
  }

  /** Ends a request. Attempts in flight release their slots, but the servers go on working. */
  #close(request: VirtualRequest, verdict: ServerVerdict): void {
    request.isDone = true;
    request.entry.openRequests.delete(request);
    request.attempts.splice(0).forEach((attempt) => {
      // The model owns the attempt and may change it.
      // eslint-disable-next-line no-param-reassign
      attempt.isDetached = true;
      this.#releaseSlot(request, attempt, verdict);
    });
  }

  #outcomes(request: VirtualRequest): readonly Outcome[] {
    if (!request.isMeasured) return [];
    const serviceOutcome = this.#result.outcomes.get(request.traffic.serviceName);
    return serviceOutcome === undefined ? [this.#result.all] : [serviceOutcome, this.#result.all];
  }

  #sweep(): void {
    const { nowMs } = this.#time;
    this.#updateRoutes();
    this.#entries.forEach(({ admission, openRequests }) => {
      const { rejected, dispatched } = admission.sweep(nowMs);
      rejected.forEach(({ waiting }) => this.#refuse(waiting));
      dispatched.forEach(({ waiting, server }) => this.#startAttempt(waiting, server));
      openRequests.forEach((request) => {
        if (request.attempts.length === 0) return;
        if (nowMs >= request.deadlineAtMs) this.#fail(request);
        else if (this.#policy.isHedgingEnabled) this.#tryStartSecondAttempt(request);
      });
    });
    this.#time.after(SWEEP_INTERVAL_MS, () => this.#sweep());
  }

  #tryStartSecondAttempt(request: VirtualRequest): void {
    const [first, second] = request.attempts;
    const { admission } = request.entry;
    const service = admission.service(request.traffic.serviceName);
    if (first === undefined || second !== undefined || service === undefined) return;
    const reason = secondAttemptReason(
      {
        isIdempotent: true,
        attemptCount: request.progress.attemptCount,
        maximumAttemptCount: MAXIMUM_ATTEMPT_COUNT,
        ageMs: this.#time.nowMs - first.startedAtMs,
        hasProgress: false,
        p95LatencyMs: service.limit.p95Ms,
      },
      { silenceFloorMs: SILENCE_FLOOR_MS },
    );
    if (reason === undefined) return;
    const budget = reason === SecondAttemptReason.Silence ? service.budget : service.hedgeBudget;
    if (!budget.hasToken) return;
    const { nowMs } = this.#time;
    const server = admission.tryAdmitSecondAttempt(service.name, first.server, reason, nowMs);
    if (server === undefined) return;
    budget.trySpend();
    if (request.isMeasured) this.#result.secondAttemptCount += 1;
    this.#startAttempt(request, server, reason);
  }

  #updateRoutes(): void {
    const { isZoneWithdrawn, traffic } = this.#scenario;
    const isWithdrawn = (_: unknown, zone: number): boolean =>
      isZoneWithdrawn?.(zone, this.#time.nowMs) === true;
    const withdrawnZones = Array.from({ length: ZONE_COUNT }, isWithdrawn);
    const key = withdrawnZones.join();
    if (key === this.#routesKey) return;
    this.#routesKey = key;
    const servers = this.#servers.filter((_, index) => withdrawnZones[index % ZONE_COUNT] !== true);
    const routes: RoutingTable = new Map(traffic.map(({ serviceName }) => [serviceName, servers]));
    const urgencies = new Map(traffic.map(({ serviceName, urgency }) => [serviceName, urgency]));
    this.#entries.forEach(({ admission }) =>
      admission.updateRoutes(
        routes,
        (name) => urgencies.get(name) ?? 'normal',
        this.#entries.length,
      ),
    );
  }
}
