import type { Socket } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { TableStandIn } from '../../../standIns/platform/tableStandIn.js';
import { CLAIM_PREFIX } from '../../services/workload/common/claimRow.js';
import { ClaimTiming } from '../common/claims.js';
import {
  backendServer,
  EntryHarness,
  entrySettings,
  FaultyTable,
  workOutcome,
} from './entryHarness.js';
import { type RawAnswer, RawBackend, wholeAnswer } from './rawBackend.js';

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

/** One entry with its own access to the shared table. */
interface EntryWithTable {
  readonly entry: EntryHarness;
  readonly table: FaultyTable;
}

interface Setup {
  readonly one: EntryWithTable;
  readonly other: EntryWithTable;
  readonly backend: RawBackend;
  /** Answers the requests that the backend server holds. It holds all requests but orders. */
  readonly answerHeld: () => void;
  readonly claimCount: () => number;
}

const isOrder = (head: string): boolean => head.startsWith('POST');
const orderCount = ({ requests }: RawBackend): number => requests.filter(isOrder).length;

const setUp = async (answer: RawAnswer = (socket) => socket.write(wholeAnswer('cast'))) => {
  const held: Socket[] = [];
  const backend = new RawBackend((socket, index, head) => {
    if (isOrder(head)) answer(socket, index, head);
    else held.push(socket);
  });
  cleanups.push(() => backend.close());
  const port = await backend.listen();
  const standIn = new TableStandIn();
  const addEntry = async (): Promise<EntryWithTable> => {
    const table = new FaultyTable(standIn);
    const quiet = { hedgeBudgetRatio: 0, silenceFloorMs: 60_000, maximumWaitMs: 60_000 };
    const entry = new EntryHarness(entrySettings(quiet), table);
    entry.route('s', [backendServer(port)]);
    await entry.listen();
    cleanups.push(() => void entry.dispose());
    return { entry, table };
  };
  const setup: Setup = {
    one: await addEntry(),
    other: await addEntry(),
    backend,
    answerHeld: () => held.splice(0).forEach((socket) => socket.write(wholeAnswer('menu'))),
    claimCount: () => standIn.read({ keys: [], prefixes: [CLAIM_PREFIX] }).rows.length,
  };
  return setup;
};

const LONG_TIMEOUT_HEADERS = { 'snipethread-timeout-ms': '60000' };

const order = ({ entry }: EntryWithTable) =>
  entry.call(
    '/orders',
    { ...LONG_TIMEOUT_HEADERS, 'idempotency-key': 'order-17' },
    'POST',
    'bronze',
  );

/** Takes all permits of an entry, so that the next request has to wait. */
const occupyAllPermits = async ({ entry }: EntryWithTable, backend: RawBackend): Promise<void> => {
  const arrivedCount = (): number => backend.requests.length + entry.counter('requests_queued');
  for (let index = 0; entry.counter('requests_queued') === 0; index += 1) {
    const before = arrivedCount();
    void entry.call(`/menu${index}`, LONG_TIMEOUT_HEADERS).catch(() => undefined);
    // The next request follows when this one has arrived at the backend server or waits, so that
    // no request arrives after the counter was read.
    // eslint-disable-next-line no-await-in-loop
    await expect.poll(arrivedCount, { interval: 5 }).toBeGreaterThan(before);
  }
};

/** Kills an entry: its calls no longer reach the table, and its callers get no answer. */
const killEntry = ({ entry, table }: EntryWithTable): void => {
  Object.assign(table, { isOut: true });
  void entry.dispose();
};

describe('an order whose entry is killed', () => {
  // All permits are taken, and the order waits in an entry that is then killed. Nothing was sent,
  // so the caller's repeat through another entry must run. If the key were claimed before the wait,
  // the repeat would get "unknown" for a day.
  it('runs when it is repeated, if it had only waited', async () => {
    const { one, other, backend, claimCount } = await setUp();
    await occupyAllPermits(one, backend);
    const waitingCount = one.entry.counter('requests_queued');
    const lost = order(one).catch(() => undefined);
    await expect.poll(() => one.entry.counter('requests_queued')).toBe(waitingCount + 1);
    expect(claimCount()).toBe(0);
    killEntry(one);
    const repeat = await order(other);
    expect([repeat.statusCode, repeat.text]).toEqual([200, 'cast']);
    expect(orderCount(backend)).toBe(1);
    void lost;
  });

  // The order was sent, and the entry is killed before the answer. The order may have run, so a
  // repeat must neither run it again nor be told that it did not run.
  it('keeps the outcome "unknown" if it was sent', async () => {
    const { one, other, backend } = await setUp(() => {});
    const lost = order(one).catch(() => undefined);
    await expect.poll(() => orderCount(backend)).toBe(1);
    killEntry(one);
    const repeat = await order(other);
    expect([repeat.statusCode, workOutcome(repeat)]).toEqual([409, 'unknown']);
    expect(orderCount(backend)).toBe(1);
    void lost;
  });
});

