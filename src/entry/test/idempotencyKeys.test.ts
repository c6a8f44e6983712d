import { afterEach, describe, expect, it } from 'vitest';

import { CLAIM_PREFIX } from '../../services/workload/common/claimRow.js';
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

const KEY = { 'idempotency-key': 'order-17' };
const answerOnce: RawAnswer = (socket, index) => {
  socket.write(wholeAnswer(`cast ${index}`, 'content-type: text/plain\r\n'));
};

interface Setup {
  readonly table: FaultyTable;
  readonly backend: RawBackend;
  readonly addEntry: (changes?: object) => Promise<EntryHarness>;
}

const setUp = async (answer: RawAnswer = answerOnce): Promise<Setup> => {
  const table = new FaultyTable();
  const backend = new RawBackend(answer);
  cleanups.push(() => backend.close());
  const port = await backend.listen();
  const addEntry = async (changes: object = {}): Promise<EntryHarness> => {
    const entry = new EntryHarness(entrySettings(changes), table);
    cleanups.push(() => entry.dispose());
    entry.route('s', [backendServer(port)]);
    await entry.listen();
    return entry;
  };
  return { table, backend, addEntry };
};

const order = (entry: EntryHarness, headers: Record<string, string> = KEY, body = 'bronze') =>
  entry.call('/orders', headers, 'POST', body);

const claimRows = (table: FaultyTable) =>
  table.standIn.read({ keys: [], prefixes: [CLAIM_PREFIX] }).rows;

