/** Stores entries of other writers among those of the workers, in series. */
import { createServer, type Server } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import fc from 'fast-check';

import type { RandomSource } from '../../../src/base/common/random.js';
import type { StoreServer } from '../../../platform/test/storeServer.js';
import { anyText, unusableBytes, WORKER_DOCUMENT } from '../../../platform/test/workerEntries.js';
import type { WriteLog } from './soakTypes.js';

const TABLE = 'servers';
const KEY_PREFIX = 'other-';
const UNUSED_SERVICE = 'unused-service';
/** No relay of the run replaces this host in an entry. */
const HOST = '127.0.3.1';
/** Entries come in series with short gaps and are removed after a pause. */
const SERIES = { least: 1, more: 60, gapMs: 40, pauseMs: 4_000 };
const SEED_COUNT = 2 ** 30;
const MAXIMUM_KEY_BYTES = 200;

export interface ForeignEntryServices {
  readonly random: RandomSource;
  readonly store: StoreServer;
  readonly log: WriteLog;
  readonly addFinding: (text: string) => void;
}

export class ForeignEntries {
  readonly #services: ForeignEntryServices;

  /** Listens at the address of the entries whose service nothing uses. */
  readonly #server: Server;

  #isRunning = true;

  readonly counts = { foreignEntries: 0 };

  constructor(services: ForeignEntryServices) {
    this.#services = services;
    this.#server = createServer((socket) => {
      services.addFinding('a worker of a service that nothing uses was called');
      socket.destroy();
    });
  }

  async writeUntilStopped(): Promise<void> {
    const { random, store, log } = this.#services;
    await new Promise<void>((resolve) => {
      this.#server.listen(0, HOST, resolve);
    });
    while (this.#isRunning) {
      const keys: string[] = [];
      const count = SERIES.least + random.nextIndex(SERIES.more);
      for (let index = 0; index < count && this.#isRunning; index += 1) {
        const [key, bytes] = this.#draw(index);
        store.putBytes(TABLE, key, bytes);
        keys.push(key);
        // eslint-disable-next-line no-await-in-loop -- one after the other
        await delay(random.nextIndex(SERIES.gapMs));
      }
      this.counts.foreignEntries += keys.length;
      log('foreign-entries', { keys });
      // eslint-disable-next-line no-await-in-loop
      await delay(random.nextIndex(SERIES.pauseMs));
      keys.forEach((key) => store.remove(TABLE, key));
    }
  }

  stop(): void {
    this.#isRunning = false;
  }

  close(): void {
    this.#server.close();
  }

  #draw(index: number): readonly [string, Buffer] {
    const seed = this.#services.random.nextIndex(SEED_COUNT);
    const [text = ''] = fc.sample(anyText, { seed, numRuns: 1 });
    const key = Buffer.from(`${KEY_PREFIX}${index}-${text}`).subarray(0, MAXIMUM_KEY_BYTES);
    const [bytes = Buffer.alloc(0)] = fc.sample(unusableBytes, { seed, numRuns: 1 });
    const isUnused = index % 2 === 0;
    return [key.toString(), isUnused ? this.#unusedEntry() : bytes];
  }

  /** A valid entry of a service that nothing uses, at an address that can be called. */
  #unusedEntry(): Buffer {
    const address = this.#server.address();
    const port = address !== null && typeof address === 'object' ? address.port : 0;
    const Address = `${HOST}:${port}`;
    return Buffer.from(JSON.stringify({ ...WORKER_DOCUMENT, Service: UNUSED_SERVICE, Address }));
  }
}
