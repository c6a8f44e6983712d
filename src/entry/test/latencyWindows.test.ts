import { describe, expect, it } from 'vitest';

import { LatencyWindows } from '../common/latencyWindows.js';

describe('latency windows', () => {
  it('tell a mean for each server, from when its first request was sent', () => {
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

  // Where the process has no scheduler nobody takes the samples, while workers come and go for
  // months. The records must not pile up.
  it('stay bounded when nobody takes them', () => {
    const windows = new LatencyWindows();
    for (let index = 0; index < 6_000; index += 1) windows.note(`w${index}`, 'rounds', 1, index);
    expect(windows.takeSamples(7_000)).toHaveLength(5_000);
  });
});
