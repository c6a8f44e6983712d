import { createConnection, type Socket } from 'node:net';

import { afterEach, describe, expect, it } from 'vitest';

import { LoadModel } from '../../../bench/requests/loadModel.js';
import { IMPATIENT, impatientCallers } from '../../../bench/requests/scenarios.js';
import { SeededRandom } from '../../base/common/random.js';
import { CLAIM_PREFIX } from '../../services/workload/common/claimRow.js';
import { Admission } from '../common/admission.js';
import { ServerVerdict } from '../common/admissionDecision.js';
import type { WaitingRequest } from '../common/fairQueue.js';
import { HangUpAction, hangUpAction } from '../common/hangUp.js';
import { RequestProgress } from '../common/requestProgress.js';
import { LatencyWeightedOfTwo } from '../common/serverChoice.js';
import type { ServerRecord } from '../common/serverRecords.js';
import { backendServer, EntryHarness, entrySettings } from './entryHarness.js';
import { RawBackend, wholeAnswer } from './rawBackend.js';

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

describe('the action for a request whose caller hung up', () => {
  it.each([
    [HangUpAction.Dequeue, { isIdempotent: true, isAttemptRunning: false, isSent: false }],
    [HangUpAction.Dequeue, { isIdempotent: false, isAttemptRunning: false, isSent: false }],
    [HangUpAction.Abort, { isIdempotent: true, isAttemptRunning: true, isSent: true }],
    [HangUpAction.Abort, { isIdempotent: false, isAttemptRunning: true, isSent: false }],
    [HangUpAction.LetFinish, { isIdempotent: false, isAttemptRunning: true, isSent: true }],
  ])('is %s for %o', (step, question) => {
    expect(hangUpAction(question)).toBe(step);
  });

  it('rules out another attempt', () => {
    const terms = { isIdempotent: true, maximumAttemptCount: 3, deadlineAtMs: 1_000 };
    const progress = new RequestProgress(terms);
    progress.tryStart();
    expect(progress.noteHangUp(true)).toBe(HangUpAction.Abort);
    progress.noteEnd('timed-out');
    expect(progress.mayRetry(0)).toBe(false);
    expect(progress.finalFailure(0)).toMatchObject({ kind: 'caller-left', workOutcome: 'unknown' });
  });
});

describe('a burst of hang-ups and repeats under saturation', () => {
  const inTimeShare = (areHangUpsHandled: boolean, areServersCancelling: boolean): number => {
    const impatience = { ...IMPATIENT, areServersCancelling };
    const scenario = impatientCallers({ name: 'small', workerCount: 10 }, impatience);
    const policy = {
      createChooser: (random: ConstructorParameters<typeof LatencyWeightedOfTwo>[0]) =>
        new LatencyWeightedOfTwo(random),
      admission: entrySettings(),
      isHedgingEnabled: true,
      areHangUpsHandled,
    };
    const plans = new LoadModel(scenario, policy, 5).run().outcomes.get('plans');
    return (plans?.inTime ?? 0) / (plans?.offered ?? 1);
  };

  // Impatient callers hang up after 150 ms and send the same request again, three times. The
  // requests that they leave behind would hold the permits that the patient callers of another
  // service wait for. The patient callers must get more answers in time than if the entry ignored
  // hang-ups, even when the backend servers go on working for closed connections.
  it.each([true, false])(
    'delays other callers less (servers notice hang-ups: %s)',
    (areNoticing) => {
      expect(inTimeShare(true, areNoticing)).toBeGreaterThan(inTimeShare(false, areNoticing));
    },
  );
});

describe('the permit of an abandoned attempt', () => {
  // A caller hangs up after 5 ms and repeats at once, and the server goes on working. A repeat must
  // not get a permit while the request before it is likely to be still inside the worker.
  it('stays in use while its server is likely to go on working', () => {
    const random = new SeededRandom(7);
    const chooser = new LatencyWeightedOfTwo(random);
    const admission = new Admission<WaitingRequest>(entrySettings(), chooser, random);
    admission.updateRoutes(new Map([['s', [backendServer(1)]]]), () => 'normal', 8);
    const waiting = () => ({
      callerId: '',
      deadlineAtMs: 60_000,
      waitingSinceMs: 0,
      avoidedWorkerId: undefined,
    });
    const acquireAllPermits = (nowMs: number): ServerRecord[] => {
      const decision = admission.admit('s', waiting(), nowMs);
      return decision.kind === 'admitted' ? [decision.server, ...acquireAllPermits(nowMs)] : [];
    };
    const permits = acquireAllPermits(0);
    const outcome = { latencyMs: 5, verdict: ServerVerdict.Abandoned, isServerLeaving: false };
    permits.forEach((server) => expect(admission.finish('s', server, outcome, 5)).toEqual([]));
    expect(admission.sweep(39).dispatched).toEqual([]);
    expect(admission.sweep(40).dispatched).toHaveLength(1);
  });
});

interface Setup {
  readonly entry: EntryHarness;
  readonly backend: RawBackend;
  /** Answers the requests that the backend server holds. */
  readonly answerHeld: () => void;
}

