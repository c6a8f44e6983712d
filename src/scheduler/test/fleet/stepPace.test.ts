import { describe, expect, it } from 'vitest';

import { StepPace } from '../../common/fleet/stepPace.js';

describe('the pace of steps', () => {
  it('leaves two thirds of the time to answers, however long a step takes', () => {
    const pace = new StepPace();
    expect(pace.waitMs(0)).toBe(0);
    pace.note(0, 30);
    expect(pace.waitMs(30)).toBe(60);
    expect(pace.waitMs(100)).toBe(0);
  });

  it('gathers answers where steps are short', () => {
    const pace = new StepPace();
    pace.note(0, 0.2);
    expect(pace.waitMs(0.2)).toBe(10);
  });

  it('does not put renewals off for long after one long step', () => {
    const pace = new StepPace();
    pace.note(0, 400);
    expect(pace.waitMs(400)).toBeLessThanOrEqual(150);
  });
});
