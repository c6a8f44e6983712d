import { type ChildProcess } from 'node:child_process';
import { setTimeout as delay } from 'node:timers/promises';

import Fastify, { type FastifyInstance } from 'fastify';
import { Client } from 'undici';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { DaemonHarness } from '../../../src/daemon/test/daemonHarness.js';
import { listeningPort } from '../../../src/services/http/node/listening.js';
import { Crowd, requestsAhead, unfinishedRequest } from './crowd.js';
import {
  BYTES_PER_MB,
  openDescriptorCount,
  peakResidentBytes,
  type ProcessLimits,
  spawnLimited,
} from './processUsage.js';

/** The memory that control may take on an instance. */
const DAEMON_BYTES = 128 * BYTES_PER_MB;
const LIMITS: ProcessLimits = { heapMb: 64, descriptors: 400 };
/** Descriptors that the process must have left for its own calls. */
const OWN_DESCRIPTORS = 50;
const OK = 200;
const RETRY_INTERVAL_MS = 500;

const SETTINGS = {
  maximumHeldBytes: 4 * BYTES_PER_MB,
  maximumCallerConnections: 150,
  receiveTimeoutMs: 10_000,
};
const CALLER_PATH = '/services/s/a';
const ORDINARY_BODY = 'text'.repeat(10_000);
const LARGE_CHUNKS = { chunkBytes: 30_000, chunkCount: 30 };
const SMALL_CHUNKS = { chunkBytes: 1, chunkCount: 100_000 };
const BACKEND_LIMIT_BYTES = 8 * BYTES_PER_MB;

