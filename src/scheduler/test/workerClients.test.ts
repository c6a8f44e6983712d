import { createServer } from 'node:http';

import { isLeft, isRight } from 'fp-ts/lib/Either.js';
import { afterEach, describe, expect, it } from 'vitest';

import { Silence, SilentRelay } from '../../../standIns/relay/silentRelay.js';

import { silentTracing } from '../../services/tracing/common/tracing.js';
import { WorkerClients } from '../node/workerClients.js';

const cleanups: (() => unknown)[] = [];
afterEach(() => cleanups.splice(0).forEach((cleanup) => cleanup()));

/** Starts a worker that reports no tasks. Returns its port. */
const startWorker = async (): Promise<number> => {
  const report = { workerId: 'w1', incarnation: 'i1', workerNowMs: 0, tasks: [] };
  const server = createServer((_request, response) => {
    response.end(JSON.stringify(report));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  cleanups.push(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as { port: number }).port;
};

describe('WorkerClients', () => {
  // A worker is replaced under its id at another address. If its client kept the old address, the
  // worker would never be reached again, and its tasks would be given up although they run.
  it('creates a new client for a worker whose address has changed', () => {
    const clients = new WorkerClients(100, silentTracing);
    const first = clients.client('w1', 'http://127.0.0.1:1');
    expect(clients.client('w1', 'http://127.0.0.1:1')).toBe(first);
    expect(clients.client('w1', 'http://127.0.0.1:2')).not.toBe(first);
    clients.client('w2', 'http://127.0.0.1:3');
    clients.retain(new Set(['w2']));
    expect(clients.size).toBe(1);
    clients.dispose();
    expect(clients.size).toBe(0);
  });
});

describe('a dead connection to a worker', () => {
  // A network device between the cell's owner and a worker drops their connection silently. The next
  // call on it fails within its timeout (platform.callTimeoutMs, 800 ms by default) and closes the
  // connection, and the call after that opens a new one. If the connection were kept, the worker's
  // leases would end although it works, and its tasks would be given up.
  it.each([Silence.ToServer, Silence.ToClient, Silence.Both])('fails one call: %s', async (way) => {
    const relay = new SilentRelay(await startWorker());
    // An answered call takes less than this timeout even on a busy machine.
    const clients = new WorkerClients(2_000, silentTracing);
    cleanups.push(
      () => clients.dispose(),
      () => relay.close(),
    );
    const client = clients.client('w1', `http://127.0.0.1:${await relay.listen()}`);
    expect(isRight(await client.report()())).toBe(true);
    relay.silenceAll(way);
    expect(relay.openSilentCount).toBe(1);
    const lost = await client.report()();
    expect(isLeft(lost) && lost.left.kind).toBe('worker-unavailable');
    expect(isRight(await client.report()())).toBe(true);
    expect(relay.connectionCount).toBe(2);
    await expect.poll(() => relay.openSilentCount).toBe(0);
  });
});
