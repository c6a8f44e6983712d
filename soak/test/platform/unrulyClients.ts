/** Clients outside the limits: a small crowd at one instance after the other, in series. */
import { setTimeout as delay } from 'node:timers/promises';

import type { RandomSource } from '../../../src/base/common/random.js';
import {
  Crowd,
  type Pieces,
  requestsAhead,
  unfinishedRequest,
} from '../../../standIns/crowds/test/crowd.js';
import type { DaemonInstance } from './daemonInstance.js';
import type { WriteLog } from './soakTypes.js';

const PATH = '/nothing/5c0e7a21d94b36f8';
const CONNECTION_COUNT = 20;
const REQUEST_COUNT = 80;
const STAY_MS = 1_500;
const PAUSE_MS = 4_000;
const LEAVING_SHARE = 3;

const unfinished = (chunkBytes: number, chunkCount: number): Pieces =>
  unfinishedRequest({ path: PATH, chunkBytes, chunkCount });

/** What each member of a crowd sends; no submission among it is ever complete. */
const MESSAGES: readonly (() => Pieces)[] = [
  () => unfinished(10_000, 20),
  () => unfinished(1, 2_000),
  () => requestsAhead(REQUEST_COUNT, () => `GET ${PATH} HTTP/1.1\r\nHost: none\r\n\r\n`),
  () => [Buffer.from('POST ')],
];

export interface UnrulyClientServices {
  readonly random: RandomSource;
  readonly instances: () => readonly DaemonInstance[];
  readonly log: WriteLog;
}

export class UnrulyClients {
  readonly #services: UnrulyClientServices;

  #isRunning = true;

  readonly counts = { unrulyClients: 0 };

  constructor(services: UnrulyClientServices) {
    this.#services = services;
  }

  async sendUntilStopped(): Promise<void> {
    const { random, instances, log } = this.#services;
    while (this.#isRunning) {
      const all = instances();
      const instance = all[random.nextIndex(all.length)];
      const message = MESSAGES[random.nextIndex(MESSAGES.length)];
      const crowd = new Crowd(instance?.callersPort ?? 0);
      if (message !== undefined && instance?.callersPort !== undefined) {
        log('unruly-clients', { instance: instance.id, count: CONNECTION_COUNT });
        this.counts.unrulyClients += CONNECTION_COUNT;
        // eslint-disable-next-line no-await-in-loop -- one crowd after the other
        await crowd.join(CONNECTION_COUNT, message);
        crowd.leave(LEAVING_SHARE);
      }
      // eslint-disable-next-line no-await-in-loop
      await delay(random.nextIndex(STAY_MS));
      crowd.dispose();
      // eslint-disable-next-line no-await-in-loop
      await delay(random.nextIndex(PAUSE_MS));
    }
  }

  stop(): void {
    this.#isRunning = false;
  }
}
