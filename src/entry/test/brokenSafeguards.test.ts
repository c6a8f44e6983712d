/**
 * Shows that the judge of `npm run chaos` can fail. Each test breaks one safeguard of the request
 * path by a switch that only tests have, and the judge must report the effect on callers. Without
 * the switch the same steps give no finding.
 */
import { createConnection, type Socket } from 'node:net';

import type { Dispatcher } from 'undici';
import { afterEach, describe, expect, it, vi } from 'vitest';

import { checkRequests } from '../../../standIns/chaos/requestChecks.js';
import { Caller, CALLER_CONCURRENCY } from '../../../standIns/demo/caller.js';
import { systemClock } from '../../base/node/systemClock.js';
import { silentMetrics } from '../../services/metrics/common/metrics.js';
import { AttemptEnd } from '../common/attempt.js';
import { RequestProgress } from '../common/requestProgress.js';
import { AttemptRun } from '../node/attemptRun.js';
import { type AttemptRequest, BackendConnections } from '../node/backendConnections.js';
import { CallerServer } from '../node/callerServer.js';
import { backendServer, EntryHarness, type EntryOverrides, entrySettings } from './entryHarness.js';
import { type RawAnswer, RawBackend, wholeAnswer } from './rawBackend.js';

const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  vi.restoreAllMocks();
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

const REQUEST_COUNT = 40;

const pathOf = (head: string): string => head.split(' ')[1] ?? '';
const answerOf = (head: string): string => wholeAnswer(JSON.stringify({ url: pathOf(head) }));

interface SafeguardCase {
  /** The property that the safeguard protects. */
  readonly property: string;
  readonly fault: string;
  /** Breaks the safeguard until the end of the test. */
  readonly injectFault: () => EntryOverrides;
  readonly answer: RawAnswer;
  /**
   * Whether the entry shuts down during the test, at a moment at which all started requests have
   * arrived at the server. Nobody can answer a request that arrives while a listener closes.
   */
  readonly isLeaving?: boolean;
  readonly expectedFinding: string;
}

/**
 * Connections that stay open after their requests were cancelled. All attempts share one socket,
 * and all received data counts as the answer to the latest request.
 */
class SharedSocketConnections extends BackendConnections {
  #socket: Socket | undefined;

  #latest: AttemptRun | undefined;

  override attempt(request: AttemptRequest): AttemptRun {
    const controller = { abort: () => {} } as unknown as Dispatcher.DispatchController;
    const run = new AttemptRun(request.method, 1_000, silentMetrics);
    this.#latest = run;
    this.#socket ??= this.#connect(Number(new URL(request.server.origin).port), controller);
    run.onRequestStart(controller);
    this.#socket.write(`${request.method} ${request.path} HTTP/1.1\r\nhost: x\r\n\r\n`);
    return run;
  }

  override dispose(): void {
    this.#socket?.destroy();
    super.dispose();
  }

  #connect(port: number, controller: Dispatcher.DispatchController): Socket {
    const socket = createConnection(port, '127.0.0.1');
    socket.on('error', () => {});
    socket.on('data', (chunk) => {
      const [, ...bodies] = chunk.toString().split('\r\n\r\n');
      const body = Buffer.from(bodies[0]?.replace(/\}.*$/su, '}') ?? '');
      const run = this.#latest;
      run?.onResponseStart(controller, 200, { 'content-length': String(body.length) });
      run?.onResponseData(controller, body);
      run?.onResponseEnd();
    });
    return socket;
  }
}

