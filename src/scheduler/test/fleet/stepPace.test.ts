import { describe, expect, it } from 'vitest';

import { StepPace } from '../../common/fleet/stepPace.js';

/** Returns the share of ten seconds that steps take if each begins as soon as it may. */
const stepShare = (stepMs: number): number => {
  const throttle = new StepPace();
  let takenMs = 0;
  let nowMs = 0;
  while (nowMs < 10_000) {
    nowMs += throttle.waitMs(nowMs);
    throttle.note(nowMs, nowMs + stepMs);
    nowMs += stepMs;
    takenMs += stepMs;
  }
  return takenMs / nowMs;
};

describe('StepPace', () => {
  it.each([1, 10, 60])('leaves most of the time to answers if a step takes %d ms', (stepMs) => {
    expect(stepShare(stepMs)).toBeLessThan(0.36);
    expect(stepShare(stepMs)).toBeGreaterThan(0.3);
  });

  it('lets each answer lead to a step at once if there are few answers', () => {
    const throttle = new StepPace();
    for (let nowMs = 0; nowMs < 1_000; nowMs += 20) {
      expect(throttle.waitMs(nowMs)).toBe(0);
      throttle.note(nowMs, nowMs + 4);
    }
  });

  it('does not delay renewals for long after a long step', () => {
    const throttle = new StepPace();
    throttle.note(0, 2_000);
    expect(throttle.waitMs(2_000)).toBeLessThanOrEqual(150);
    expect(throttle.waitMs(2_150)).toBe(0);
  });
});
