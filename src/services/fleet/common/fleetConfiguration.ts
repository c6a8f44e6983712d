/** What operators have set for queues, services and zones, as the users' platform keeps it. */

export interface Queue {
  readonly name: string;
  /** Lower case, without a port. */
  readonly host: string;
  readonly pathPrefix: string;
  readonly serviceName: string;
  /** Zero comes first. */
  readonly priority: number;
  /** Failed runs of a task after which its submission has failed. */
  readonly maximumAttempts: number;
  /** The objective is this many times the longest chain of work, and `objectiveMs` more. */
  readonly objectiveStretch: number;
  readonly objectiveMs: number;
  readonly timeoutMs: number;
}

export interface FleetService {
  readonly name: string;
  /** Whether its workers refuse what does not fit; otherwise only the scheduler guards them. */
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

/** Everything the operator has written that is in force. */
export interface OperatorState {
  readonly configuration: FleetConfiguration | undefined;
  /** Availability zones in which nothing may be started. */
  readonly withdrawnZones: ReadonlySet<string>;
}

export const NO_OPERATOR_STATE: OperatorState = {
  configuration: undefined,
  withdrawnZones: new Set(),
};

/** The queue of a request: that of its host with the longest prefix of the path. */
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

/** Configurations have hundreds of queues, and each round of placing asks for every step. */
const knownQueues = new WeakMap<FleetConfiguration, ReadonlyMap<string, Queue>>();

export const findQueueByName = (
  configuration: FleetConfiguration,
  name: string,
): Queue | undefined => {
  const known = knownQueues.get(configuration);
  if (known !== undefined) return known.get(name);
  const queues = new Map<string, Queue>();
  configuration.queues.forEach((queue) => {
    if (!queues.has(queue.name)) queues.set(queue.name, queue);
  });
  knownQueues.set(configuration, queues);
  return queues.get(name);
};
