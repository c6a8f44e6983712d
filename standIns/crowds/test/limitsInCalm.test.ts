import { once } from 'node:events';
import { connect } from 'node:net';

import { afterEach, beforeAll, describe, expect, it } from 'vitest';

import { DaemonHarness } from '../../../src/daemon/test/daemonHarness.js';
import { RawBackend, wholeAnswer } from '../../../src/entry/test/rawBackend.js';
import { finishedRequest } from './crowd.js';
import {
  buildProgram,
  pathOf,
  PlatformInstance,
  QUEUE_HOST,
  submissionText,
} from './platformInstance.js';
import { BYTES_PER_MB } from './processUsage.js';

const MAXIMUM_BODY_BYTES = 262_144;
const MAXIMUM_HEADER_BYTES = 16_384;
const MAXIMUM_SPEC_BYTES = 4_000;
const TEXT = submissionText(MAXIMUM_SPEC_BYTES);

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

/** Sends bytes and returns the first line of the answer. */
const statusLine = async (port: number, bytes: Buffer): Promise<string> => {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  socket.write(bytes);
  const [chunk] = (await once(socket, 'data')) as [Buffer];
  socket.destroy();
  return chunk.toString().split('\r\n')[0] ?? '';
};

/** A request whose head, from its first byte to the empty line, has the given size. */
const withHeadOf = (size: number, path: string, body: string): Buffer => {
  const lines = `POST ${path} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\nContent-Length: ${body.length}\r\nX: `;
  return Buffer.from(`${lines.padEnd(size - 4, 'x')}\r\n\r\n${body}`);
};

describe('a single request at the limits to the platform daemon', () => {
  const start = async (): Promise<PlatformInstance> => {
    const instance = new PlatformInstance();
    cleanups.push(() => instance.dispose());
    await instance.start({});
    return instance;
  };

  beforeAll(buildProgram);

  // Limits against clients that do not behave must not refuse one that does.
  it.each([
    [
      'a body of the largest size',
      finishedRequest(pathOf(1), TEXT.padEnd(MAXIMUM_BODY_BYTES), 30_000),
    ],
    ['a body in chunks of one byte', finishedRequest(pathOf(1), TEXT, 1)],
    ['a head of nearly the largest size', withHeadOf(MAXIMUM_HEADER_BYTES - 100, pathOf(1), TEXT)],
  ])('is served: %s', async (_name, bytes) => {
    const { callersPort } = await start();
    expect(await statusLine(callersPort, bytes)).toBe('HTTP/1.1 200 OK');
  });

  // A connection on which a few requests are sent ahead belongs to a client that behaves.
  it('is served on a connection on which requests are sent ahead', async () => {
    const { callersPort } = await start();
    const count = 10;
    const bytes = Array.from({ length: count }, (_, index) =>
      finishedRequest(pathOf(index + 1), TEXT, 1_000),
    );
    const socket = connect(callersPort, '127.0.0.1');
    cleanups.push(() => socket.destroy());
    let received = '';
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
    });
    socket.write(Buffer.concat(bytes));
    await expect.poll(() => received.split('HTTP/1.1 200 OK').length - 1).toBe(count);
  });
});

describe('a single request at the limits to the daemon', () => {
  // Limits against clients that do not behave must not refuse one that does.
  it('is served: a body of the largest size', async () => {
    const backend = new RawBackend((socket) => {
      socket.write(wholeAnswer('whole'));
    });
    const daemon = new DaemonHarness();
    cleanups.push(
      () => backend.close(),
      () => daemon.dispose(),
    );
    await daemon.start([{ zone: 'zone-a', port: await backend.listen() }]);
    const port = Number(new URL(daemon.callerOrigin).port);
    const bytes = finishedRequest('/services/s/a', 'x'.repeat(BYTES_PER_MB), 30_000);
    expect(await statusLine(port, bytes)).toBe('HTTP/1.1 200 OK');
  });
});
