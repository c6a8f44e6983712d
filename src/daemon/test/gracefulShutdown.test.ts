import { createConnection } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import { Agent, request } from 'undici';
import { afterEach, describe, expect, it } from 'vitest';

import { RawBackend, wholeAnswer } from '../../entry/test/rawBackend.js';
import { DaemonHarness } from './daemonHarness.js';

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

const SLOW_MS = 1_500;

const start = async (entry: object = {}): Promise<DaemonHarness> => {
  const backend = new RawBackend((socket, _index, head) => {
    const delayMs = head.includes('/slow') ? SLOW_MS : 0;
    if (!head.includes('/never')) setTimeout(() => socket.write(wholeAnswer('whole')), delayMs);
  });
  const daemon = new DaemonHarness();
  cleanups.push(
    () => backend.close(),
    () => daemon.dispose(),
  );
  await daemon.start([{ zone: 'zone-a', port: await backend.listen() }], entry);
  return daemon;
};

interface Answer {
  readonly statusCode: number;
  readonly text: string;
  readonly connection: string;
  readonly outcome: string;
}

const call = async (daemon: DaemonHarness, path: string, agent?: Agent): Promise<Answer> => {
  const { statusCode, headers, body } = await request(`${daemon.callerOrigin}/services/s${path}`, {
    ...(agent === undefined ? {} : { dispatcher: agent }),
  });
  const text = await body.text();
  const connection = String(headers.connection);
  return { statusCode, text, connection, outcome: String(headers['snipethread-work']) };
};

/**
 * Retries after each "not run" refusal, as a caller may. Such refusals occur because the slow
 * requests of a test can fill the only server that remains.
 */
const callUntilServed = async (daemon: DaemonHarness, path: string): Promise<Answer> => {
  const answer = await call(daemon, path);
  const isRefused = answer.statusCode === 503 && answer.outcome === 'not-run';
  return isRefused ? callUntilServed(daemon, path) : answer;
};

describe('a daemon that receives SIGTERM', () => {
  // The platform replaces the instance and sends SIGTERM (twice, as impatient tools do) while
  // requests are in flight. More requests follow on keep-alive connections, and the load balancer
  // sends requests over new connections until it notices that the instance is not ready. No request
  // may be cut off.
  it('answers all requests, reports that it is not ready and exits with code 0', async () => {
    // Long enough for all late requests on a busy machine. The listener stays open for this time.
    const daemon = await start({ drainDelayMs: 5_000 });
    const agent = new Agent({ connections: 2 });
    cleanups.push(() => agent.destroy());
    await call(daemon, '/warm', agent);
    expect(await daemon.isReady()).toBe(true);
    const slow = ['/slow/1', '/slow/2'].map((path) => call(daemon, path));
    await delay(200);
    daemon.kill('SIGTERM');
    await expect.poll(() => daemon.isReady(), { timeout: 4_000 }).toBe(false);
    daemon.kill('SIGTERM');
    const late: Answer[] = [];
    for (let index = 0; index < 10; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one after the other
      late.push(await call(daemon, `/late/${index}`, index % 2 === 0 ? agent : new Agent()));
    }
    expect(late.map(({ statusCode, text }) => [statusCode, text])).toEqual(
      Array(10).fill([200, 'whole']),
    );
    expect(late.every(({ connection }) => connection === 'close')).toBe(true);
    expect((await Promise.all(slow)).map(({ text }) => text)).toEqual(['whole', 'whole']);
    expect(await daemon.exitCode).toBe(0);
  });

  // A backend server never answers, and a caller never completes its request. The duration of the
  // shutdown is limited: a request that was sent gets a final answer with an unknown outcome, and
  // the process exits.
  it('gives the remaining requests a final answer when the drain timeout expires', async () => {
    const daemon = await start({ drainDelayMs: 100, drainTimeoutMs: 1_000 });
    const port = Number(new URL(daemon.callerOrigin).port);
    const sender = createConnection(port, '127.0.0.1');
    sender.on('error', () => {});
    cleanups.push(() => sender.destroy());
    sender.write('POST /services/s/a HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf');
    const unanswered = call(daemon, '/never');
    await delay(200);
    daemon.kill('SIGTERM');
    expect((await unanswered).outcome).toBe('unknown');
    expect(await daemon.exitCode).toBe(0);
  });
});

describe('a withdrawn availability zone', () => {
  // Operators withdraw a zone while the platform's instance list still shows its workers as live.
  // From three seconds after the plan is accepted, no request may be sent to the zone. Requests that
  // are in flight there are answered. When the zone is back in use, it gets requests again.
  it('gets no new requests after three seconds and finishes those in flight', async () => {
    const answer = (socket: { write: (text: string) => void }, _index: number, head: string) => {
      const delayMs = head.includes('/slow') ? 4_000 : 0;
      setTimeout(() => socket.write(wholeAnswer('whole')), delayMs);
    };
    const [stayingServer, withdrawnServer] = [new RawBackend(answer), new RawBackend(answer)];
    const daemon = new DaemonHarness();
    cleanups.push(
      () => stayingServer.close(),
      () => withdrawnServer.close(),
      () => daemon.dispose(),
    );
    await daemon.start([
      { zone: 'zone-a', port: await stayingServer.listen() },
      { zone: 'zone-b', port: await withdrawnServer.listen() },
    ]);
    const sendRequests = async (): Promise<void> => {
      for (let index = 0; index < 40; index += 1) {
        // eslint-disable-next-line no-await-in-loop -- one after the other
        expect((await callUntilServed(daemon, '/a')).statusCode).toBe(200);
      }
    };
    const sendUntil = async (isReached: () => boolean): Promise<void> => {
      // eslint-disable-next-line no-await-in-loop -- the timeout of the test limits the wait
      while (!isReached()) await sendRequests();
    };
    await sendUntil(() => withdrawnServer.requests.length > 0);
    const headers = { 'snipethread-idempotent': 'false', 'snipethread-timeout-ms': '9000' };
    const sendSlow = async (): Promise<readonly [number, string]> => {
      const url = `${daemon.callerOrigin}/services/s/slow`;
      const { statusCode, body } = await request(url, { headers });
      return [statusCode, await body.text()];
    };
    // The entry chooses the server of each request, so the test sends slow requests until one
    // reaches the server in zone-b.
    const slow: Promise<readonly [number, string]>[] = [];
    await expect
      .poll(() => {
        const hasArrived = withdrawnServer.requests.some((head) => head.includes('/slow'));
        if (!hasArrived) slow.push(sendSlow());
        return hasArrived;
      })
      .toBe(true);
    daemon.setZone('zone-b', 'withdrawn');
    await delay(3_000);
    const countAtBound = withdrawnServer.requests.length;
    await sendRequests();
    expect(withdrawnServer.requests.length).toBe(countAtBound);
    expect(await Promise.all(slow)).toEqual(Array(slow.length).fill([200, 'whole']));
    daemon.setZone('zone-b', 'in-use');
    await sendUntil(() => withdrawnServer.requests.length > countAtBound);
  });
});
