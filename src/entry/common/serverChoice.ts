/** Chooses the backend server of a request. */
import type { RandomSource } from '../../base/common/random.js';
import type { BackendServer } from './routing.js';

/** What this entry itself has observed of a server. */
export interface ServerLoad {
  inFlightCount(workerId: string): number;
  /** How many requests this entry may have in flight on the server. */
  inFlightLimit(server: BackendServer): number;
}

export interface ServerChooser {
  /** Undefined when every candidate is full. */
  choose(servers: readonly BackendServer[], load: ServerLoad): BackendServer | undefined;
}

const hasRoom = (server: BackendServer, load: ServerLoad): boolean =>
  load.inFlightCount(server.workerId) < load.inFlightLimit(server);

/**
 * Of two servers drawn at random, the one with fewer requests in flight. Made for several
 * entries that each see a part of the traffic: always taking the least loaded would send all
 * entries to the same server at once; two draws avoid that and still avoid a slow server, whose
 * requests stay in flight longer. Two are enough: a third draw gains little and costs a look.
 */
export class LeastInFlightOfTwo implements ServerChooser {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  choose(servers: readonly BackendServer[], load: ServerLoad): BackendServer | undefined {
    const first = this.#draw(servers);
    const second = this.#draw(servers);
    if (first === undefined || second === undefined) return undefined;
    const isFirstBusier = load.inFlightCount(first.workerId) > load.inFlightCount(second.workerId);
    const [better, other] = isFirstBusier ? [second, first] : [first, second];
    if (hasRoom(better, load)) return better;
    if (hasRoom(other, load)) return other;
    return servers.find((server) => hasRoom(server, load));
  }

  #draw(servers: readonly BackendServer[]): BackendServer | undefined {
    return servers.length === 0 ? undefined : servers[this.#random.nextIndex(servers.length)];
  }
}
