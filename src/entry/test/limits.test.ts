import { createConnection } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { backendServer, EntryHarness, entrySettings, workOutcome } from './entryHarness.js';
import { type RawAnswer, RawBackend, wholeAnswer } from './rawBackend.js';

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

const whole: RawAnswer = (socket) => socket.write(wholeAnswer('whole'));

const start = async (
  changes: object = {},
  answer: RawAnswer = whole,
): Promise<{ entry: EntryHarness; backend: RawBackend; port: number }> => {
  const backend = new RawBackend(answer);
  const entry = new EntryHarness(entrySettings(changes));
  cleanups.push(
    () => backend.close(),
    () => entry.dispose(),
  );
  const port = await backend.listen();
  entry.route('s', [backendServer(port)]);
  await entry.listen();
  return { entry, backend, port };
};

/** Sends raw bytes and collects the received bytes until the connection ends. */
const sendRaw = (entry: EntryHarness, text: string): Promise<string> =>
  new Promise((resolve) => {
    const socket = createConnection(Number(new URL(entry.origin).port), '127.0.0.1');
    let received = '';
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(received));
    socket.write(text);
  });

describe('a message that the entry does not accept', () => {
  it.each([
    ['an unknown service', '/services/none/a', 404],
    ['a path without a service', '/elsewhere', 404],
  ])('is refused: %s', async (_name, path, statusCode) => {
    const { entry, backend } = await start();
    const text = await sendRaw(
      entry,
      `GET ${path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n`,
    );
    expect(text).toContain(`HTTP/1.1 ${statusCode}`);
    expect(text).toContain('snipethread-work: not-run');
    expect(backend.requests).toHaveLength(0);
  });

  it.each([
    ['text that is not HTTP', 'hello\r\n\r\n'],
    [
      'two content lengths',
      'POST /services/s/a HTTP/1.1\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n',
    ],
    [
      'a content length together with chunks',
      'POST /services/s/a HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n',
    ],
    ['a head that is too large', `GET /services/s/a HTTP/1.1\r\nx: ${'y'.repeat(40_000)}\r\n\r\n`],
  ])('is refused as a bad request when its HTTP is malformed: %s', async (_name, text) => {
    const { entry, backend } = await start();
    const answer = await sendRaw(entry, text);
    expect(answer).toContain('HTTP/1.1 400');
    expect(answer).toContain('"error":"bad-request"');
    expect(answer).toContain('snipethread-work: not-run');
    expect(backend.requests).toHaveLength(0);
  });

  it.each([
    ['with a length', 'content-length: 2000'],
    ['in chunks', 'transfer-encoding: chunked'],
  ])('is refused when its body is too large: %s', async (_name, framing) => {
    const { entry, backend } = await start({ maximumBodyBytes: 1_000 });
    const body = framing.startsWith('content') ? 'x'.repeat(2_000) : `7d0\r\n${'x'.repeat(2_000)}`;
    const head = `POST /services/s/a HTTP/1.1\r\nhost: x\r\nconnection: close\r\n${framing}`;
    const answer = await sendRaw(entry, `${head}\r\n\r\n${body}\r\n0\r\n\r\n`);
    expect(answer).toContain('HTTP/1.1 413');
    expect(answer).toContain('"error":"body-too-large"');
    expect(backend.requests).toHaveLength(0);
  });

  // A caller begins a request and sends a byte now and then. It must not hold its connection and
  // the memory for its body without a time limit.
  it('is refused when it is sent too slowly', async () => {
    const { entry, backend } = await start({ receiveTimeoutMs: 300 });
    const head = 'POST /services/s/a HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\nhalf';
    const answer = await sendRaw(entry, head);
    expect(answer).toContain('"error":"bad-request"');
    expect(answer).toContain('too long to send');
    expect(backend.requests).toHaveLength(0);
  });

  // Many callers start to send large bodies at once and send them slowly. The entry holds a limited
  // number of bytes, and a caller that sends its body at once must not wait for the slow ones.
  it('is refused when it is not whole and the bodies held at a time would exceed the limit', async () => {
    const { entry, backend } = await start({ maximumBodyBytes: 1_000, maximumHeldBytes: 2_500 });
    const head = 'POST /services/s/a HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n';
    const [first, second] = [sendRaw(entry, `${head}${'x'.repeat(999)}`), entry.connect()];
    await expect.poll(() => entry.clientUsage().heldBytes).toBeGreaterThanOrEqual(999);
    second.write(`${head}${'x'.repeat(999)}`);
    await expect.poll(() => entry.clientUsage().heldBytes).toBeGreaterThanOrEqual(1_998);
    const ordinary = await entry.call('/a', {}, 'POST', 'x'.repeat(1_000));
    expect(ordinary.statusCode).toBe(200);
    expect(await first).toContain('HTTP/1.1 503');
    expect(await first).toContain('snipethread-work: not-run');
    expect(entry.clientUsage().heldBytes).toBeLessThanOrEqual(2_500);
    second.destroy();
    await expect.poll(() => entry.clientUsage().heldBytes).toBe(0);
    expect(backend.requests).toHaveLength(1);
  });

  // Requests that are being handled are not evicted for others: the newcomer is refused before its
  // body is read. The memory is free again when the answers are sent.
  it('is refused when bodies that are being worked on fill the limit', async () => {
    const answers: (() => void)[] = [];
    const { entry, backend } = await start(
      { maximumBodyBytes: 1_000, maximumHeldBytes: 2_500, hedgeBudgetRatio: 0 },
      (socket) => answers.push(() => socket.write(wholeAnswer('whole'))),
    );
    const slow = [1, 2].map(() => entry.call('/a', {}, 'POST', 'x'.repeat(1_000)));
    await expect.poll(() => backend.requests.length).toBe(2);
    const refused = await entry.call('/a', {}, 'POST', 'x'.repeat(1_000));
    expect([refused.statusCode, workOutcome(refused)]).toEqual([503, 'not-run']);
    answers.splice(0).forEach((answer) => answer());
    expect((await Promise.all(slow)).map(({ statusCode }) => statusCode)).toEqual([200, 200]);
    await expect.poll(() => entry.clientUsage().heldBytes).toBe(0);
    const served = entry.call('/a', {}, 'POST', 'x'.repeat(1_000));
    await expect.poll(() => answers.length).toBe(1);
    answers.forEach((answer) => answer());
    expect((await served).statusCode).toBe(200);
  });

  it('becomes an error for the caller when it is an answer that is too large', async () => {
    const { entry } = await start({ maximumBodyBytes: 1_000 }, (socket) =>
      socket.write(wholeAnswer('x'.repeat(5_000))),
    );
    const answer = await entry.call('/a', {}, 'POST', 'order');
    expect([answer.statusCode, workOutcome(answer)]).toEqual([502, 'unknown']);
    expect(entry.counter('answers_too_large')).toBe(1);
  });
});