const CASES: readonly SafeguardCase[] = [
  {
    property: 'every caller receives the whole answer',
    fault: 'the end of the connection counts as the end of the answer',
    injectFault: () => {
      const { onResponseStart } = AttemptRun.prototype;
      vi.spyOn(AttemptRun.prototype, 'onResponseStart').mockImplementation(function start(
        this: AttemptRun,
        controller,
        statusCode,
        headers,
      ) {
        const unframed = { ...headers, 'content-length': undefined, 'transfer-encoding': 'x' };
        onResponseStart.call(this, controller, statusCode, unframed);
      });
      vi.spyOn(AttemptRun.prototype, 'onResponseError').mockImplementation(function end(
        this: AttemptRun,
      ) {
        this.onResponseEnd();
      });
      return {};
    },
    answer: (socket, index, head) => {
      const answer = answerOf(head);
      if (index % 4 === 0) socket.end(answer.slice(0, -5));
      else socket.write(answer);
    },
    expectedFinding: "another's answer or a part",
  },
  {
    property: 'every caller receives the answer to its own request',
    fault: 'connections stay open after their requests were cancelled',
    injectFault: () => ({ Connections: SharedSocketConnections }),
    answer: (socket, index, head) => {
      setTimeout(() => socket.write(answerOf(head)), index % 3 === 0 ? 20 : 1);
    },
    expectedFinding: "another's answer or a part",
  },
  {
    property: 'a request marked as non-idempotent runs at most once',
    fault: 'an attempt that was sent and lost is ignored',
    injectFault: () => {
      vi.spyOn(RequestProgress.prototype, 'mayHaveRun', 'get').mockReturnValue(false);
      return {};
    },
    answer: (socket, _index, head) => {
      if (head.startsWith('POST')) socket.destroy();
      else socket.write(answerOf(head));
    },
    expectedFinding: 'non-idempotent, ran more than once',
  },
  {
    property: 'a refusal that says "not run" means the work did not run',
    fault: 'an attempt that was sent and lost counts as not run',
    injectFault: () => {
      const { noteEnd } = RequestProgress.prototype;
      vi.spyOn(RequestProgress.prototype, 'noteEnd').mockImplementation(function note(
        this: RequestProgress,
        end,
      ) {
        noteEnd.call(this, end === AttemptEnd.Lost ? AttemptEnd.NotRun : end);
      });
      return {};
    },
    answer: (socket) => {
      socket.destroy();
    },
    expectedFinding: '"not run", but it ran',
  },
  {
    property: 'a graceful shutdown cuts off no request in flight',
    fault: 'connections are closed at once',
    injectFault: () => {
      const { close } = CallerServer.prototype;
      vi.spyOn(CallerServer.prototype, 'close').mockImplementation(function closeAtOnce(
        this: CallerServer,
      ) {
        const closing = close.call(this);
        this.closeAllConnections();
        return closing;
      });
      return {};
    },
    answer: (socket, _index, head) => {
      socket.write(answerOf(head));
    },
    isLeaving: true,
    expectedFinding: 'cut off by a graceful shutdown',
  },
];

/** Returns the judge's findings after the same steps, with or without the switch. */
const findingsOf = async (
  { answer, isLeaving = false }: SafeguardCase,
  overrides: EntryOverrides,
): Promise<readonly string[]> => {
  const runs = new Map<string, number>();
  const departures = new Map<string, number>();
  const held: (() => void)[] = [];
  const settings = entrySettings({
    retryBudgetRatio: 1,
    hedgeBudgetRatio: 0,
    defaultDeadlineMs: isLeaving ? 30_000 : 1_000,
    silenceFloorMs: 60_000,
  });
  const entry = new EntryHarness(settings, undefined, overrides);
  const serve: RawAnswer = (socket, index, head) => {
    runs.set(pathOf(head), (runs.get(pathOf(head)) ?? 0) + 1);
    if (!isLeaving || departures.size > 0) {
      answer(socket, index, head);
      return;
    }
    held.push(() => answer(socket, index, head));
    if (held.length < CALLER_CONCURRENCY) return;
    departures.set(entry.origin, systemClock.nowMs());
    entry.callerServer.startDraining();
    void entry.callerServer.close();
    held.forEach((release) => release());
  };
  // Two servers have more permits than the caller has requests at a time.
  const backends = [new RawBackend(serve), new RawBackend(serve)];
  cleanups.push(
    () => backends.forEach((backend) => backend.close()),
    () => entry.dispose(),
  );
  const ports = await Promise.all(backends.map((backend) => backend.listen()));
  entry.route(
    's',
    ports.map((port) => backendServer(port)),
  );
  await entry.listen();
  const caller = new Caller(() => [entry.origin], 's');
  await caller.run(REQUEST_COUNT, 100);
  const checks = checkRequests(
    caller.outcomes,
    (path) => runs.get(path) ?? 0,
    (origin) => departures.get(origin),
  );
  return checks.filter(([, paths]) => paths !== '').map(([name]) => name);
};

describe('the judge of requests finds a broken safeguard', () => {
  CASES.forEach((each) =>
    it(`${each.property}: ${each.fault}`, async () => {
      expect(await findingsOf(each, {})).toEqual([]);
      expect(await findingsOf(each, each.injectFault())).toContain(each.expectedFinding);
    }),
  );
});

describe('the invariant check in the entry', () => {
  // A broken chooser returns a server that has said that it is leaving. The entry must not send the
  // request, must count the violation, and must tell the caller that the request did not run.
  it('prevents sending to a server that is leaving', async () => {
    const leaving = 'snipethread-leaving: true\r\n';
    const backend = new RawBackend((socket) => socket.write(wholeAnswer('whole', leaving)));
    const entry = new EntryHarness(entrySettings(), undefined, {
      chooser: { choose: (servers) => servers[0] },
    });
    cleanups.push(
      () => backend.close(),
      () => entry.dispose(),
    );
    entry.route('s', [backendServer(await backend.listen())]);
    await entry.listen();
    expect((await entry.call('/a')).text).toBe('whole');
    const refused = await entry.call('/b');
    expect([refused.statusCode, refused.headers['snipethread-work']]).toEqual([503, 'not-run']);
    expect(entry.brokenInvariants).toEqual(['invariant_sent_to_leaving_server']);
    expect(backend.requests).toHaveLength(1);
  });
});
