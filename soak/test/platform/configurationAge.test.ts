import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { StoreServer } from '../../../platform/test/storeServer.js';
import { Silence } from '../../../standIns/relay/silentRelay.js';
import { DaemonInstance } from './daemonInstance.js';
import { CONFIGURATION_BOUND_MS } from './fleetWorkerOptions.js';

const HOST = 'queues.example';
const ASK_INTERVAL_MS = 20;
/** Within this time after a change the instance has sent its next feed call. */
const FEED_CALL_MS = 100;
const FAULT_MS = 4_000;
const OK = 200;
const NOT_FOUND = 404;

const configurationOf = (version: number, names: readonly string[]): unknown => ({
  Version: version,
  Services: [{ Name: 'service' }],
  Routes: names.map((name) => ({
    Name: name,
    Host: HOST,
    Prefix: `/${name}/`,
    Service: 'service',
  })),
});

describe('the configuration that counts are answered by', () => {
  let folder: string;
  let store: StoreServer;
  let instance: DaemonInstance;

  beforeEach(async () => {
    folder = await mkdtemp(join(tmpdir(), 'snipethread-age-'));
    store = new StoreServer();
    const storePort = Number((await store.listen()).split(':')[1]);
    instance = new DaemonInstance({
      id: 'instance',
      zone: 'zone-a',
      folder,
      storePort,
      relayHost: '127.0.2.1',
      onUnexpectedExit: (text) => expect.unreachable(text),
      program: ['--import', 'tsx', 'platform/program.ts'],
    });
    store.put('op', 'config', configurationOf(1, ['removed']));
    await instance.prepare();
    await instance.start();
  });

  afterEach(async () => {
    await instance.close();
    await store.close();
    await rm(folder, { recursive: true });
  });

  const askCount = async (name: string): Promise<number | undefined> => {
    const answer = await instance.pool
      ?.request({ method: 'GET', path: `/${name}/`, headers: { host: HOST } })
      .catch(() => undefined);
    await answer?.body.dump();
    return answer?.statusCode;
  };

  /** Asks until both queues are answered by the new configuration; returns late old answers. */
  const lateOldAnswers = async (acknowledgedAtMs: number): Promise<readonly string[]> => {
    const found: string[] = [];
    const asked: Promise<void>[] = [];
    const seen = { added: false, removed: false };
    const ask = async (name: 'added' | 'removed', oldStatus: number, newStatus: number) => {
      const sentAfterMs = Math.round(performance.now() - acknowledgedAtMs);
      const status = await askCount(name);
      if (status === newStatus) seen[name] = true;
      if (status !== oldStatus || sentAfterMs <= CONFIGURATION_BOUND_MS) return;
      found.push(`${name} is answered ${status}, sent ${sentAfterMs} ms after the change`);
    };
    while (!seen.added || !seen.removed) {
      asked.push(ask('added', NOT_FOUND, OK), ask('removed', OK, NOT_FOUND));
      // eslint-disable-next-line no-await-in-loop -- asks until the change is in force
      await delay(ASK_INTERVAL_MS);
    }
    await Promise.all(asked);
    return found;
  };

  const silenceConnections = (): void => {
    instance.storeRelay.silenceAll(Silence.Both);
  };

  const loseHistoryToo = (): void => {
    silenceConnections();
    store.forgottenUpTo = store.version + 1;
  };

  const silenceStore = (): void => {
    const heal = instance.storeRelay.cut(false);
    void delay(FAULT_MS).then(heal);
  };

  const freeze = (): void => {
    instance.freeze();
    void delay(FAULT_MS).then(() => instance.resume());
  };

  it.each([
    ['while the connections to the store are silent', silenceConnections],
    ['while the history is lost and the connections to the store are silent', loseHistoryToo],
    ['while the store does not answer', silenceStore],
    ['after the process was frozen', freeze],
  ])('is not older than its bound %s', async (_when, disturb) => {
    await expect.poll(() => askCount('removed')).toBe(OK);
    store.put('op', 'config', configurationOf(2, ['removed']));
    await delay(FEED_CALL_MS);
    disturb();
    store.put('op', 'config', configurationOf(3, ['added']));
    expect(await lateOldAnswers(performance.now())).toEqual([]);
  });
});
