import { describe, expect, it } from 'vitest';

import { SeededRandom } from '../../base/common/random.js';
import { Urgency } from '../../services/configuration/common/documents.js';
import { Admission } from '../common/admission.js';
import { type AttemptOutcome, ServerVerdict } from '../common/admissionDecision.js';
import type { WaitingRequest } from '../common/fairQueue.js';
import { RequestProgress } from '../common/requestProgress.js';
import { LatencyWeightedOfTwo } from '../common/serverChoice.js';
import type { ServerRecord } from '../common/serverRecords.js';
import { backendServer, entrySettings } from './entryHarness.js';

interface Waiting extends WaitingRequest {
  readonly serviceName: string;
}

const SUCCESS = { latencyMs: 10, verdict: ServerVerdict.Success, isServerLeaving: false };
const FAILURE = { latencyMs: 1, verdict: ServerVerdict.Failure, isServerLeaving: false };

/** One entry's admission in virtual time, with the admitted and the refused requests. */
class AdmissionHarness {
  readonly admission: Admission<Waiting>;

  readonly inFlight: { readonly waiting: Waiting; readonly server: ServerRecord<Waiting> }[] = [];

  readonly refused: Waiting[] = [];

  nowMs = 0;

  constructor(serverCount: number, urgencies: Readonly<Record<string, Urgency>>, changes = {}) {
    const random = new SeededRandom(7);
    const settings = entrySettings(changes);
    this.admission = new Admission(settings, new LatencyWeightedOfTwo(random), random);
    const servers = Array.from({ length: serverCount }, (_, index) => backendServer(index + 1));
    const routes = new Map(Object.keys(urgencies).map((name) => [name, servers]));
    this.admission.updateRoutes(routes, (name) => urgencies[name] ?? Urgency.Normal, 8);
  }

  advance(durationMs: number): void {
    this.nowMs += durationMs;
  }

  send(serviceName: string, callerId = '', deadlineMs = 10_000): void {
    const waiting: Waiting = {
      serviceName,
      callerId,
      deadlineAtMs: this.nowMs + deadlineMs,
      waitingSinceMs: this.nowMs,
      avoidedWorkerId: undefined,
    };
    const decision = this.admission.admit(serviceName, waiting, this.nowMs);
    if (decision.kind === 'admitted') this.inFlight.push({ waiting, server: decision.server });
    if (decision.kind === 'refused') this.refused.push(waiting);
    if (decision.kind === 'queued' && decision.displaced !== undefined) {
      this.refused.push(decision.displaced.waiting);
    }
  }

  /** Ends the oldest request in flight and returns the waiting requests that were sent instead. */
  finishOne(outcome: AttemptOutcome = SUCCESS): readonly Waiting[] {
    const first = this.inFlight.shift();
    if (first === undefined) return [];
    const { waiting, server } = first;
    const next = this.admission.finish(waiting.serviceName, server, outcome, this.nowMs);
    this.inFlight.push(...next);
    return next.map((dispatched) => dispatched.waiting);
  }
}

const times = (count: number, step: (index: number) => void): void =>
  Array.from({ length: count }, (_, index) => index).forEach(step);

describe('the limit on connections to a worker', () => {
  // There are more entries than the settings allow for. If each kept its fixed share, they would
  // open more connections than the server accepts, and it would refuse requests.
  it('shrinks when there are more entries than configured and never grows', () => {
    const inFlightWith = (entryCount: number): number => {
      const harness = new AdmissionHarness(1, { urgent: Urgency.Urgent }, { maximumEntryCount: 8 });
      const routes = new Map([['urgent', [{ ...backendServer(1), slotCount: 64 }]]]);
      harness.admission.updateRoutes(routes, () => Urgency.Urgent, entryCount);
      times(100, () => harness.send('urgent'));
      return harness.inFlight.length;
    };
    expect(inFlightWith(8)).toBe(7);
    expect(inFlightWith(3)).toBe(7);
    expect(inFlightWith(16)).toBe(3);
  });
});

