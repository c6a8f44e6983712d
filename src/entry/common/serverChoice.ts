/** Chooses the backend server of a request. */
import type { RandomSource } from '../../base/common/random.js';
import type { WaitingRequest } from './fairQueue.js';
import type { ServerRecord } from './serverRecords.js';

export interface ServerChooser {
  /** Undefined when no server is eligible. */
  choose<Waiting extends WaitingRequest>(
    servers: readonly ServerRecord<Waiting>[],
    nowMs: number,
    avoidedWorkerId?: string,
  ): ServerRecord<Waiting> | undefined;
}

/** Random draws before all servers are checked in turn; enough unless most of them are full. */
const MAXIMUM_DRAWS = 6;

/** A random eligible server; checks all servers only after several draws have failed. */
export const drawEligible = <Waiting extends WaitingRequest>(
  servers: readonly ServerRecord<Waiting>[],
  nowMs: number,
  random: RandomSource,
  avoidedWorkerId?: string,
): ServerRecord<Waiting> | undefined => {
  if (servers.length === 0) return undefined;
  const avoided = servers.length > 1 ? avoidedWorkerId : undefined;
  for (let draw = 0; draw < MAXIMUM_DRAWS; draw += 1) {
    const drawn = servers[random.nextIndex(servers.length)];
    if (drawn?.isEligible(nowMs) === true && drawn.worker.workerId !== avoided) return drawn;
  }
  const start = random.nextIndex(servers.length);
  for (let step = 0; step < servers.length; step += 1) {
    const server = servers[(start + step) % servers.length];
    if (server?.isEligible(nowMs) === true) return server;
  }
  return undefined;
};

/** The cheaper of two servers drawn at random; the first one when they cost the same. */
const cheaperOfTwo = <Waiting extends WaitingRequest>(
  servers: readonly ServerRecord<Waiting>[],
  nowMs: number,
  random: RandomSource,
  avoidedWorkerId: string | undefined,
  costOf: (server: ServerRecord<Waiting>) => number,
): ServerRecord<Waiting> | undefined => {
  const first = drawEligible(servers, nowMs, random, avoidedWorkerId);
  const second = drawEligible(servers, nowMs, random, avoidedWorkerId);
  if (first === undefined || second === undefined) return first ?? second;
  return costOf(second) < costOf(first) ? second : first;
};

/**
 * Power of two choices: draws two servers at random and takes the one with fewer requests in
 * flight. Several entries each see a part of the traffic, so if each took the least loaded server,
 * all of them would choose the same one at once. A slow server shows only by the requests that stay
 * in flight on it.
 */
export class LeastInFlightOfTwo implements ServerChooser {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  choose<Waiting extends WaitingRequest>(
    servers: readonly ServerRecord<Waiting>[],
    nowMs: number,
    avoidedWorkerId?: string,
  ): ServerRecord<Waiting> | undefined {
    const costOf = (server: ServerRecord<Waiting>): number => server.worker.inFlightCount;
    return cheaperOfTwo(servers, nowMs, this.#random, avoidedWorkerId, costOf);
  }
}

/** Latency times the squared in-flight count; docs/design/requests.md compares the exponents. */
const loadWeightedLatencyMs = <Waiting extends WaitingRequest>(
  server: ServerRecord<Waiting>,
  nowMs: number,
): number => server.latency.valueMs(nowMs) * (server.worker.inFlightCount + 1) ** 2;

/**
 * Power of two choices by cost: draws two servers at random and takes the cheaper one. It finds one
 * slow server among many when an entry sees a seventh of the traffic. Such an entry's own requests
 * in flight say little about a worker's load; the latency of the answers also reflects the other
 * entries and the tasks on the same worker. A worker that has just stopped answering shows only in
 * the requests that stay in flight, so their number is squared.
 */
export class LatencyWeightedOfTwo implements ServerChooser {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  choose<Waiting extends WaitingRequest>(
    servers: readonly ServerRecord<Waiting>[],
    nowMs: number,
    avoidedWorkerId?: string,
  ): ServerRecord<Waiting> | undefined {
    const costOf = (server: ServerRecord<Waiting>): number => loadWeightedLatencyMs(server, nowMs);
    return cheaperOfTwo(servers, nowMs, this.#random, avoidedWorkerId, costOf);
  }
}
