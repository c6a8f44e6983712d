/**
 * Arrivals and service times in virtual time, in front of the product's own decisions: each
 * virtual entry asks `Admission`, `RequestProgress` and `secondAttemptReason` as the daemon
 * does. A worker is a number of slots with a queue; nothing else of a cluster is modelled.
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
import { arrive, ONE_WAY_MS, type Scenario, SLOT_COUNT, type Traffic } from './arrivals.js';
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
  readonly isHedging: boolean;
  /** Whether a hang-up ends the request; false shows what it would cost otherwise. */
  readonly isNoticingHangUps: boolean;
}

export interface ModelResult {
  readonly outcomes: ReadonlyMap<string, Outcome>;
  readonly all: Outcome;
  attemptCount: number;
  secondAttemptCount: number;
  readonly capacityMs: number;
}

interface Flight {
  readonly server: ServerRecord<VirtualRequest>;
  readonly startedAtMs: number;
  readonly extra: SecondAttemptReason | undefined;
  isGivenUp: boolean;
  /** Ends the work on a server that notices that its connection was closed. */
  cancel: () => void;
}

interface VirtualRequest extends WaitingRequest {
  readonly entry: VirtualEntry;
  readonly traffic: Traffic;
  readonly workMs: number;
  readonly arrivedAtMs: number;
  readonly repeatsLeft: number;
  readonly isMeasured: boolean;
  readonly progress: RequestProgress;
  readonly flights: Flight[];
  waitingSinceMs: number;
  avoidedWorkerId: string | undefined;
  isDone: boolean;
  /** Its caller hung up; an answer is read by nobody. */
  isAbandoned: boolean;
}

class VirtualWorker {
  readonly #time: VirtualTime;

  readonly #waiting: (() => void)[] = [];

  #busyCount = 0;

  constructor(time: VirtualTime) {
    this.#time = time;
  }

  /** Returns what ends the work early. */
  serve(workMs: number, done: () => void): () => void {
    let isOver = false;
    const end = (): void => {
      if (isOver) return;
      isOver = true;
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
      const place = this.#waiting.indexOf(begin);
      if (place < 0) end();
      else this.#waiting.splice(place, 1);
    };
  }
}

interface VirtualEntry {
  readonly admission: Admission<VirtualRequest>;
  readonly underWay: Set<VirtualRequest>;
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
      return { admission, underWay: new Set<VirtualRequest>() };
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
    arrive(this.#scenario, this.#time, this.#random, (traffic, workMs) =>
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

  #begin(traffic: Traffic, workMs: number, repeatsLeft = traffic.repeatCount ?? 0): void {
    const { nowMs } = this.#time;
    const entry = this.#pickEntry();
    const deadlineAtMs = nowMs + traffic.deadlineMs;
    const request: VirtualRequest = {
      entry,
      traffic,
      workMs,
      arrivedAtMs: nowMs,
      repeatsLeft,
      deadlineAtMs,
      isMeasured: nowMs >= this.#scenario.warmUpMs,
      progress: new RequestProgress({
        isIdempotent: true,
        maximumAttemptCount: MAXIMUM_ATTEMPT_COUNT,
        deadlineAtMs,
      }),
      flights: [],
      callerId: traffic.callerId ?? '',
      waitingSinceMs: nowMs,
      avoidedWorkerId: undefined,
      isDone: false,
      isAbandoned: false,
    };
    this.#outcomes(request).forEach((outcome) => outcome.count('offered'));
    entry.underWay.add(request);
    const service = entry.admission.service(traffic.serviceName);
    service?.budget.earn();
    service?.hedgeBudget.earn();
    this.#admit(request);
    const { patienceMs } = traffic;
    if (patienceMs !== undefined) this.#time.after(patienceMs, () => this.#hangUp(request));
  }

  /** The caller hangs up and sends the same again; what it left behind may be noticed. */
  #hangUp(request: VirtualRequest): void {
    if (request.isDone) return;
    request.isAbandoned = true;
    this.#outcomes(request).forEach((outcome) => outcome.count('failed'));
    if (this.#policy.isNoticingHangUps) this.#letGo(request);
    const { traffic, workMs, repeatsLeft } = request;
    if (repeatsLeft > 0) this.#begin(traffic, workMs, repeatsLeft - 1);
  }

  #letGo(request: VirtualRequest): void {
    const step = request.progress.noteHangUp(true);
    if (step === HangUpAction.Dequeue)
      request.entry.admission.removeWaiting(request.traffic.serviceName, request);
    const { flights } = request;
    const cancels = flights.map(({ cancel }) => cancel);
    this.#close(request, ServerVerdict.Abandoned);
    if (this.#scenario.areServersNoticing !== true) return;
    this.#time.after(ONE_WAY_MS, () => cancels.forEach((cancel) => cancel()));
  }

  #admit(request: VirtualRequest): void {
    const { admission } = request.entry;
    const decision = admission.admit(request.traffic.serviceName, request, this.#time.nowMs);
    if (decision.kind === 'admitted') this.#send(request, decision.server);
    if (decision.kind === 'refused') this.#refuse(request);
    if (decision.kind === 'queued' && decision.displaced !== undefined) {
      this.#refuse(decision.displaced.waiting);
    }
  }

