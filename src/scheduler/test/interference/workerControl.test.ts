import { describe, expect, it } from 'vitest';

import { settingsSchema } from '../../../services/settings/common/settings.js';
import {
  initialInterference,
  type InterferenceState,
  type WorkerControl,
} from '../../common/interference/interferenceState.js';
import { withLearntSample } from '../../common/interference/learning.js';
import { controlStep, observedControl } from '../../common/interference/workerControl.js';
import type { BatchLoad, WorkerLoad } from '../../common/interference/workerLoad.js';

const POLICY = settingsSchema.shape.scheduler.parse({}).interference;
const BASE_MS = 20;
const SECOND_MS = 1_000;

const task = (key: string, kind: string, more: Partial<BatchLoad> = {}): BatchLoad => ({
  key,
  kind,
  declaredShare: 0.1,
  usedShare: 0.1,
  processorShare: 1,
  unsavedWorkMs: 1_000,
  ...more,
});

const loadOf = (...batch: readonly BatchLoad[]): WorkerLoad => ({
  serviceNames: ['rounds'],
  batch,
});

const sample = (meanLatencyMs: number, nowMs: number) => ({
  workerId: 'w0',
  serviceName: 'rounds',
  requestCount: 60,
  meanLatencyMs,
  startedAtMs: nowMs,
  endedAtMs: nowMs,
});

/**
 * A state that has learnt that a worker full of `cache` adds `pressure` times the base latency and
 * that `quiet` adds none.
 */
const stateWithPressure = (pressure: number): InterferenceState => {
  let state = initialInterference(POLICY, 0);
  for (let nowMs = 0; nowMs < 60 * SECOND_MS; nowMs += SECOND_MS) {
    state = withLearntSample(state, sample(BASE_MS, nowMs), loadOf(task('a', 'quiet')), nowMs);
    const beside = loadOf(task('a', 'quiet'), task('b', 'cache'));
    const latencyMs = BASE_MS * (1 + 0.1 * pressure);
    state = withLearntSample(state, sample(latencyMs, nowMs), beside, nowMs);
  }
  return state;
};

const KNOWN_AT_MS = 60 * SECOND_MS;

const step = (
  interference: InterferenceState,
  control: WorkerControl,
  load: WorkerLoad,
  nowMs: number,
) => controlStep(interference, control, load, POLICY, true, true, nowMs);