describe('the daemon beside clients outside the limits', () => {
  let daemon: DaemonHarness;
  let backend: FastifyInstance;
  let backendDelayMs: number;
  let answerBytes: number;
  const crowds: Crowd[] = [];

  beforeEach(async () => {
    backendDelayMs = 0;
    answerBytes = 10;
    backend = Fastify({ bodyLimit: BACKEND_LIMIT_BYTES });
    backend.removeAllContentTypeParsers();
    backend.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) =>
      done(null, body),
    );
    backend.all('*', async (_request, reply) => {
      await delay(backendDelayMs);
      return reply.send(Buffer.alloc(answerBytes));
    });
    await backend.listen({ host: '127.0.0.1', port: 0 });
    daemon = new DaemonHarness();
    const servers = [{ zone: 'zone-a', port: listeningPort(backend) }];
    await daemon.start(servers, SETTINGS, (args, env): ChildProcess => {
      const child = spawnLimited(args, LIMITS, env);
      child.stderr?.pipe(process.stderr);
      return child;
    });
  });

  afterEach(async () => {
    crowds.splice(0).forEach((crowd) => crowd.dispose());
    await daemon.dispose();
    backend.server.closeAllConnections();
    await backend.close();
  });

  const crowdAt = (port: number): Crowd => {
    const crowd = new Crowd(port);
    crowds.push(crowd);
    return crowd;
  };

  const portOf = (origin: string): number => Number(new URL(origin).port);

  /** Sends a request with a body as an ordinary caller, over a new connection. */
  const ask = async (): Promise<number> => {
    const client = new Client(daemon.callerOrigin);
    const answer = await client.request({ method: 'POST', path: CALLER_PATH, body: ORDINARY_BODY });
    await answer.body.dump();
    await client.close();
    return answer.statusCode;
  };

  const expectWithinLimits = async (): Promise<void> => {
    expect(await openDescriptorCount(daemon.processId)).toBeLessThanOrEqual(
      (LIMITS.descriptors ?? 0) - OWN_DESCRIPTORS,
    );
    expect(await peakResidentBytes(daemon.processId)).toBeLessThan(DAEMON_BYTES);
    expect(daemon.hasEnded).toBe(false);
  };

  const relieveBackend = (): void => {
    expect(daemon.hasEnded).toBe(false);
    backendDelayMs = 0;
    answerBytes = 10;
  };

  /** The crowd is still connected when an ordinary caller asks. */
  const expectOrdinaryService = async (): Promise<void> => {
    relieveBackend();
    expect(await ask()).toBe(OK);
    await expectWithinLimits();
  };

  /**
   * The same beside a crowd whose requests reach the backend server: an ordinary caller that is
   * told to return is served when it does.
   */
  const expectOrdinaryServiceInTurn = async (): Promise<void> => {
    relieveBackend();
    await expect.poll(ask, { interval: RETRY_INTERVAL_MS }).toBe(OK);
    await expectWithinLimits();
  };

  // Space was reserved for bodies that never came, and no other caller could send one.
  it('serves bodies beside large chunked bodies that are left open', async () => {
    await crowdAt(portOf(daemon.callerOrigin)).join(140, () =>
      unfinishedRequest({ path: CALLER_PATH, ...LARGE_CHUNKS }),
    );
    await expectOrdinaryService();
  });

  // A chunk of one byte took some hundred bytes, so that a few bodies filled the memory.
  it('survives bodies in chunks of one byte that are left open', async () => {
    await crowdAt(portOf(daemon.callerOrigin)).join(40, () =>
      unfinishedRequest({ path: CALLER_PATH, ...SMALL_CHUNKS }),
    );
    await expectOrdinaryService();
  });

  // Space for bodies of requests sent ahead was never returned after their connection had closed.
  it('takes bodies again after connections with requests sent ahead have closed', async () => {
    backendDelayMs = 300;
    const body = 'x'.repeat(20_000);
    for (let round = 0; round < 5; round += 1) {
      const crowd = crowdAt(portOf(daemon.callerOrigin));
      // eslint-disable-next-line no-await-in-loop -- each round leaves before the next one
      await crowd.join(20, () =>
        requestsAhead(
          10,
          () =>
            `POST ${CALLER_PATH} HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
        ),
      );
      crowd.dispose();
    }
    await expectOrdinaryService();
  });

  // All requests that were sent ahead were begun at once, however few answers were read.
  it('survives requests that are sent ahead and whose answers are not read', async () => {
    backendDelayMs = 100;
    const key = (connection: number, order: number): string => `k${connection}-${order}`;
    await crowdAt(portOf(daemon.callerOrigin)).join(100, (connection) =>
      requestsAhead(
        1_500,
        (order) =>
          `POST ${CALLER_PATH} HTTP/1.1\r\nHost: x\r\nidempotency-key: ${key(connection, order)}\r\n` +
          `Content-Length: 200\r\n\r\n${'y'.repeat(200)}`,
      ),
    );
    await expectOrdinaryServiceInTurn();
  });

  // Answers that their callers do not read were held without a limit.
  it('survives large answers that are not read', async () => {
    answerBytes = 1_000_000;
    await crowdAt(portOf(daemon.callerOrigin)).join(140, () =>
      requestsAhead(4, () => `GET ${CALLER_PATH} HTTP/1.1\r\nHost: x\r\n\r\n`),
    );
    await delay(1_000);
    await expectOrdinaryServiceInTurn();
  });

  // Connections of clients took all descriptors or all places of callers.
  it.each(['callers', 'operators', 'peers'] as const)(
    'has descriptors for callers and its own calls beside very many connections of %s',
    async (listener) => {
      const ports = {
        callers: portOf(daemon.callerOrigin),
        operators: portOf(daemon.operatorOrigin),
        peers: daemon.peersPort,
      };
      const crowd = crowdAt(ports[listener]);
      await crowd.join(600, () => [Buffer.from('POST /services/')]);
      crowd.leave(3);
      await crowd.join(300, () => []);
      await expectOrdinaryService();
    },
  );

  // Bodies for operators were read before it was known whether they come from one.
  it('survives bodies without a token that are left open at the interface for operators', async () => {
    await crowdAt(portOf(daemon.operatorOrigin)).join(300, () =>
      unfinishedRequest({ path: '/v1/plans', ...LARGE_CHUNKS }),
    );
    await expectOrdinaryService();
  });

  const heartbeat = (id: string, instanceId: string): string =>
    `${JSON.stringify({
      jsonrpc: '2.0',
      id,
      method: 'heartbeat',
      params: { instanceId, configurationVersion: 0 },
    })}\n`;

  // Answers to heartbeats were written however many of them were not read.
  it('survives heartbeats that are sent ahead and whose answers are not read', async () => {
    await crowdAt(daemon.peersPort).join(8, () =>
      requestsAhead(800, (order) => heartbeat(`${order}`.padEnd(50_000, 'z'), 'instance')),
    );
    await expectOrdinaryService();
  });

  // Each heartbeat could name a new instance of any length, which was remembered.
  it('survives heartbeats that name a new instance each', async () => {
    await crowdAt(daemon.peersPort).join(100, (connection) =>
      requestsAhead(40, (order) =>
        heartbeat(`${order}`, `${connection}-${order}`.padEnd(50_000, 'z')),
      ),
    );
    await expectOrdinaryService();
  });
});
