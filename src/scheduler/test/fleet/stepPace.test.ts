import { describe, expect, it } from 'vitest';

import { StepPace } from '../../common/fleet/stepPace.js';

/** Returns the share of ten seconds that steps take if each begins as soon as it may. */
const shareOf = (stepMs: number): number => {
  const pace = new StepPace();
  let takenMs = 0;
  let nowMs = 0;
  while (nowMs < 10_000) {
    nowMs += pace.waitMs(nowMs);
    pace.note(nowMs, nowMs + stepMs);
    nowMs += stepMs;
    takenMs += stepMs;
  }
  return takenMs / nowMs;
};

describe('StepPace', () => {
  it.each([1, 10, 60])('leaves most of the time to answers if a step takes %d ms', (stepMs) => {
    expect(shareOf(stepMs)).toBeLessThan(0.36);
    expect(shareOf(stepMs)).toBeGreaterThan(0.3);
  });

  it('lets each answer lead to a step at once if there are few answers', () => {
    const pace = new StepPace();
    for (let nowMs = 0; nowMs < 1_000; nowMs += 20) {
      expect(pace.waitMs(nowMs)).toBe(0);
      pace.note(nowMs, nowMs + 4);
    }
  });

  it('does not delay renewals for long after a long step', () => {
    const pace = new StepPace();
    pace.note(0, 2_000);
    expect(pace.waitMs(2_000)).toBeLessThanOrEqual(150);
    expect(pace.waitMs(2_150)).toBe(0);
  });
});
