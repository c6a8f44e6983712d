/** The operators' configuration of queues, services and zones, stored by the users' platform. */
import type { QueueTerms } from '../../submissions/common/submission.js';

export interface Queue extends QueueTerms {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  readonly pathPrefix: string;
  readonly serviceName: string;
  readonly timeoutMs: number;
}

export const toQueueTerms = ({
  priority,
  maximumAttempts,
  objectiveStretch,
  objectiveMs,
}: QueueTerms): QueueTerms => ({ priority, maximumAttempts, objectiveStretch, objectiveMs });

export interface FleetService {
  readonly name: string;
  /**
   * Whether its workers refuse tasks that exceed their capacity. Otherwise only the scheduler
   * protects them.
   */
  readonly guardsCapacity: boolean;
}

export interface RequestLimits {
  readonly maximumHeaderBytes: number;
  readonly maximumBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface FleetConfiguration {
  readonly version: number;
  readonly queues: readonly Queue[];
  readonly services: readonly FleetService[];
  readonly limits: RequestLimits;
}

/** The operators' configuration and zone withdrawals that are in force. */
export interface OperatorState {
  readonly configuration: FleetConfiguration | undefined;
  /** Availability zones in which no task may be started. */
  readonly withdrawnZones: ReadonlySet<string>;
}

export const NO_OPERATOR_STATE: OperatorState = {
  configuration: undefined,
  withdrawnZones: new Set(),
};

/** The operator state as far as the store's answers have shown it. */
export interface KnownOperatorState {
  readonly state: OperatorState;
  /** The state was in force at this time or later; minus infinity before the first answer. */
  readonly confirmedAtMs: number;
}

/** Finds the queue of a request: the host's queue with the longest matching path prefix. */
export const findQueue = (
  configuration: FleetConfiguration,
  host: string,
  path: string,
): Queue | undefined => {
  let best: Queue | undefined;
  configuration.queues.forEach((queue) => {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) return;
    if (best === undefined || queue.pathPrefix.length > best.pathPrefix.length) best = queue;
  });
  return best;
};

/**
 * Queues by name, cached for each configuration. Configurations have hundreds of queues, and each
 * scheduling round looks up the queue of every step.
 */
const queuesByConfiguration = new WeakMap<FleetConfiguration, ReadonlyMap<string, Queue>>();

export const findQueueByName = (
  configuration: FleetConfiguration,
  name: string,
): Queue | undefined => {
  const cached = queuesByConfiguration.get(configuration);
  if (cached !== undefined) return cached.get(name);
  const queues = new Map<string, Queue>();
  configuration.queues.forEach((queue) => {
    if (!queues.has(queue.name)) queues.set(queue.name, queue);
  });
  queuesByConfiguration.set(configuration, queues);
  return queues.get(name);
};