describe('a backend server that says it is leaving', () => {
  // The platform's instance list lags behind. A header in the server's answer must remove the
  // server at once: it gets no further requests, and the requests that it has are answered.
  it('gets no new work after its first answer that says so', async () => {
    const leaving = 'snipethread-leaving: true\r\n';
    const quiet = { hedgeBudgetRatio: 0, silenceFloorMs: 4_000 };
    const { entry, backend, port } = await start(quiet, (socket, index) => {
      socket.write(wholeAnswer('whole', index >= 5 ? leaving : ''));
    });
    const other = new RawBackend(whole);
    cleanups.push(() => other.close());
    entry.route('s', [backendServer(port), backendServer(await other.listen())]);
    for (let index = 0; index < 100; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one after the other
      expect((await entry.call('/a')).statusCode).toBe(200);
    }
    expect(backend.requests).toHaveLength(6);
    expect(other.requests).toHaveLength(94);
  });
});

describe('the connections of a worker', () => {
  // Eight entries, the maximum number during a restart, hold different lists: some lose the server
  // and find it again while requests are in flight. Each entry sends a burst. The worker must never
  // get more connections than it accepts, and the entries must report no invariant violation.
  it('never exceed the number that the worker accepts, even if the lists of the entries differ', async () => {
    const backend = new RawBackend((socket) => {
      setTimeout(() => socket.write(wholeAnswer('whole')), 20);
    });
    cleanups.push(() => backend.close());
    const server = backendServer(await backend.listen());
    const entries = await Promise.all(
      Array.from({ length: 8 }, async () => {
        const entry = new EntryHarness(entrySettings({ silenceFloorMs: 30 }));
        cleanups.push(() => entry.dispose());
        entry.route('s', [server]);
        await entry.listen();
        return entry;
      }),
    );
    const timer = setInterval(() => {
      entries.slice(0, 4).forEach((entry) => entry.route('s', []));
      entries.slice(0, 4).forEach((entry) => entry.route('s', [server]));
    }, 15);
    cleanups.push(() => clearInterval(timer));
    const answers = await Promise.all(
      entries.flatMap((entry) => Array.from({ length: 100 }, () => entry.call('/a'))),
    );
    clearInterval(timer);
    expect(answers.filter(({ statusCode }) => statusCode === 200).length).toBeGreaterThan(0);
    expect(backend.maximumConnections).toBeLessThanOrEqual(64);
    expect(entries.flatMap(({ brokenInvariants }) => brokenInvariants)).toEqual([]);
  });
});