  #send(
    request: VirtualRequest,
    server: ServerRecord<VirtualRequest>,
    extra?: SecondAttemptReason,
  ): void {
    const flight: Flight = {
      server,
      startedAtMs: this.#time.nowMs,
      extra,
      isGivenUp: false,
      cancel: () => {},
    };
    request.flights.push(flight);
    request.progress.tryStart();
    if (request.isMeasured) this.#result.attemptCount += 1;
    const index = Number(server.worker.workerId.slice(1));
    this.#time.after(ONE_WAY_MS, () => {
      const { slowness, isFailing } = this.#scenario;
      const { nowMs } = this.#time;
      if (isFailing?.(index, nowMs) === true) {
        this.#time.after(ONE_WAY_MS, () => this.#end(request, flight, AttemptEnd.NotRun));
        return;
      }
      const workMs = request.workMs * (slowness?.(index, nowMs) ?? 1);
      const done = (): void =>
        this.#time.after(ONE_WAY_MS, () => this.#end(request, flight, AttemptEnd.Answered));
      const cancel = this.#workers[index]?.serve(workMs, done);
      if (cancel !== undefined) flight.cancel = cancel;
    });
  }

  #end(request: VirtualRequest, flight: Flight, end: AttemptEnd): void {
    if (flight.isGivenUp) return;
    const { nowMs } = this.#time;
    request.progress.noteEnd(end);
    request.flights.splice(request.flights.indexOf(flight), 1);
    const isAnswer = end === AttemptEnd.Answered;
    this.#finishPlace(request, flight, isAnswer ? ServerVerdict.Success : ServerVerdict.Failure);
    if (request.isDone) return;
    if (isAnswer) {
      const service = request.entry.admission.service(request.traffic.serviceName);
      if (flight.extra === SecondAttemptReason.Hedge) service?.hedgeBudget.noteWin();
      this.#answer(request);
      return;
    }
    if (request.flights.length > 0) return;
    const service = request.entry.admission.service(request.traffic.serviceName);
    if (!request.progress.mayRetry(nowMs) || service?.budget.trySpend() !== true) {
      this.#fail(request);
      return;
    }
    request.waitingSinceMs = nowMs;
    request.avoidedWorkerId = flight.server.worker.workerId;
    this.#admit(request);
  }

  #finishPlace(request: VirtualRequest, flight: Flight, verdict: ServerVerdict): void {
    const { nowMs } = this.#time;
    const { admission } = request.entry;
    const end = { latencyMs: nowMs - flight.startedAtMs, verdict, isServerLeaving: false };
    admission
      .finish(request.traffic.serviceName, flight.server, end, nowMs)
      .forEach(({ waiting, server }) => this.#send(waiting, server));
  }

  #answer(request: VirtualRequest): void {
    const latencyMs = this.#time.nowMs - request.arrivedAtMs;
    const { deadlineMs } = request.traffic;
    if (!request.isAbandoned) {
      this.#outcomes(request).forEach((outcome) =>
        outcome.answered(latencyMs, deadlineMs, request.workMs),
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

  /** Ends a request; attempts still in flight lose their place, but their work goes on. */
  #close(request: VirtualRequest, verdict: ServerVerdict): void {
    request.isDone = true;
    request.entry.underWay.delete(request);
    request.flights.splice(0).forEach((flight) => {
      // The record is the model's own.
      // eslint-disable-next-line no-param-reassign
      flight.isGivenUp = true;
      this.#finishPlace(request, flight, verdict);
    });
  }

  #outcomes(request: VirtualRequest): readonly Outcome[] {
    if (!request.isMeasured) return [];
    const own = this.#result.outcomes.get(request.traffic.serviceName);
    return own === undefined ? [this.#result.all] : [own, this.#result.all];
  }

  #sweep(): void {
    const { nowMs } = this.#time;
    this.#updateRoutes();
    this.#entries.forEach(({ admission, underWay }) => {
      const { rejected, dispatched } = admission.sweep(nowMs);
      rejected.forEach(({ waiting }) => this.#refuse(waiting));
      dispatched.forEach(({ waiting, server }) => this.#send(waiting, server));
      underWay.forEach((request) => {
        if (request.flights.length === 0) return;
        if (nowMs >= request.deadlineAtMs) this.#fail(request);
        else if (this.#policy.isHedging) this.#considerSecond(request);
      });
    });
    this.#time.after(SWEEP_INTERVAL_MS, () => this.#sweep());
  }

  #considerSecond(request: VirtualRequest): void {
    const [first, second] = request.flights;
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
    this.#send(request, server, reason);
  }

  #updateRoutes(): void {
    const { isZoneOut, traffic } = this.#scenario;
    const isOut = (_: unknown, zone: number): boolean =>
      isZoneOut?.(zone, this.#time.nowMs) === true;
    const zonesOut = Array.from({ length: ZONE_COUNT }, isOut);
    const key = zonesOut.join();
    if (key === this.#routesKey) return;
    this.#routesKey = key;
    const servers = this.#servers.filter((_, index) => zonesOut[index % ZONE_COUNT] !== true);
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