describe('a worker where batch work slows a service', () => {
  it('throttles only the harmful task', () => {
    const load = loadOf(task('a', 'quiet'), task('b', 'cache'));
    const control = observedControl(undefined, load, KNOWN_AT_MS);
    const { control: after, evictedKey } = step(stateWithPressure(3), control, load, KNOWN_AT_MS);
    expect(evictedKey).toBeUndefined();
    expect(after.shares.get('a')).toBe(1);
    expect(after.shares.get('b')).toBeLessThan(1);
    expect(after.shares.get('b')).toBeGreaterThanOrEqual(POLICY.minimumProcessorShare);
  });

  // Throttling is not enough. The tasks are throttled first. One of them is evicted only after
  // throttling has been insufficient for the configured time, and no second one before the first
  // action has settled.
  it('evicts a task only after throttling has been insufficient', () => {
    const interference = stateWithPressure(30);
    const load = loadOf(task('a', 'cache'), task('b', 'cache'));
    let control = observedControl(undefined, load, KNOWN_AT_MS);
    const evictedAtMs: number[] = [];
    for (let nowMs = KNOWN_AT_MS; nowMs < KNOWN_AT_MS + 22 * SECOND_MS; nowMs += SECOND_MS) {
      const next = step(interference, control, load, nowMs);
      control = next.control;
      if (next.evictedKey !== undefined) evictedAtMs.push(nowMs);
    }
    expect([...control.shares.values()]).toEqual([0.25, 0.25]);
    expect(evictedAtMs).toHaveLength(1);
    expect(evictedAtMs[0]).toBeGreaterThanOrEqual(KNOWN_AT_MS + POLICY.evictAfterMs);
  });

  it('evicts the task that loses the least work among those that suffice', () => {
    const interference = stateWithPressure(8);
    const load = loadOf(
      task('expensive', 'cache', { unsavedWorkMs: 50_000 }),
      task('cheap', 'cache', { unsavedWorkMs: 2_000 }),
      task('harmless', 'quiet', { unsavedWorkMs: 0 }),
    );
    const shares = new Map([
      ['expensive', 0.25],
      ['cheap', 0.25],
      ['harmless', 1],
    ]);
    const control = {
      ...observedControl(undefined, load, 0),
      shares,
      throttlingInsufficientSinceMs: KNOWN_AT_MS - POLICY.evictAfterMs,
    };
    expect(step(interference, control, load, KNOWN_AT_MS).evictedKey).toBe('cheap');
  });

  it('evicts nothing while the maximum number of evictions is pending', () => {
    const interference = stateWithPressure(30);
    const load = loadOf(task('a', 'cache'));
    const control = {
      ...observedControl(undefined, load, 0),
      shares: new Map([['a', POLICY.minimumProcessorShare]]),
      throttlingInsufficientSinceMs: 0,
    };
    const next = controlStep(interference, control, load, POLICY, true, false, KNOWN_AT_MS);
    expect(next.evictedKey).toBeUndefined();
  });

  // Latencies arrive seconds late. A controller that reacted to each late sample would throttle
  // until the first good sample arrived, release until the first bad one arrived, and so on. In
  // this test, the effect of the task stays the same for five minutes, samples arrive five seconds
  // late with noise, and only those that began after the last change are learnt from.
  it('does not oscillate although samples arrive late', () => {
    const LAG_MS = 5 * SECOND_MS;
    const latencyMsAt = (share: number): number => BASE_MS * (1 + 0.1 * 10 * (0.2 + 0.8 * share));
    let interference = initialInterference(POLICY, 0);
    let load = loadOf(task('a', 'cache'));
    let control = observedControl(undefined, load, 0);
    const pendingSamples: { readonly atMs: number; readonly latencyMs: number }[] = [];
    const shares: number[] = [];
    const estimated: number[] = [];
    for (let nowMs = 0; nowMs < 300 * SECOND_MS; nowMs += SECOND_MS) {
      const share = load.batch[0]?.processorShare ?? 1;
      const noise = 1 + 0.08 * Math.sin(nowMs * 1.7);
      pendingSamples.push({ atMs: nowMs, latencyMs: latencyMsAt(share) * noise });
      // Another worker shows the service without batch work.
      const alone = { serviceNames: ['rounds'], batch: [] };
      interference = withLearntSample(interference, sample(BASE_MS * noise, nowMs), alone, nowMs);
      const [oldest] = pendingSamples;
      if (oldest !== undefined && nowMs - oldest.atMs >= LAG_MS) {
        pendingSamples.shift();
        const isNew = oldest.atMs >= control.changedAtMs;
        const delayedSample = sample(oldest.latencyMs, nowMs);
        if (isNew) interference = withLearntSample(interference, delayedSample, load, nowMs);
      }
      control = step(interference, control, load, nowMs).control;
      const granted = control.shares.get('a') ?? 1;
      load = loadOf(task('a', 'cache', { processorShare: granted, usedShare: 0.1 * granted }));
      control = observedControl(control, load, nowMs);
      shares.push(granted);
      const pressure = interference.estimates.pressure('rounds', 'cache', 0, nowMs);
      estimated.push(0.1 * (pressure.byUse + pressure.byPresence));
    }
    const raises = shares.filter(
      (share, index) => index > 0 && share > (shares[index - 1] ?? share),
    );
    expect(shares[shares.length - 1]).toBeLessThan(1);
    expect(Math.max(...estimated)).toBeLessThan(1.5);
    expect(raises.length).toBeLessThanOrEqual(2);
  });

  it('waits after an action until samples can show its effect', () => {
    const interference = stateWithPressure(3);
    const load = loadOf(task('a', 'cache'));
    const control = { ...observedControl(undefined, load, 0), actedAtMs: KNOWN_AT_MS - 1_000 };
    const early = step(interference, control, load, KNOWN_AT_MS).control;
    expect(early.shares.get('a')).toBe(1);
    const settledAtMs = KNOWN_AT_MS - 1_000 + POLICY.settleMs;
    const late = step(interference, control, load, settledAtMs).control;
    expect(late.shares.get('a')).toBeLessThan(1);
  });

  // Between the two limits nothing changes, so that a slowdown near one of them does not cause
  // alternate throttling and releasing.
  it('releases a throttle only if the slowdown stays below the release limit', () => {
    const load = loadOf(task('a', 'cache', { processorShare: 0.5 }));
    const control = observedControl(undefined, load, 0);
    const betweenLimits = step(stateWithPressure(1.5), control, load, KNOWN_AT_MS).control;
    expect(betweenLimits.shares.get('a')).toBe(0.5);
    const belowRelease = step(stateWithPressure(0.5), control, load, KNOWN_AT_MS).control;
    expect(belowRelease.shares.get('a')).toBe(1);
  });
});
