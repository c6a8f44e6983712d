import { connect, type Socket } from 'node:net';

import Fastify, { type FastifyInstance } from 'fastify';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { silentMetrics } from '../../metrics/common/metrics.js';
import { ClientLimiter } from '../node/clientLimiter.js';
import { listeningPort } from '../node/listening.js';

const TIMEOUTS = { receiveMs: 30_000, idleMs: 30_000, silenceMs: 30_000 };
const LIMITS = {
  maximumConnections: 2,
  maximumRequests: 20,
  maximumRequestsPerConnection: 5,
  maximumHeldBytes: 100_000,
  maximumHeldBytesPerConnection: 50_000,
};
const HEAD = 'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n';
const GET = 'GET / HTTP/1.1\r\nHost: x\r\n\r\n';

describe('a listener with limits', () => {
  let limiter: ClientLimiter;
  let server: FastifyInstance;
  let port: number;
  let release: () => void;
  const sockets: Socket[] = [];

  beforeEach(async () => {
    limiter = new ClientLimiter('test', LIMITS, silentMetrics);
    server = Fastify({ serverFactory: limiter.serverFactory(TIMEOUTS) });
    server.removeAllContentTypeParsers();
    server.addContentTypeParser('*', (request, _payload, done) =>
      limiter.readBody(request, 1_000, done),
    );
    const released = new Promise<void>((resolve) => {
      release = resolve;
    });
    server.all('/', (request) =>
      limiter.whileWorking(request, async () => {
        await released;
        return 'done';
      }),
    );
    await server.listen({ host: '127.0.0.1', port: 0 });
    port = listeningPort(server);
  });

  afterEach(async () => {
    sockets.splice(0).forEach((socket) => socket.destroy());
    release();
    await server.close();
  });

  const open = (text: string): { readonly socket: Socket; readonly received: () => string } => {
    const socket = connect(port, '127.0.0.1');
    let received = '';
    sockets.push(socket);
    socket.on('error', () => {});
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
    });
    socket.write(text);
    return { socket, received: () => received };
  };

  const requestCount = (): number => limiter.usage.requestCount;

  // Requests behind one that was refused with its connection were counted for ever.
  it('counts nothing for a connection that has made room for another one', async () => {
    const { received, socket } = open(`${HEAD}half`);
    await expect.poll(() => limiter.usage.heldBytes).toBeGreaterThan(0);
    open('');
    await expect.poll(() => limiter.usage.connectionCount).toBe(2);
    open('');
    await expect.poll(received).toContain('HTTP/1.1 503');
    socket.write(`second${GET.repeat(3)}`);
    await expect.poll(requestCount).toBe(0);
    expect(limiter.usage.heldBytes).toBe(0);
  });

  // Too many requests ahead must close the connection, and leave nothing behind once the work for
  // the first ones has ended.
  it('closes a connection with too many requests ahead', async () => {
    const { socket } = open(GET.repeat(8));
    await expect.poll(() => socket.destroyed).toBe(true);
    expect(requestCount()).toBeGreaterThan(0);
    release();
    await expect.poll(requestCount).toBe(0);
    expect(limiter.usage.connectionCount).toBe(0);
  });

  // A caller that leaves before its answer must count until the work for it has ended.
  it('counts the request of a caller that has left until its work has ended', async () => {
    const { socket } = open(GET);
    await expect.poll(requestCount).toBe(1);
    socket.destroy();
    await expect.poll(() => limiter.usage.connectionCount).toBe(0);
    expect(requestCount()).toBe(1);
    release();
    await expect.poll(requestCount).toBe(0);
  });
});