const waitUntil = async (isTrue: () => boolean): Promise<void> => {
  while (!isTrue()) {
    // eslint-disable-next-line no-await-in-loop -- the test's timeout ends the loop
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
};

describe('an order with an idempotency key', () => {
  // The caller's connection breaks after the order ran, so the caller sends the same order again
  // through another entry. It must get the first answer: bronze that is cast twice is billed twice.
  it('runs once, and its repeats get the recorded answer through any entry', async () => {
    const { table, backend, addEntry } = await setUp();
    const [one, other] = [await addEntry(), await addEntry()];
    const first = await order(one);
    await waitUntil(() => claimRows(table)[0]?.operationId.endsWith('/answer') === true);
    const repeat = await order(other);
    expect([first.text, repeat.text]).toEqual(['cast 0', 'cast 0']);
    expect(repeat.headers['snipethread-replayed']).toBe('true');
    expect(repeat.headers['content-type']).toBe('text/plain');
    expect(backend.requests).toHaveLength(1);
  });

  // Twenty copies come at the same time through two entries. At most one may be sent; the callers
  // of the others are told that the key is taken.
  it('runs once when it is repeated while it runs', async () => {
    const held: (() => void)[] = [];
    const { backend, addEntry } = await setUp((socket) => {
      held.push(() => socket.write(wholeAnswer('cast')));
    });
    const entries = [await addEntry(), await addEntry()];
    let answeredCount = 0;
    const answers = await Promise.all(
      Array.from({ length: 20 }, async (_, index) => {
        const answer = await order(entries[index % 2] as EntryHarness);
        answeredCount += 1;
        // The order that runs is answered only after all others were refused.
        if (answeredCount === 19) held.splice(0).forEach((release) => release());
        return answer;
      }),
    );
    expect(backend.requests).toHaveLength(1);
    expect(answers.filter(({ statusCode }) => statusCode === 200)).toHaveLength(1);
    expect(answers.filter((answer) => workOutcome(answer) === 'unknown')).toHaveLength(19);
  });

  // The entry is killed after the claim was written and before the order is sent. Nobody else can
  // know that the order was not sent, so a repeat must neither run it nor be told that it did not
  // run.
  it('does not run after its entry was killed between claim and send', async () => {
    const { table, backend, addEntry } = await setUp();
    const [dying, other] = [await addEntry(), await addEntry()];
    table.onDidTransact = () => new Promise(() => {});
    const lost = order(dying).catch(() => undefined);
    await waitUntil(() => claimRows(table).length === 1);
    table.onDidTransact = () => Promise.resolve();
    const repeat = await order(other);
    expect([repeat.statusCode, workOutcome(repeat)]).toEqual([409, 'unknown']);
    expect(backend.requests).toHaveLength(0);
    void lost;
    cleanups.pop();
    cleanups.splice(1, 1);
    void dying.dispose();
    void other.dispose();
  });

  // The store writes the claim, but its answer is lost. The entry finds its own claim by reading
  // and sends the order once.
  it('runs once when the answer to its claim is lost', async () => {
    const { table, backend, addEntry } = await setUp();
    const entry = await addEntry();
    table.lostAnswerCount = 1;
    const answer = await order(entry);
    expect([answer.statusCode, answer.text]).toEqual([200, 'cast 0']);
    expect(backend.requests).toHaveLength(1);
    expect((await order(entry)).text).toBe('cast 0');
    expect(backend.requests).toHaveLength(1);
  });

  // The claim takes effect, its answer is lost, and then the store fails, so the entry cannot find
  // out whether it holds the key. It refuses the order at once as not run. When the store is back,
  // the entry removes its own claim, so that the caller's repeat runs.
  it('is refused as not run, and can be repeated, when the store fails during the claim', async () => {
    const { table, backend, addEntry } = await setUp();
    const entry = await addEntry();
    table.lostAnswerCount = 1;
    table.onDidTransact = () => {
      table.isOut = true;
      return Promise.resolve();
    };
    const refused = await order(entry);
    expect([refused.statusCode, workOutcome(refused)]).toEqual([503, 'not-run']);
    expect(claimRows(table)).toHaveLength(1);
    table.onDidTransact = () => Promise.resolve();
    table.isOut = false;
    await waitUntil(() => claimRows(table).length === 0);
    expect((await order(entry)).text).toBe('cast 0');
    expect(backend.requests).toHaveLength(1);
  });

  // Calls to the store hang until they time out. The first order waits for the timeout; the next
  // ones must be refused at once, with a retry delay.
  it('is refused at once, with a retry delay, while the store is unavailable', async () => {
    const { table, backend, addEntry } = await setUp();
    const entry = await addEntry();
    table.isOut = true;
    const answers = [];
    for (let index = 0; index < 20; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- one after the other
      answers.push(await order(entry, { 'idempotency-key': `order-${index}` }));
    }
    expect(new Set(answers.map(workOutcome))).toEqual(new Set(['not-run']));
    expect(new Set(answers.map(({ statusCode }) => statusCode))).toEqual(new Set([503]));
    expect(answers.every(({ headers }) => Number(headers['retry-after']) >= 1)).toBe(true);
    expect(backend.requests).toHaveLength(0);
    // Requests that need no claim are still served.
    expect((await entry.call('/menu')).statusCode).toBe(200);
    expect(entry.counter('claim_store_failures')).toBeLessThan(20);
  });

  // The store answers the claim only after the caller's deadline. The caller must get its final
  // answer at the deadline, nothing may be sent afterwards, and the claim must be released.
  it('fails at its deadline when the store is slow', async () => {
    const { table, backend, addEntry } = await setUp();
    const entry = await addEntry();
    const waiting: (() => void)[] = [];
    table.onDidTransact = () =>
      new Promise((resolve) => {
        waiting.push(resolve);
      });
    const late = await order(entry, { ...KEY, 'snipethread-timeout-ms': '100' });
    expect([late.statusCode, workOutcome(late)]).toEqual([504, 'not-run']);
    table.onDidTransact = () => Promise.resolve();
    waiting.forEach((answer) => answer());
    await waitUntil(() => claimRows(table).length === 0);
    expect(backend.requests).toHaveLength(0);
    expect((await order(entry)).text).toBe('cast 0');
  });

  it('releases its key when it certainly did not run', async () => {
    const { table, backend, addEntry } = await setUp((socket, index) => {
      const head = index < 3 ? 'HTTP/1.1 503 No\r\nsnipethread-not-run: true' : 'HTTP/1.1 200 OK';
      socket.write(`${head}\r\ncontent-length: 0\r\n\r\n`);
    });
    const entry = await addEntry({ retryBudgetRatio: 1 });
    expect(workOutcome(await order(entry))).toBe('not-run');
    await waitUntil(() => claimRows(table).length === 0);
    expect((await order(entry)).statusCode).toBe(200);
    expect(backend.requests).toHaveLength(4);
  });

  it('does not run again after its answer was cut off', async () => {
    const { backend, addEntry } = await setUp((socket) => {
      socket.destroy();
    });
    const entry = await addEntry();
    expect(workOutcome(await order(entry))).toBe('unknown');
    const repeat = await order(entry);
    expect([repeat.statusCode, workOutcome(repeat)]).toEqual([409, 'unknown']);
    expect(backend.requests).toHaveLength(1);
  });

  it('is reported as "ran" to a repeat when its answer was too large to record', async () => {
    const { table, backend, addEntry } = await setUp((socket) =>
      socket.write(wholeAnswer('x'.repeat(10_000))),
    );
    const entry = await addEntry();
    expect((await order(entry)).text).toHaveLength(10_000);
    await waitUntil(() => claimRows(table)[0]?.operationId.endsWith('/answer') === true);
    const repeat = await order(entry);
    expect([repeat.statusCode, workOutcome(repeat)]).toEqual([409, 'ran']);
    expect(backend.requests).toHaveLength(1);
  });

  it('causes another order with the same key to be refused', async () => {
    const { backend, addEntry } = await setUp();
    const entry = await addEntry();
    await order(entry);
    const other = await order(entry, KEY, 'granite');
    expect([other.statusCode, workOutcome(other)]).toEqual([400, 'not-run']);
    expect(backend.requests).toHaveLength(1);
  });
});
