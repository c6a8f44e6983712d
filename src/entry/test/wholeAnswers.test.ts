import { createServer, type Socket } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { backendServer, EntryHarness, workOutcome } from './entryHarness.js';
import { type RawAnswer, RawBackend, wholeAnswer } from './rawBackend.js';

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

const start = async (answer: RawAnswer): Promise<{ entry: EntryHarness; backend: RawBackend }> => {
  const backend = new RawBackend(answer);
  const entry = new EntryHarness();
  cleanups.push(() => backend.close());
  cleanups.push(() => entry.dispose());
  entry.route('s', [backendServer(await backend.listen())]);
  await entry.listen();
  return { entry, backend };
};

const endAfter =
  (text: string): RawAnswer =>
  (socket) => {
    socket.end(text);
  };

/** Repeats the call after each refusal with the outcome "not run", as a caller may. */
const callUntilServed = async (
  entry: EntryHarness,
  path: string,
): Promise<Awaited<ReturnType<EntryHarness['call']>>> => {
  const answer = await entry.call(path);
  const isRefused = answer.statusCode === 503 && workOutcome(answer) === 'not-run';
  return isRefused ? callUntilServed(entry, path) : answer;
};

/** Sends non-idempotent work, which is never repeated, so that the caller sees each cut-off. */
const callOnce = (entry: EntryHarness, path = '/a') => entry.call(path, {}, 'POST', 'order');

describe('an answer that is cut off', () => {
  // The server sends the beginning of an answer and its connection ends, as when its process dies.
  // The caller must get an error, never a success with a part of the answer. The answers mark their
  // end in different ways: by a length, by chunks, or only by the end of the connection.
  it.each([
    ['before its head is complete', 'HTTP/1.1 200 OK\r\ncontent-le'],
    ['in the body, with a length', 'HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf'],
    ['between chunks', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n'],
    ['within a chunk', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\nhalf'],
    ['with an end marked only by the connection', 'HTTP/1.1 200 OK\r\n\r\nhalf'],
    ['with no marked end in HTTP/1.0', 'HTTP/1.0 200 OK\r\nconnection: close\r\n\r\nhalf'],
  ])('is an error with the work outcome "unknown": %s', async (_name, text) => {
    const { entry, backend } = await start(endAfter(text));
    const answer = await callOnce(entry);
    expect(answer.statusCode).toBe(502);
    expect(workOutcome(answer)).toBe('unknown');
    expect(backend.requests).toHaveLength(1);
    expect(entry.brokenInvariants).toEqual([]);
  });

  it('is retried for idempotent work', async () => {
    const { entry } = await start((socket, index) => {
      if (index === 0) socket.end('HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf');
      else socket.write(wholeAnswer('whole'));
    });
    const answer = await entry.call('/a');
    expect([answer.statusCode, answer.text]).toEqual([200, 'whole']);
  });
});

describe('an answer with more bytes than its declared length', () => {
  // The server declares a length and sends more bytes. The caller gets the declared length; the
  // other bytes must not be read as the answer to the next request on the connection.
  it('is cut to its length, and the rest reaches no other request', async () => {
    const { entry } = await start((socket, index, head) => {
      const extra = index === 0 ? wholeAnswer('stray') : '';
      const [, path] = head.split(' ');
      socket.write(`${wholeAnswer(`own ${path}`)}${extra}`);
    });
    const texts: string[] = [];
    for (let index = 0; index < 5; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one after the other on one connection
      texts.push((await entry.call(`/a${index}`)).text);
    }
    expect(texts).toEqual(['own /a0', 'own /a1', 'own /a2', 'own /a3', 'own /a4']);
  });

  // As in the test before, but the extra answer comes a moment later, on the idle connection.
  it('is not taken for the next answer when the extra bytes come on the idle connection', async () => {
    const { entry } = await start((socket, index) => {
      socket.write(wholeAnswer(`own${index}`));
      if (index === 0) setTimeout(() => socket.write(wholeAnswer('stray')), 20);
    });
    expect((await entry.call('/a')).text).toBe('own0');
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
    expect((await entry.call('/a')).text).toBe('own1');
  });
});

describe('a late answer', () => {
  // The server answers after the caller's deadline. The next request must not receive that answer;
  // the connection of the first request is closed.
  it('reaches no other request', async () => {
    const held: (() => void)[] = [];
    const { entry, backend } = await start((socket, _index, head) => {
      const [, path = ''] = head.split(' ');
      const answer = (): void => void socket.write(wholeAnswer(path));
      if (path === '/a') held.push(answer);
      else answer();
    });
    const late = await entry.call('/a', { 'snipethread-timeout-ms': '800' });
    expect(late.statusCode).toBe(504);
    expect(workOutcome(late)).toBe('unknown');
    const next = entry.call('/b');
    held.forEach((answer) => answer());
    const texts = [await next, await entry.call('/c')].map(({ text }) => text);
    expect(texts).toEqual(['/b', '/c']);
    expect(held.length).toBeGreaterThan(0);
    expect(backend.maximumConnections).toBeLessThanOrEqual(2);
  });

  // Many requests at a time are answered in the reverse order of their arrival. Each caller must
  // get the answer to its own request.
  it('reaches its own caller when the order of answers is reversed', async () => {
    const waiting: (() => void)[] = [];
    const answerAll = (): void =>
      waiting
        .splice(0)
        .reverse()
        .forEach((answer) => answer());
    const { entry } = await start((socket, _index, head) => {
      const path = /^GET (\S+)/u.exec(head)?.[1] ?? '';
      waiting.push(() => socket.write(wholeAnswer(path)));
      setTimeout(answerAll, 20);
    });
    const paths = Array.from({ length: 40 }, (_, index) => `/p${index}`);
    const answers = await Promise.all(paths.map((path) => callUntilServed(entry, path)));
    expect(answers.map(({ text }) => text)).toEqual(paths);
  });
});

describe('an answer that comes before the request was read', () => {
  // The server answers the first bytes of a large body and reads no more. It then either closes the
  // connection or keeps it open. The caller must get the complete answer or an error, and the
  // unread rest of the body must not be taken for a request.
  it.each([true, false])(
    'is complete or an error (server closes the connection: %s)',
    async (isClosing) => {
      const sockets: Socket[] = [];
      const early = createServer((socket) => {
        sockets.push(socket);
        socket.on('error', () => {});
        socket.once('data', () => {
          socket.pause();
          socket.write(wholeAnswer('early'));
          if (isClosing) setTimeout(() => socket.resetAndDestroy(), 50);
        });
      });
      await new Promise<void>((resolve) => {
        early.listen(0, '127.0.0.1', resolve);
      });
      cleanups.push(() => {
        sockets.forEach((socket) => socket.destroy());
        early.close();
      });
      const entry = new EntryHarness();
      cleanups.push(() => entry.dispose());
      entry.route('s', [backendServer((early.address() as { port: number }).port)]);
      await entry.listen();
      const answer = await entry.call('/a', {}, 'POST', 'x'.repeat(1_000_000));
      const isWhole = answer.statusCode === 200 && answer.text === 'early';
      expect(isWhole || workOutcome(answer) === 'unknown').toBe(true);
      expect(sockets).toHaveLength(1);
    },
  );
});
