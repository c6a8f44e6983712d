import net from 'node:net';

import { isLeft, isRight } from 'fp-ts/lib/Either.js';
import { afterEach, describe, expect, it, vi } from 'vitest';

import { PlatformServer } from '../../../standIns/platform/platformServer.js';
import { Silence, SilentRelay } from '../../../standIns/relay/silentRelay.js';
import { HttpInstanceList } from '../../services/instanceList/node/httpInstanceList.js';
import { HttpObjectStore } from '../../services/objectStore/node/httpObjectStore.js';
import { HttpTableService } from '../../services/table/node/httpTableService.js';
import { backendServer, EntryHarness, entrySettings, workOutcome } from './entryHarness.js';
import { RawBackend, wholeAnswer } from './rawBackend.js';

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  vi.restoreAllMocks();
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

const DEADLINE_MS = 4_000;
const LONG_TIMEOUT_HEADERS = { 'snipethread-timeout-ms': String(DEADLINE_MS) };
/** Of calls to the platform; an answered one must not take so long, however busy the machine. */
const CALL_TIMEOUT_MS = 2_000;
const ALL_SILENCES = [Silence.ToServer, Silence.ToClient, Silence.Both] as const;

const startWithRelay = async (): Promise<{ entry: EntryHarness; relay: SilentRelay }> => {
  const backend = new RawBackend((socket, _index, head) => {
    const delayMs = head.includes('/slow') ? 2_000 : 0;
    setTimeout(() => socket.write(wholeAnswer('whole')), delayMs);
  });
  const relay = new SilentRelay(await backend.listen());
  const entry = new EntryHarness(entrySettings({ silenceFloorMs: 300 }));
  cleanups.push(
    () => backend.close(),
    () => relay.close(),
    () => entry.dispose(),
  );
  entry.route('s', [backendServer(await relay.listen())]);
  await entry.listen();
  return { entry, relay };
};

describe('a connection to a backend server that has gone silent', () => {
  // Something between the two ends forgets the connection: what is sent on it vanishes and
  // nothing closes it, while new connections work. The caller's idempotent request lies on the
  // old one. It must be answered over a new one long before its deadline, and the old one closed.
  it.each(ALL_SILENCES)(
    'is closed, and its idempotent work answered over a new one: %s',
    async (way) => {
      const { entry, relay } = await startWithRelay();
      expect((await entry.call('/a', LONG_TIMEOUT_HEADERS)).text).toBe('whole');
      relay.silenceAll(way);
      expect(relay.openSilentCount).toBe(1);
      const answer = await entry.call('/b', LONG_TIMEOUT_HEADERS);
      expect([answer.statusCode, answer.text]).toEqual([200, 'whole']);
      expect(relay.connectionCount).toBe(2);
      expect(entry.counter('connections_overtaken')).toBe(1);
      expect(entry.brokenInvariants).toEqual([]);
      await expect.poll(() => relay.openSilentCount).toBe(0);
    },
  );

  it('leaves work that is not idempotent unknown at its deadline, and closes', async () => {
    const { entry, relay } = await startWithRelay();
    await entry.call('/a');
    relay.silenceAll(Silence.Both);
    const headers = { 'snipethread-timeout-ms': '800' };
    const answer = await entry.call('/b', headers, 'POST', 'order');
    expect([answer.statusCode, workOutcome(answer)]).toEqual([504, 'unknown']);
    expect((await entry.call('/c', LONG_TIMEOUT_HEADERS)).text).toBe('whole');
    expect(entry.counter('request_retries')).toBe(0);
  });

  // A server that is merely slow must not lose its connection: cut off and begun anew, work that
  // takes longer than the bound would never end. The second attempt is as slow as the first, so
  // the first one is answered and wins.
  it('is told from a slow server, whose first attempt is answered', async () => {
    const { entry } = await startWithRelay();
    await entry.call('/a', LONG_TIMEOUT_HEADERS);
    // On a busy machine the first call alone may have taken long enough for a second attempt.
    const countBefore = entry.counter('second_attempts');
    const wonBefore = entry.counter('second_attempts_won');
    const answer = await entry.call('/slow', LONG_TIMEOUT_HEADERS);
    expect([answer.statusCode, answer.text]).toEqual([200, 'whole']);
    expect(entry.counter('second_attempts') - countBefore).toBe(1);
    expect(entry.counter('second_attempts_won') - wonBefore).toBe(0);
  });
});

