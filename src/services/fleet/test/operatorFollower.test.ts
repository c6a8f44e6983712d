import { isLeft, left, right } from 'fp-ts/lib/Either.js';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { CallGuard } from '../../errors/common/callGuard.js';
import { ErrorKind, failure } from '../../errors/common/errorKinds.js';
import { silentLog } from '../../log/common/log.js';
import { silentMetrics } from '../../metrics/common/metrics.js';
import { type FleetConfiguration, NO_OPERATOR_STATE } from '../common/fleetConfiguration.js';
import type { FleetDirectory, OperatorChanges } from '../common/fleetDirectory.js';
import { operatorTiming } from '../common/operatorTiming.js';
import { lookUpQueue } from '../common/queueLookup.js';
import { OperatorFollower } from '../node/operatorFollower.js';

const BOUND_MS = 2_000;
const TIMING = operatorTiming(BOUND_MS);
const LATENCY_MS = 10;
const QUEUE = {
  ...{ name: 'queue', host: 'host', pathPrefix: '/queue/', serviceName: 'service' },
  ...{ priority: 0, maximumAttempts: 0, objectiveStretch: 0, objectiveMs: 0, timeoutMs: 0 },
};
const CONFIGURATION: FleetConfiguration = {
  version: 1,
  queues: [QUEUE],
  services: [],
  limits: {
    ...{ maximumHeaderBytes: 1, maximumBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  },
};
const SNAPSHOT: OperatorChanges = {
  isSnapshot: true,
  changes: [{ kind: 'configuration', configuration: CONFIGURATION }],
  position: 1,
};

const delay = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** A store whose calls in flight get no answer once their connections are silent. */
class SilenceableDirectory implements FleetDirectory {
  readonly waitsMs: number[] = [];

  latencyMs = LATENCY_MS;

  readonly #inFlight = new Set<{ isSilent: boolean }>();

  silenceConnections(): void {
    this.#inFlight.forEach((call) => Object.assign(call, { isSilent: true }));
  }

  operatorChanges(afterPosition: number | undefined, waitMs: number, timeoutMs: number) {
    return async () => {
      this.waitsMs.push(waitMs);
      const call = { isSilent: false };
      this.#inFlight.add(call);
      const isSnapshot = afterPosition === undefined;
      const answerMs = this.latencyMs + (isSnapshot ? 0 : waitMs);
      await delay(answerMs);
      if (call.isSilent) await delay(timeoutMs - answerMs);
      this.#inFlight.delete(call);
      if (call.isSilent) return left(failure(ErrorKind.StoreUnavailable, 'no answer'));
      return right(isSnapshot ? SNAPSHOT : { isSnapshot, changes: [], position: 1 });
    };
  }

  workers() {
    return async () => right([]);
  }
}

describe('the follower of the operators', () => {
  let directory: SilenceableDirectory;
  let follower: OperatorFollower;
  const nowMs = (): number => performance.now();

  beforeEach(() => {
    vi.useFakeTimers();
    directory = new SilenceableDirectory();
    const clock = { nowMs };
    const guard = new CallGuard({ clock, log: silentLog, metrics: silentMetrics });
    follower = new OperatorFollower(directory, clock, silentLog, TIMING, guard);
  });

  afterEach(() => {
    follower.dispose();
    vi.useRealTimers();
  });

  /** Returns the greatest age within a time, sampled each millisecond. */
  const greatestAgeMs = async (durationMs: number): Promise<number> => {
    let greatestMs = 0;
    for (let passedMs = 0; passedMs < durationMs; passedMs += 1) {
      // eslint-disable-next-line no-await-in-loop -- one millisecond after the other
      await vi.advanceTimersByTimeAsync(1);
      greatestMs = Math.max(greatestMs, follower.ageMs(nowMs()));
    }
    return greatestMs;
  };

  it('confirms the state in time for answers when a connection turns silent at any moment', async () => {
    await vi.advanceTimersByTimeAsync(1_000);
    for (let phase = 0; phase < 40; phase += 1) {
      directory.silenceConnections();
      // eslint-disable-next-line no-await-in-loop -- one phase after the other
      const ageMs = await greatestAgeMs(2 * TIMING.callTimeoutMs + 13);
      expect(ageMs).toBeLessThanOrEqual(TIMING.maximumAgeMs);
    }
  });

  it('counts the age of a state from the sending of the call that confirmed it', async () => {
    await vi.advanceTimersByTimeAsync(LATENCY_MS + 1);
    expect(follower.ageMs(nowMs())).toBe(LATENCY_MS + 1);
  });

  it('does not wait in the call after one whose answer came late', async () => {
    await vi.advanceTimersByTimeAsync(1_000);
    directory.latencyMs = 400;
    const callCount = directory.waitsMs.length;
    await vi.advanceTimersByTimeAsync(2_000);
    expect(directory.waitsMs.slice(callCount)).toContain(0);
  });

  it('does not wait in the call after a failure, whose answer confirms the state', async () => {
    await vi.advanceTimersByTimeAsync(1_000);
    const callCount = directory.waitsMs.length;
    directory.silenceConnections();
    await vi.advanceTimersByTimeAsync(TIMING.callTimeoutMs);
    expect(directory.waitsMs[callCount]).toBe(0);
  });
});

describe('the queue of a request', () => {
  const answerAt = (path: string, ageMs: number): string => {
    const known = {
      state: { ...NO_OPERATOR_STATE, configuration: CONFIGURATION },
      confirmedAtMs: 0,
    };
    const found = lookUpQueue(known, 'host', path, TIMING.maximumAgeMs, ageMs);
    return isLeft(found) ? found.left.kind : found.right.name;
  };

  it('is told to be missing only by a recent configuration', () => {
    expect(answerAt('/other/', TIMING.maximumAgeMs)).toBe(ErrorKind.UnknownService);
    expect(answerAt('/other/', TIMING.maximumAgeMs + 1)).toBe(ErrorKind.ConfigurationUnknown);
  });

  it('is used only by a recent configuration', () => {
    expect(answerAt('/queue/', TIMING.maximumAgeMs)).toBe('queue');
    expect(answerAt('/queue/', TIMING.maximumAgeMs + 1)).toBe(ErrorKind.ConfigurationUnknown);
  });

  it('is unknown before the first configuration', () => {
    const known = { state: NO_OPERATOR_STATE, confirmedAtMs: 0 };
    const found = lookUpQueue(known, 'host', '/queue/', TIMING.maximumAgeMs, 0);
    expect(isLeft(found) && found.left.kind).toBe(ErrorKind.ConfigurationUnknown);
  });
});
