import { createServer } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { backendServer, EntryHarness, entrySettings, workOutcome } from './entryHarness.js';
import { type RawAnswer, RawBackend, wholeAnswer } from './rawBackend.js';

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

const startBackend = async (answer: RawAnswer): Promise<[RawBackend, number]> => {
  const backend = new RawBackend(answer);
  cleanups.push(() => backend.close());
  return [backend, await backend.listen()];
};

const startEntry = async (ports: readonly number[]): Promise<EntryHarness> => {
  const entry = new EntryHarness(entrySettings({ retryBudgetRatio: 1 }));
  cleanups.push(() => entry.dispose());
  entry.route(
    's',
    ports.map((port) => backendServer(port)),
  );
  await entry.listen();
  return entry;
};

/** A port on which nothing listens. */
const closedPort = (): Promise<number> =>
  new Promise((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as { port: number };
      server.close(() => resolve(port));
    });
  });

const cut: RawAnswer = (socket) => {
  socket.destroy();
};
const refuse: RawAnswer = (socket) => {
  socket.write('HTTP/1.1 503 No\r\nsnipethread-not-run: true\r\ncontent-length: 0\r\n\r\n');
};

describe('the work outcome "not run"', () => {
  it('is reported when no connection opened', async () => {
    const entry = await startEntry([await closedPort()]);
    const answer = await entry.call('/a', {}, 'POST', 'order');
    expect([answer.statusCode, workOutcome(answer)]).toEqual([503, 'not-run']);
  });

  // The address of one instance ended the process, or left its request without a true answer.
  it.each(['http://a b:80', 'http://10.0.0.1:80/x', 'http://:80', 'http://[::1:80', ''])(
    'is reported when the only backend server is at %j',
    async (origin) => {
      const entry = await startEntry([]);
      entry.route('s', [{ ...backendServer(1), origin }]);
      const answers = await Promise.all(
        ['/a', '/b', '/c'].map((path) => entry.call(path, {}, 'POST', 'order')),
      );
      expect(answers.map((answer) => [answer.statusCode, workOutcome(answer)])).toEqual(
        answers.map(() => [503, 'not-run']),
      );
    },
  );

  it('is reported when the backend server says so by its header', async () => {
    const [backend, port] = await startBackend(refuse);
    const entry = await startEntry([port]);
    const answer = await entry.call('/a', {}, 'POST', 'order');
    expect([answer.statusCode, workOutcome(answer)]).toEqual([503, 'not-run']);
    expect(backend.requests.length).toBeGreaterThan(1);
  });

  // A server that answers 503 without the header may have run the work. The caller must get that
  // answer unchanged, without a work outcome from the entry.
  it('is not reported for a 503 without the header', async () => {
    const [backend, port] = await startBackend((socket) =>
      socket.write('HTTP/1.1 503 No\r\ncontent-length: 4\r\n\r\nbusy'),
    );
    const entry = await startEntry([port]);
    const answer = await entry.call('/a', {}, 'POST', 'order');
    expect([answer.statusCode, answer.text]).toEqual([503, 'busy']);
    expect(workOutcome(answer)).toBe('answered');
    expect(backend.requests).toHaveLength(1);
  });

  // Idempotent work is sent and the connection is cut off, so the work may have run. A server then
  // refuses the second attempt without running it. "Not run" would be wrong for the caller, because
  // the refusal of the second attempt says nothing about the first.
  it('is not reported when the first attempt was cut off and the second one refused', async () => {
    const answers = [cut, refuse, refuse];
    const [, port] = await startBackend((socket, index, head) => {
      answers[index]?.(socket, index, head);
    });
    const entry = await startEntry([port]);
    const answer = await entry.call('/a');
    expect(workOutcome(answer)).toBe('unknown');
    expect(entry.brokenInvariants).toEqual([]);
  });

  // As in the test before, but the service has no server any more when the second attempt is due.
  it('is not reported when the first attempt was cut off and no server was left', async () => {
    const routes: { entry: EntryHarness | undefined } = { entry: undefined };
    const [, port] = await startBackend((socket) => {
      routes.entry?.route('s', []);
      socket.destroy();
    });
    const entry = await startEntry([port]);
    routes.entry = entry;
    const answer = await entry.call('/a');
    expect(workOutcome(answer)).toBe('unknown');
    expect(entry.brokenInvariants).toEqual([]);
  });

  it('is reported for a request that waited until its deadline', async () => {
    const [backend, port] = await startBackend(() => {});
    const entry = await startEntry([port]);
    const longTimeoutHeaders = { 'snipethread-timeout-ms': '1500' };
    const first = Array.from({ length: 8 }, () =>
      entry.call('/a', longTimeoutHeaders, 'POST', 'order'),
    );
    const late = await entry.call('/b', { 'snipethread-timeout-ms': '50' }, 'POST', 'order');
    expect([late.statusCode, workOutcome(late)]).toEqual([504, 'not-run']);
    expect(backend.requests.some((head) => head.startsWith('POST /b'))).toBe(false);
    const outcomes = (await Promise.all(first)).map(workOutcome);
    expect(outcomes.filter((outcome) => outcome === 'unknown').length).toBe(
      backend.requests.length,
    );
  });
});

describe('a request marked as non-idempotent', () => {
  it.each([
    ['cut off', cut],
    ['never answered', () => {}],
  ] as const)('is sent once when it is %s', async (_name, answer) => {
    const [backend, port] = await startBackend(answer);
    const entry = await startEntry([port]);
    const headers = { 'snipethread-idempotent': 'false', 'snipethread-timeout-ms': '1500' };
    const result = await entry.call('/a', headers, 'GET');
    expect(workOutcome(result)).toBe('unknown');
    expect(backend.requests).toHaveLength(1);
  });

  it('is sent to another server as long as nothing has run', async () => {
    const [backend, port] = await startBackend((socket) => socket.write(wholeAnswer('done')));
    const entry = await startEntry([await closedPort(), port]);
    const answers = await Promise.all(
      Array.from({ length: 6 }, () => entry.call('/a', {}, 'POST', 'order')),
    );
    expect(answers.map(({ text }) => text)).toEqual(Array(6).fill('done'));
    expect(backend.requests).toHaveLength(6);
  });
});
