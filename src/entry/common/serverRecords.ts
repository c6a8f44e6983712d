/** What an entry itself knows of workers, services and the servers that join them. */
import { type Urgency } from '../../services/configuration/common/documents.js';
import { ConcurrencyLimit } from './concurrencyLimit.js';
import { LatencyEstimate } from './latencyEstimate.js';
import { type HedgeBudget, type RetryBudget } from './retryBudget.js';
import type { BackendServer } from './routing.js';
import { ServerHealth } from './serverHealth.js';
import { FairQueue, type WaitingRequest } from './fairQueue.js';
import { DequeueInterval } from './dequeueInterval.js';

/** A worker with the requests of all services that this entry has in flight on it. */
export class WorkerRecord<Waiting extends WaitingRequest> {
  readonly workerId: string;

  /** Services with a server here, the most urgent first. */
  services: ServiceRecord<Waiting>[] = [];

  inFlightCount = 0;

  /** This entry's share of the worker's connections. */
  inFlightLimit = 1;

  /** Until when the worker's own word that it is leaving counts. */
  leavingUntilMs = 0;

  constructor(workerId: string) {
    this.workerId = workerId;
  }

  /** False once it left the routes or said itself that it is leaving. */
  isInUse(nowMs: number): boolean {
    return this.services.length > 0 && nowMs >= this.leavingUntilMs;
  }
}

/** A service's backend server on one worker. */
export class ServerRecord<Waiting extends WaitingRequest = WaitingRequest> {
  readonly health = new ServerHealth();

  readonly latency = new LatencyEstimate();

  readonly worker: WorkerRecord<Waiting>;

  server: BackendServer;

  constructor(server: BackendServer, worker: WorkerRecord<Waiting>) {
    this.server = server;
    this.worker = worker;
  }

  /**
   * Whether the server may get one more request: it is not leaving, not set aside, this entry's
   * share of its connections is not used up and a returned one is tried by one at a time.
   */
  isEligible(nowMs: number): boolean {
    const { worker, health } = this;
    if (worker.inFlightCount >= worker.inFlightLimit) return false;
    if (!worker.isInUse(nowMs) || health.isSetAside(nowMs)) return false;
    return !health.isOnTrial || worker.inFlightCount === 0;
  }
}

/** A service with its servers, its limit and those who wait for it. */
export class ServiceRecord<Waiting extends WaitingRequest> {
  readonly name: string;

  readonly limit: ConcurrencyLimit;

  readonly queue: FairQueue<Waiting>;

  readonly dequeueInterval = new DequeueInterval();

  readonly budget: RetryBudget;

  readonly hedgeBudget: HedgeBudget;

  servers: readonly ServerRecord<Waiting>[] = [];

  urgency: Urgency;

  /** Requests of all services in flight on the workers of this one. */
  occupiedCount = 0;

  /** The place in the order of serving; the least recently served goes first. */
  lastDequeueOrder = 0;

  constructor(
    name: string,
    urgency: Urgency,
    limit: ConcurrencyLimit,
    queue: FairQueue<Waiting>,
    budget: RetryBudget,
    hedgeBudget: HedgeBudget,
  ) {
    this.name = name;
    this.urgency = urgency;
    this.limit = limit;
    this.queue = queue;
    this.budget = budget;
    this.hedgeBudget = hedgeBudget;
  }

  /** Slots of all its servers. */
  slotCount = 0;

  /** Services on the same workers that are no more urgent, this one included. */
  servicesNotMoreUrgent: readonly ServiceRecord<Waiting>[] = [];

  /** Services on the same workers that are no less urgent, this one included. */
  servicesNotLessUrgent: readonly ServiceRecord<Waiting>[] = [];

  /** What `refreshRoom` made of the limits. */
  effectiveLimit = 0;

  get hasCapacity(): boolean {
    return this.occupiedCount < this.effectiveLimit;
  }

  /**
   * A service may use what any service that is no more urgent may use on the same workers, in
   * proportion to its slots. All see the same workers but learn at their own pace; without this
   * the one that learns a lower limit gets no place, hence no answers, and never learns better,
   * and low work would shut urgent work out.
   */
  refreshEffectiveLimit(): void {
    const limitPerSlot = this.servicesNotMoreUrgent.reduce(
      (most, { limit, slotCount }) => Math.max(most, limit.value / Math.max(1, slotCount)),
      0,
    );
    this.effectiveLimit = Math.max(1, Math.floor(limitPerSlot * this.slotCount));
  }
}
