import { describe, expect, it } from 'vitest';

import { SeededRandom } from '../../base/common/random.js';
import { settingsSchema } from '../../services/settings/common/settings.js';
import { Admission } from '../common/admission.js';
import { ServerVerdict } from '../common/admissionDecision.js';
import { LatencyWindows } from '../common/latencyWindows.js';
import { LatencyWeightedOfTwo } from '../common/serverChoice.js';

describe('latency windows', () => {
  it('report a mean for each server and the time at which its first request was sent', () => {
    const windows = new LatencyWindows();
    windows.note('w1', 'rounds', 30, 1_000);
    windows.note('w1', 'rounds', 50, 1_010);
    windows.note('w2', 'rounds', 10, 1_020);
    const [first, second] = windows.takeSamples(2_000);
    expect(first).toEqual({
      workerId: 'w1',
      serviceName: 'rounds',
      requestCount: 2,
      meanLatencyMs: 40,
      startedAtMs: 960,
      endedAtMs: 2_000,
    });
    expect(second).toMatchObject({ workerId: 'w2', requestCount: 1, startedAtMs: 1_010 });
    expect(windows.takeSamples(3_000)).toEqual([]);
  });

  it('contain the latencies of successful attempts and not of failures', () => {
    const random = new SeededRandom(1);
    const settings = settingsSchema.shape.entry.parse({});
    const admission = new Admission(settings, new LatencyWeightedOfTwo(random), random);
    const server = {
      workerId: 'w1',
      origin: 'http://w1',
      availabilityZone: 'zone-a',
      slotCount: 8,
      connectionCount: 64,
    };
    admission.updateRoutes(new Map([['rounds', [server]]]), () => 'urgent', 1);
    const waiting = {
      callerId: '',
      deadlineAtMs: 1e9,
      waitingSinceMs: 0,
      avoidedWorkerId: undefined,
    };
    [ServerVerdict.Success, ServerVerdict.Failure].forEach((verdict) => {
      const decision = admission.admit('rounds', waiting, 100);
      if (decision.kind !== 'admitted') throw new Error('not admitted');
      const outcome = { latencyMs: 40, verdict, isServerLeaving: false };
      admission.finish('rounds', decision.server, outcome, 140);
    });
    const samples = admission.latencyWindows.takeSamples(200);
    expect(samples).toHaveLength(1);
    expect(samples[0]).toMatchObject({ workerId: 'w1', requestCount: 1, startedAtMs: 100 });
  });

  // In a process without a scheduler nobody takes the samples, while workers come and go for
  // months. The number of windows must stay limited.
  it('stay limited in number when nobody takes the samples', () => {
    const windows = new LatencyWindows();
    for (let index = 0; index < 6_000; index += 1) windows.note(`w${index}`, 'rounds', 1, index);
    expect(windows.takeSamples(7_000)).toHaveLength(5_000);
  });
});
