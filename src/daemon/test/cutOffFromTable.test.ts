import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';

import { RawBackend, wholeAnswer } from '../../entry/test/rawBackend.js';
import { DaemonHarness } from './daemonHarness.js';

const TEST_TIMEOUT_MS = 60_000;
const POLL_MS = 50;
const IS_CONFIRMED = 'snipethread_configuration_is_confirmed';

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

/** Polls until the condition holds. The timeout of the test limits the wait. */
const waitUntil = async (isReached: () => Promise<boolean>): Promise<void> => {
  if (await isReached()) return;
  await delay(POLL_MS);
  await waitUntil(isReached);
};

const start = async (): Promise<DaemonHarness> => {
  const backend = new RawBackend((socket) => socket.write(wholeAnswer('whole')));
  const daemon = new DaemonHarness();
  cleanups.push(
    () => backend.close(),
    () => daemon.dispose(),
  );
  await daemon.start([{ zone: 'zone-a', port: await backend.listen() }]);
  return daemon;
};

const statusOfRequest = async (daemon: DaemonHarness): Promise<number> => {
  const { statusCode, body } = await request(`${daemon.callerOrigin}/services/s/x`);
  await body.dump();
  return statusCode;
};

const readiness = async (daemon: DaemonHarness): Promise<unknown> => {
  const { statusCode, body } = await request(`${daemon.operatorOrigin}/readyz`);
  return { statusCode, ...((await body.json()) as object) };
};

/** Sends the daemon a peer heartbeat that announces a configuration version. */
const announceVersion = async (
  daemon: DaemonHarness,
  configurationVersion: number,
): Promise<void> => {
  const socket = connect(daemon.peersPort, '127.0.0.1');
  cleanups.push(() => socket.destroy());
  const params = { instanceId: 'peer', configurationVersion, isLeaving: false };
  socket.write(`${JSON.stringify({ jsonrpc: '2.0', id: 1, method: 'heartbeat', params })}\n`);
  await new Promise((resolve) => {
    socket.once('data', resolve);
  });
};

describe('a daemon that cannot reach the table', () => {
  // The platform is down for all daemons. Callers must still be served by the last known
  // configuration, so the daemon stays ready. Operators see the fault in the answer of /readyz, in
  // the gauge and in a single log line, regardless of how long the outage lasts.
  it(
    'reports the outage and continues to route requests',
    async () => {
      const daemon = await start();
      await waitUntil(async () => (await daemon.metric(IS_CONFIRMED)) === 1);
      await daemon.setPlatformDown(true);
      await waitUntil(async () => (await daemon.metric(IS_CONFIRMED)) === 0);
      expect(await readiness(daemon)).toMatchObject({
        statusCode: 200,
        configuration: { isConfirmed: false, isBehind: false },
      });
      expect(await statusOfRequest(daemon)).toBe(200);
      await daemon.setPlatformDown(false);
      await waitUntil(async () => daemon.events.includes('configuration-confirmed-again'));
      expect(await daemon.metric(IS_CONFIRMED)).toBe(1);
      const outageEvents = daemon.events.filter((event) => event.startsWith('configuration-c'));
      expect(outageEvents).toEqual([
        'configuration-cannot-be-learnt',
        'configuration-confirmed-again',
      ]);
    },
    TEST_TIMEOUT_MS,
  );

  // Only this daemon is cut off: a peer announces a version that it cannot read. It would route by
  // an old configuration, so it reports to the load balancer that it is not ready. It still answers
  // requests that arrive.
  it(
    'is not ready while a peer has a newer configuration',
    async () => {
      const daemon = await start();
      expect(await daemon.isReady()).toBe(true);
      await daemon.setPlatformDown(true);
      await announceVersion(daemon, 99);
      await waitUntil(async () => !(await daemon.isReady()));
      expect(await readiness(daemon)).toMatchObject({
        statusCode: 503,
        configuration: { isBehind: true },
      });
      expect(await statusOfRequest(daemon)).toBe(200);
      await daemon.setPlatformDown(false);
      await waitUntil(() => daemon.isReady());
    },
    TEST_TIMEOUT_MS,
  );
});
