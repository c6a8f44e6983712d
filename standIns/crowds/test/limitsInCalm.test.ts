import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

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
const PART_COUNT = 10;
const PART_INTERVAL_MS = 200;
const REQUEST_COUNT = 20;
/** The descriptors of a machine of the deployments. */
const DESCRIPTORS = 4_100;
const TEXT = submissionText(MAXIMUM_SPEC_BYTES);

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

/** Sends parts with a pause between two of them, and returns the first line of the answer. */
const statusLine = async (port: number, ...parts: readonly Buffer[]): Promise<string> => {
  const socket = connect(port, '127.0.0.1');
  socket.on('error', () => {});
  const answered = once(socket, 'data');
  for (let index = 0; index < parts.length; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- the parts are sent one after another
    if (index > 0) await delay(PART_INTERVAL_MS);
    socket.write(parts[index] ?? '');
  }
  const [chunk] = (await answered) as [Buffer];
  socket.destroy();
  return chunk.toString().split('\r\n')[0] ?? '';
};

const headOf = (body: string): string =>
  `POST ${pathOf(1)} HTTP/1.1\r\nHost: ${QUEUE_HOST}\r\nContent-Length: ${body.length}\r\n`;

const withBodyOf = (body: string): Buffer => Buffer.from(`${headOf(body)}\r\n${body}`);

/** A request whose head, from its first byte to the empty line, has the given size. */
const withHeadOf = (size: number, body: string): Buffer =>
  Buffer.from(`${`${headOf(body)}X: `.padEnd(size - 4, 'x')}\r\n\r\n${body}`);

const inChunks = (body: string, chunkBytes: number, index = 1): Buffer =>
  finishedRequest(pathOf(index), body, chunkBytes);

describe('a single request at the limits to the platform daemon', () => {
  const start = async (): Promise<PlatformInstance> => {
    const instance = new PlatformInstance();
    cleanups.push(() => instance.dispose());
    await instance.start({ descriptors: DESCRIPTORS });
    return instance;
  };

  beforeAll(buildProgram);

  // Limits against clients that do not behave must not refuse one that does.
  it.each([
    ['a body of the largest size', withBodyOf(TEXT.padEnd(MAXIMUM_BODY_BYTES))],
    ['such a body in one chunk', inChunks(TEXT.padEnd(MAXIMUM_BODY_BYTES), MAXIMUM_BODY_BYTES)],
    ['such a body in chunks of 64 bytes', inChunks(TEXT.padEnd(MAXIMUM_BODY_BYTES), 64)],
    ['20,000 bytes in chunks of one byte', inChunks(TEXT.padEnd(20_000), 1)],
    ['a head of nearly the largest size', withHeadOf(MAXIMUM_HEADER_BYTES - 100, TEXT)],
  ])('is served: %s', async (_name, bytes) => {
    const { callersPort } = await start();
    expect(await statusLine(callersPort, bytes)).toBe('HTTP/1.1 200 OK');
  });

  it('is served: a body in ten parts over two seconds', async () => {
    const { callersPort } = await start();
    const bytes = withBodyOf(TEXT.padEnd(PART_COUNT * 1_000));
    const size = Math.ceil(bytes.length / PART_COUNT);
    const parts = Array.from({ length: PART_COUNT }, (_, index) =>
      bytes.subarray(index * size, (index + 1) * size),
    );
    expect(await statusLine(callersPort, ...parts)).toBe('HTTP/1.1 200 OK');
  });

  // A connection on which some requests are sent ahead belongs to a client that behaves.
  it.each([
    ['ahead', true],
    ['in turn', false],
  ])('is served: twenty %s on one connection', async (_how, isAhead) => {
    const { callersPort } = await start();
    const socket = connect(callersPort, '127.0.0.1');
    cleanups.push(() => socket.destroy());
    let received = '';
    socket.on('data', (chunk: Buffer) => {
      received += chunk.toString();
    });
    const answeredCount = (): number => received.split('HTTP/1.1 200 OK').length - 1;
    for (let index = 1; index <= REQUEST_COUNT; index += 1) {
      socket.write(inChunks(TEXT, 1_000, index));
      // eslint-disable-next-line no-await-in-loop -- the next request follows the answer
      if (!isAhead) await expect.poll(answeredCount).toBe(index);
    }
    await expect.poll(answeredCount).toBe(REQUEST_COUNT);
  });

  it('is served on each of 400 connections at once', async () => {
    const { callersPort } = await start();
    const lines = await Promise.all(
      Array.from({ length: 400 }, (_, index) =>
        statusLine(callersPort, inChunks(TEXT, 1_000, index + 1)),
      ),
    );
    expect(new Set(lines)).toEqual(new Set(['HTTP/1.1 200 OK']));
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
