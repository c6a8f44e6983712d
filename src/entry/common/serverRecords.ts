/** An entry's own state of workers, services and backend servers. */
import { type Urgency } from '../../services/configuration/common/documents.js';
import { ConcurrencyLimit } from './concurrencyLimit.js';
import { LatencyEstimate } from './latencyEstimate.js';
import { type HedgeBudget, type RetryBudget } from './retryBudget.js';
import type { BackendServer } from './routing.js';
import { ServerHealth } from './serverHealth.js';
import { FairQueue, type WaitingRequest } from './fairQueue.js';
import { DequeueInterval } from './dequeueInterval.js';

/** A worker, with the requests of all services that this entry has in flight on it. */
export class WorkerRecord<Waiting extends WaitingRequest> {
  readonly workerId: string;

  /** The services with a server on this worker. */
  services: ServiceRecord<Waiting>[] = [];

  inFlightCount = 0;

  /** This entry's share of the worker's connections. */
  inFlightLimit = 1;

  /** The time until which the worker counts as leaving, because an answer of it said so. */
  leavingUntilMs = 0;

  constructor(workerId: string) {
    this.workerId = workerId;
  }

  /** False when the worker is not in the routes or has said that it is leaving. */
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
   * Whether the server may get one more request: it is not leaving and not set aside, this entry's
   * share of its connections is not used up, and a server on trial has no request in flight.
   */
  isEligible(nowMs: number): boolean {
    const { worker, health } = this;
    if (worker.inFlightCount >= worker.inFlightLimit) return false;
    if (!worker.isInUse(nowMs) || health.isSetAside(nowMs)) return false;
    return !health.isOnTrial || worker.inFlightCount === 0;
  }
}

/** A service with its servers, its limit and its waiting requests. */
export class ServiceRecord<Waiting extends WaitingRequest> {
  readonly name: string;

  readonly limit: ConcurrencyLimit;

  readonly queue: FairQueue<Waiting>;

  readonly dequeueInterval = new DequeueInterval();

  readonly budget: RetryBudget;

  readonly hedgeBudget: HedgeBudget;

  servers: readonly ServerRecord<Waiting>[] = [];

  urgency: Urgency;

  /** Requests of all services that are in flight on the workers of this service. */
  occupiedCount = 0;

  /** Increases with each dequeued request; the least recently served service goes first. */
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

  /** The number of slots of all its servers. */
  slotCount = 0;

  /** Services on the same workers that are no more urgent, this one included. */
  servicesNotMoreUrgent: readonly ServiceRecord<Waiting>[] = [];

  /** Services on the same workers that are no less urgent, this one included. */
  servicesNotLessUrgent: readonly ServiceRecord<Waiting>[] = [];

  /** The limit that applies to `occupiedCount`; `refreshEffectiveLimit` computes it. */
  effectiveLimit = 0;

  get hasCapacity(): boolean {
    return this.occupiedCount < this.effectiveLimit;
  }

  /**
   * A service may use the highest limit per slot of the services on the same workers that are no
   * more urgent, in proportion to its own slots. All of them see the same workers but adapt their
   * limits separately. Without this rule a service with a lower limit would get no permits, hence
   * no answers, and its limit would never rise again; work of low urgency would shut out urgent
   * work.
   */
  refreshEffectiveLimit(): void {
    const limitPerSlot = this.servicesNotMoreUrgent.reduce(
      (most, { limit, slotCount }) => Math.max(most, limit.value / Math.max(1, slotCount)),
      0,
    );
    this.effectiveLimit = Math.max(1, Math.floor(limitPerSlot * this.slotCount));
  }
}