describe('an order whose entry is paused and resumed', () => {
  // The claim is committed, and the entry is paused before it gets the answer. The repeat must get
  // "unknown", because the paused entry will still send the order. After it resumes it sends once.
  it('runs once if the entry was paused between claim and send', async () => {
    const { one, other, backend } = await setUp();
    const pausedAnswers: (() => void)[] = [];
    one.table.onDidTransact = () =>
      new Promise((resolve) => {
        pausedAnswers.push(resolve);
      });
    const first = order(one);
    await expect.poll(() => pausedAnswers.length).toBe(1);
    expect(workOutcome(await order(other))).toBe('unknown');
    expect(orderCount(backend)).toBe(0);
    one.table.onDidTransact = () => Promise.resolve();
    pausedAnswers.forEach((wake) => wake());
    expect((await first).text).toBe('cast');
    expect(orderCount(backend)).toBe(1);
  });

  // The order waits without a claim while its caller's repeat runs through another entry. When the
  // order gets its permit it must not run again; its caller gets the recorded answer.
  it('does not run again if its repeat ran while it waited', async () => {
    const { one, other, backend, answerHeld } = await setUp();
    await occupyAllPermits(one, backend);
    const waitingCount = one.entry.counter('requests_queued');
    const first = order(one);
    await expect.poll(() => one.entry.counter('requests_queued')).toBe(waitingCount + 1);
    expect((await order(other)).text).toBe('cast');
    const timer = setInterval(answerHeld, 5);
    cleanups.push(() => clearInterval(timer));
    const answer = await first;
    expect([answer.statusCode, answer.text]).toEqual([200, 'cast']);
    expect(answer.headers['snipethread-replayed']).toBe('true');
    expect(orderCount(backend)).toBe(1);
  });

  // As in the test before, but the store's answer to the late claim is lost, so the entry reads the
  // rows of the key.
  it('does not run again if the answer to its late claim is lost', async () => {
    const { one, other, backend, answerHeld } = await setUp();
    await occupyAllPermits(one, backend);
    const waitingCount = one.entry.counter('requests_queued');
    const first = order(one);
    await expect.poll(() => one.entry.counter('requests_queued')).toBe(waitingCount + 1);
    expect((await order(other)).text).toBe('cast');
    one.table.lostAnswerCount = 1;
    const timer = setInterval(answerHeld, 5);
    cleanups.push(() => clearInterval(timer));
    expect((await first).headers['snipethread-replayed']).toBe('true');
    expect(orderCount(backend)).toBe(1);
  });
});

describe('a slow claim', () => {
  it('makes the next claims early until a claim is fast again', () => {
    const timing = new ClaimTiming();
    expect(timing.isEarly).toBe(false);
    timing.noteClaim(30, true);
    expect(timing.isEarly).toBe(true);
    timing.noteClaim(2, true);
    expect(timing.isEarly).toBe(false);
    timing.noteClaim(0, false);
    expect(timing.isEarly).toBe(true);
  });

  // The store hangs. Twenty orders, more than there are permits, get permits and wait for their
  // claims. Requests that need no store must be served meanwhile.
  it('does not keep permits from requests that need no claim', async () => {
    const { one, backend, answerHeld } = await setUp();
    const pausedAnswers: (() => void)[] = [];
    one.table.onDidTransact = () =>
      new Promise((resolve) => {
        pausedAnswers.push(resolve);
      });
    const orders = Array.from({ length: 20 }, (_, index) => {
      const headers = { ...LONG_TIMEOUT_HEADERS, 'idempotency-key': `order-${index}` };
      return one.entry.call('/orders', headers, 'POST', 'bronze');
    });
    await expect.poll(() => pausedAnswers.length).toBe(20);
    const menu = one.entry.call('/menu', LONG_TIMEOUT_HEADERS);
    await expect.poll(() => backend.requests.length).toBe(1);
    answerHeld();
    expect((await menu).text).toBe('menu');
    one.table.onDidTransact = () => Promise.resolve();
    pausedAnswers.forEach((answer) => answer());
    const answers = await Promise.all(orders);
    expect(answers.map(({ text }) => text)).toEqual(Array(20).fill('cast'));
    expect(orderCount(backend)).toBe(20);
    expect(one.entry.brokenInvariants).toEqual([]);
  });
});