describe('a connection to the table that has gone silent', () => {
  // The same between the daemon and the platform. The call that lies on it fails by its own
  // timeout, as a transaction whose outcome is unknown; the next one goes over a new connection.
  it.each(ALL_SILENCES)('costs one call: %s', async (way) => {
    const platform = new PlatformServer(1);
    const relay = new SilentRelay(await platform.listen());
    const origin = `http://127.0.0.1:${await relay.listen()}`;
    const table = new HttpTableService(origin, CALL_TIMEOUT_MS, 1);
    cleanups.push(
      () => table.dispose(),
      () => relay.close(),
      () => platform.close(),
    );
    const write = (key: string) =>
      table.transact({ operationId: key, conditions: [], writes: [{ key, value: 1 }] })();
    expect(isRight(await write('a'))).toBe(true);
    relay.silenceAll(way);
    const lost = await write('b');
    expect(isLeft(lost) && lost.left.kind).toBe('store-answer-lost');
    expect(isRight(await write('c'))).toBe(true);
    expect(relay.connectionCount).toBe(2);
  });
});

describe('a connection to the object store or to the instance list that has gone silent', () => {
  // As with the table: the call that lies on it fails by its own timeout, the connection is
  // closed, and the next call goes over a new one.
  interface PlatformCall {
    readonly connectionCount: number;
    readonly isAnswered: () => Promise<boolean>;
    readonly dispose: () => void;
  }
  const CLIENTS: Readonly<Record<string, (origin: string) => PlatformCall>> = {
    'object store': (origin) => {
      const store = new HttpObjectStore(origin, CALL_TIMEOUT_MS);
      return {
        connectionCount: 2,
        isAnswered: async () => isRight(await store.hasObject('checkpoint')()),
        dispose: () => store.dispose(),
      };
    },
    'instance list': (origin) => {
      const list = new HttpInstanceList(origin, CALL_TIMEOUT_MS);
      return {
        connectionCount: 1,
        isAnswered: async () => isRight(await list.read()()),
        dispose: () => list.dispose(),
      };
    },
  };

  it.each(ALL_SILENCES.flatMap((way) => Object.keys(CLIENTS).map((name) => [name, way] as const)))(
    'costs the calls on it: %s, %s',
    async (name, way) => {
      const platform = new PlatformServer(1);
      const relay = new SilentRelay(await platform.listen());
      const client = CLIENTS[name]?.(`http://127.0.0.1:${await relay.listen()}`) as PlatformCall;
      const { connectionCount, isAnswered } = client;
      cleanups.push(
        () => client.dispose(),
        () => relay.close(),
        () => platform.close(),
      );
      const callOnEach = () => Promise.all(Array.from({ length: connectionCount }, isAnswered));
      expect(await callOnEach()).not.toContain(false);
      expect(relay.connectionCount).toBe(connectionCount);
      relay.silenceAll(way);
      expect(await callOnEach()).not.toContain(true);
      expect(await callOnEach()).not.toContain(false);
      expect(relay.connectionCount).toBe(connectionCount * 2);
      await expect.poll(() => relay.openSilentCount).toBe(0);
    },
  );

  // What is sent to open a connection vanishes. undici ends a call that waits for its connection
  // only when the opening ends, whatever the call's own timeout: without a limit of ours that is
  // after ten seconds, more than the test's own time. Then the way is open again.
  const OPENING_TEST_TIMEOUT_MS = 8_000;
  it.each(Object.keys(CLIENTS))(
    'costs the calls while it opens: %s',
    async (name) => {
      const platform = new PlatformServer(1);
      const client = CLIENTS[name]?.(`http://127.0.0.1:${await platform.listen()}`) as PlatformCall;
      cleanups.push(
        () => client.dispose(),
        () => platform.close(),
      );
      const { connectionCount, isAnswered } = client;
      const opening = vi.spyOn(net, 'connect').mockImplementation(() => new net.Socket());
      const calls = Array.from({ length: connectionCount }, isAnswered);
      expect(await Promise.all(calls)).not.toContain(true);
      expect(opening).toHaveBeenCalledTimes(connectionCount);
      opening.mockRestore();
      await expect.poll(isAnswered).toBe(true);
    },
    OPENING_TEST_TIMEOUT_MS,
  );
});
