import { describe, expect, it } from 'vitest';

import { StepThrottle } from '../../common/fleet/stepThrottle.js';

/** Returns the share of ten seconds that steps take if each begins as soon as it may. */
const stepShare = (stepMs: number): number => {
  const throttle = new StepThrottle();
  let takenMs = 0;
  let nowMs = 0;
  while (nowMs < 10_000) {
    nowMs += throttle.waitMs(nowMs);
    throttle.noteStep(nowMs, nowMs + stepMs);
    nowMs += stepMs;
    takenMs += stepMs;
  }
  return takenMs / nowMs;
};

describe('StepThrottle', () => {
  it.each([1, 10, 60])('leaves most of the time to answers if a step takes %d ms', (stepMs) => {
    expect(stepShare(stepMs)).toBeLessThan(0.36);
    expect(stepShare(stepMs)).toBeGreaterThan(0.3);
  });

  it('lets each answer lead to a step at once if there are few answers', () => {
    const throttle = new StepThrottle();
    for (let nowMs = 0; nowMs < 1_000; nowMs += 20) {
      expect(throttle.waitMs(nowMs)).toBe(0);
      throttle.noteStep(nowMs, nowMs + 4);
    }
  });

  it('does not delay renewals for long after a long step', () => {
    const throttle = new StepThrottle();
    throttle.noteStep(0, 2_000);
    expect(throttle.waitMs(2_000)).toBeLessThanOrEqual(150);
    expect(throttle.waitMs(2_150)).toBe(0);
  });
});
