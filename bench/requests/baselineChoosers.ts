/** The baseline server choosers that the product's chooser is compared with. */
import type { RandomSource } from '../../src/base/common/random.js';
import type { WaitingRequest } from '../../src/entry/common/fairQueue.js';
import { drawEligible, type ServerChooser } from '../../src/entry/common/serverChoice.js';
import type { ServerRecord } from '../../src/entry/common/serverRecords.js';

export class RandomChoice implements ServerChooser {
  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  choose<Waiting extends WaitingRequest>(
    servers: readonly ServerRecord<Waiting>[],
    nowMs: number,
    avoidedWorkerId?: string,
  ): ServerRecord<Waiting> | undefined {
    return drawEligible(servers, nowMs, this.#random, avoidedWorkerId);
  }
}

export class RoundRobin implements ServerChooser {
  #next: number;

  constructor(random: RandomSource) {
    this.#next = random.nextIndex(1_000);
  }

  choose<Waiting extends WaitingRequest>(
    servers: readonly ServerRecord<Waiting>[],
    nowMs: number,
  ): ServerRecord<Waiting> | undefined {
    for (let step = 0; step < servers.length; step += 1) {
      this.#next += 1;
      const server = servers[this.#next % servers.length];
      if (server?.isEligible(nowMs) === true) return server;
    }
    return undefined;
  }
}