describe('admission under saturation', () => {
  // A burst of low urgency has taken every permit, and hundreds of its requests wait. An urgent
  // request that comes afterwards must be sent next.
  it('serves the urgent service first, however many requests of other services wait', () => {
    const harness = new AdmissionHarness(4, { rounds: Urgency.Urgent, plans: Urgency.Low });
    times(100, () => harness.send('plans'));
    harness.send('rounds');
    const [next] = harness.finishOne();
    expect(next?.serviceName).toBe('rounds');
  });

  it('lets services of equal urgency take turns even when their bursts differ in size', () => {
    const harness = new AdmissionHarness(4, { a: Urgency.Normal, b: Urgency.Normal });
    times(300, () => harness.send('a'));
    times(30, () => harness.send('b'));
    const served = Array.from({ length: 40 }, () => harness.finishOne()[0]?.serviceName);
    expect(served.filter((name) => name === 'b').length).toBeGreaterThanOrEqual(18);
  });

  // One caller's storm of retries fills the queue. The few requests of another caller must neither
  // wait behind the storm nor be refused because the queue is full. The newest requests of the
  // storm are removed instead.
  it('lets callers take turns and removes only requests of the caller with the storm', () => {
    const harness = new AdmissionHarness(4, { a: Urgency.Normal }, { queueCapacity: 100 });
    times(500, () => harness.send('a', 'storm'));
    times(20, () => harness.send('a', 'quiet'));
    expect(harness.refused.every(({ callerId }) => callerId === 'storm')).toBe(true);
    const served = Array.from({ length: 40 }, () => harness.finishOne()[0]?.callerId);
    expect(served.filter((callerId) => callerId === 'quiet')).toHaveLength(20);
  });

  it('refuses a request at once that could not be served before its deadline', () => {
    const harness = new AdmissionHarness(4, { a: Urgency.Normal });
    times(200, () => {
      harness.nowMs += 1;
      harness.send('a');
      if (harness.inFlight.length >= 4) harness.finishOne();
    });
    times(200, () => harness.send('a'));
    harness.nowMs += 20;
    harness.finishOne();
    const before = harness.refused.length;
    harness.send('a', '', 100);
    expect(harness.refused).toHaveLength(before + 1);
  });

  it('rejects requests that have waited too long and spreads their retry delays', () => {
    const harness = new AdmissionHarness(4, { a: Urgency.Normal }, { maximumWaitMs: 500 });
    times(50, () => harness.send('a'));
    harness.nowMs = 500;
    const { rejected } = harness.admission.sweep(harness.nowMs);
    expect(rejected.length + harness.inFlight.length).toBe(50);
    const returns = rejected.map(({ failure }) => failure.retryAfterMs ?? 0);
    expect(Math.min(...returns)).toBeGreaterThanOrEqual(1_000);
    expect(Math.max(...returns) - Math.min(...returns)).toBeGreaterThan(1_000);
  });

  it('keeps all services together within the connections that this entry has to a worker', () => {
    const harness = new AdmissionHarness(1, { a: Urgency.Normal, b: Urgency.Normal });
    // Answers that stay fast let the limit grow to its maximum.
    times(5_000, (index) => {
      harness.send(index % 2 === 0 ? 'a' : 'b');
      if (harness.inFlight.length > 6) harness.finishOne();
    });
    times(100, () => harness.send('a'));
    expect(harness.inFlight.length).toBeLessThanOrEqual(7);
  });
});

describe('failing servers', () => {
  const serveEach = (
    harness: AdmissionHarness,
    count: number,
    isFailing: (workerId: string) => boolean,
  ): void =>
    times(count, () => {
      harness.advance(1);
      harness.send('a');
      const workerId = harness.inFlight[0]?.server.worker.workerId ?? '';
      harness.finishOne(isFailing(workerId) ? FAILURE : SUCCESS);
    });

  const setAsideCount = (harness: AdmissionHarness): number =>
    (harness.admission.service('a')?.servers ?? []).filter(({ health }) =>
      health.isSetAside(harness.nowMs),
    ).length;

  // A server that fails at once has the shortest latency and the fewest requests in flight. Unless
  // it is set aside, it attracts the traffic of all other servers.
  it('are set aside, so that they attract no traffic', () => {
    const harness = new AdmissionHarness(10, { a: Urgency.Normal });
    serveEach(harness, 200, (workerId) => workerId === 'w3');
    expect(setAsideCount(harness)).toBe(1);
  });

  // All servers fail because a common dependency is down. If all were set aside, no server would
  // be tried, and the few that return first would be overloaded.
  it('are never set aside in a larger proportion than the settings allow', () => {
    const harness = new AdmissionHarness(10, { a: Urgency.Normal });
    serveEach(harness, 900, () => true);
    expect(setAsideCount(harness)).toBeLessThanOrEqual(3);
    expect(setAsideCount(harness)).toBeGreaterThan(0);
  });

  it('get one request at a time after they were set aside', () => {
    const harness = new AdmissionHarness(2, { a: Urgency.Normal });
    serveEach(harness, 60, (workerId) => workerId === 'w1');
    expect(setAsideCount(harness)).toBe(1);
    harness.nowMs += 1_600;
    expect(setAsideCount(harness)).toBe(0);
    times(6, () => harness.send('a'));
    const onReturned = harness.inFlight.filter(({ server }) => server.worker.workerId === 'w1');
    expect(onReturned.length).toBeLessThanOrEqual(1);
  });
});

describe('the progress of a request', () => {
  const terms = { maximumAttemptCount: 3, deadlineAtMs: 1_000 };

  it('allows no second attempt at non-idempotent work that may have run', () => {
    const progress = new RequestProgress({ ...terms, isIdempotent: false });
    expect(progress.tryStart()).toBe(true);
    expect(progress.tryStart()).toBe(false);
    progress.noteEnd('not-run');
    expect(progress.tryStart()).toBe(true);
    progress.noteEnd('lost');
    expect(progress.tryStart()).toBe(false);
    expect(progress.mayRetry(0)).toBe(false);
  });

  it('is never reported as "not run" once an attempt may have run', () => {
    const progress = new RequestProgress({ ...terms, isIdempotent: true });
    progress.tryStart();
    progress.noteEnd('lost');
    progress.tryStart();
    progress.noteEnd('not-run');
    expect(progress.finalFailure(0).kind).toBe('answer-lost');
    expect(progress.toReportedFailure({ kind: 'saturated', message: '' }).workOutcome).toBe(
      'unknown',
    );
  });
});