const setUp = async (): Promise<Setup> => {
  const held: Socket[] = [];
  const backend = new RawBackend((socket) => held.push(socket));
  const quiet = { hedgeBudgetRatio: 0, silenceFloorMs: 60_000, maximumWaitMs: 60_000 };
  const entry = new EntryHarness(entrySettings(quiet));
  cleanups.push(
    () => backend.close(),
    () => entry.dispose(),
  );
  entry.route('s', [backendServer(await backend.listen())]);
  await entry.listen();
  const answerHeld = (): void =>
    held.splice(0).forEach((socket) => socket.write(wholeAnswer('whole')));
  return { entry, backend, answerHeld };
};

/** Sends a request on a new connection, which the test closes to hang up. */
const send = (entry: EntryHarness, head: string): Socket => {
  const socket = createConnection(Number(new URL(entry.origin).port), '127.0.0.1');
  socket.on('error', () => {});
  const deadline = 'snipethread-timeout-ms: 60000';
  socket.write(`${head} HTTP/1.1\r\nhost: x\r\n${deadline}\r\ncontent-length: 0\r\n\r\n`);
  cleanups.push(() => socket.destroy());
  return socket;
};

describe('a caller that hangs up', () => {
  // All permits of the only server are taken and twenty more requests wait. The callers of the
  // waiting and of the sent requests hang up. The waiting requests must never be sent, the
  // connections of the sent ones must be closed, and the next caller must be served at once.
  it('leaves the queue, and its idempotent work is cancelled', async () => {
    const { entry, backend, answerHeld } = await setUp();
    const sockets = Array.from({ length: 30 }, () => send(entry, 'GET /services/s/left'));
    await expect.poll(() => entry.counter('requests_queued')).toBeGreaterThan(20);
    await expect.poll(() => backend.requests.length + entry.counter('requests_queued')).toBe(30);
    const sentCount = backend.requests.length;
    // The waiting callers hang up first, so that no freed permit goes to one of their requests.
    sockets.slice(sentCount).forEach((socket) => socket.destroy());
    await expect.poll(() => entry.counter('requests_abandoned')).toBe(30 - sentCount);
    sockets.forEach((socket) => socket.destroy());
    await expect.poll(() => entry.counter('requests_abandoned')).toBe(30);
    // undici replaces a connection that was cut by a new one, which carries no request.
    const used = () => [...backend.sockets].filter(({ bytesRead }) => bytesRead > 0);
    await expect.poll(used).toEqual([]);
    const next = entry.call('/next');
    await expect.poll(() => backend.requests.some((head) => head.includes('/next'))).toBe(true);
    expect(backend.requests).toHaveLength(sentCount + 1);
    answerHeld();
    expect((await next).text).toBe('whole');
    expect(entry.brokenInvariants).toEqual([]);
  });

  // The caller's connection breaks while its order is running. The order must not be cut short: it
  // runs to its end once, its answer is recorded, and the caller's repeat gets that answer.
  it('lets a sent order run to its end, and the repeat gets the recorded answer', async () => {
    const { entry, backend, answerHeld } = await setUp();
    const head = 'POST /services/s/orders HTTP/1.1\r\nidempotency-key: order-17\r\nx: ';
    const socket = send(entry, head);
    await expect.poll(() => backend.requests.length).toBe(1);
    socket.destroy();
    await expect.poll(() => entry.counter('requests_abandoned')).toBe(1);
    expect(backend.sockets.size).toBe(1);
    answerHeld();
    const rows = () => entry.table.standIn.read({ keys: [], prefixes: [CLAIM_PREFIX] }).rows;
    await expect.poll(() => rows()[0]?.operationId.endsWith('/answer')).toBe(true);
    const key = { 'idempotency-key': 'order-17' };
    expect((await entry.call('/orders', key, 'POST')).text).toBe('whole');
    expect(backend.requests).toHaveLength(1);
    expect(entry.brokenInvariants).toEqual([]);
  });

  // The caller of an order hangs up while the claim is being written. The order must not be sent
  // afterwards, and its key must be free for the repeat.
  it('frees the key of an order that was not sent', async () => {
    const { entry, backend, answerHeld } = await setUp();
    const waiting: (() => void)[] = [];
    entry.table.onDidTransact = () =>
      new Promise((resolve) => {
        waiting.push(resolve);
      });
    const head = 'POST /services/s/orders HTTP/1.1\r\nidempotency-key: order-17\r\nx: ';
    const socket = send(entry, head);
    await expect.poll(() => waiting.length).toBe(1);
    socket.destroy();
    await expect.poll(() => entry.counter('callers_hung_up')).toBe(1);
    entry.table.onDidTransact = () => Promise.resolve();
    waiting.forEach((answer) => answer());
    const rows = () => entry.table.standIn.read({ keys: [], prefixes: [CLAIM_PREFIX] }).rows;
    await expect.poll(() => rows().length).toBe(0);
    expect(backend.requests).toHaveLength(0);
    const repeat = entry.call('/orders', { 'idempotency-key': 'order-17' }, 'POST');
    await expect.poll(() => backend.requests.length).toBe(1);
    answerHeld();
    expect((await repeat).text).toBe('whole');
  });
});
