import { describe, expect, it } from 'vitest';

import { RoundBudget } from '../../common/fleet/roundBudget.js';
import { StartPace } from '../../common/fleet/startPace.js';

const STEP_MS = 50;

/**
 * Returns the starts per second of steps that start as many tasks as the limiter allows, on a
 * processor that handles `carriedPerS` starts per second.
 */
const startsAt = (pace: StartPace, carriedPerS: number, seconds: number): number => {
  let backlog = 0;
  let started = 0;
  for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += STEP_MS) {
    const answered = Math.min(backlog, (carriedPerS * STEP_MS) / 1_000);
    for (let count = 1; count <= answered; count += 1) pace.noteAnswered();
    backlog -= answered;
    const lateMs = (backlog / carriedPerS) * 1_000;
    pace.handleStep(nowMs - lateMs, nowMs);
    const count = pace.allowance(nowMs);
    pace.take(count);
    backlog += count;
    started += count;
  }
  return started / seconds;
};

/** Starts as many tasks as the limiter allows and answers all of them. */
const startAll = (pace: StartPace, nowMs: number): void => {
  const count = pace.allowance(nowMs);
  pace.take(count);
  for (let answered = 0; answered < count; answered += 1) pace.noteAnswered();
};

describe('StartPace', () => {
  it('settles near the rate of starts that the processor can handle', () => {
    const pace = new StartPace();
    expect(startsAt(pace, 100, 20)).toBeGreaterThan(80);
    expect(startsAt(new StartPace(), 1_500, 20)).toBeGreaterThan(1_000);
  });

  it('does not raise the limit while there is nothing to start', () => {
    const pace = new StartPace();
    const beforePerS = pace.limitPerS;
    for (let nowMs = 0; nowMs < 10_000; nowMs += STEP_MS) pace.handleStep(nowMs, nowMs);
    expect(pace.limitPerS).toBe(beforePerS);
  });

  it('does not cut the limit for waves of answers that the processor handles between them', () => {
    const pace = new StartPace();
    const beforePerS = pace.limitPerS;
    for (let nowMs = 0; nowMs < 10_000; nowMs += STEP_MS) {
      const lateMs = nowMs % 1_500 < 200 ? 180 : 5;
      pace.handleStep(nowMs - lateMs, nowMs);
      startAll(pace, nowMs);
    }
    expect(pace.limitPerS).toBeGreaterThan(beforePerS);
  });

  it('soon restores the limit of an owner that spent its first seconds on other calls', () => {
    const pace = new StartPace();
    const beforePerS = pace.limitPerS;
    let nowMs = 0;
    for (; nowMs < 3_000; nowMs += STEP_MS) {
      pace.handleStep(nowMs - 300, nowMs);
      pace.take(pace.allowance(nowMs));
    }
    for (; nowMs < 6_000; nowMs += STEP_MS) {
      pace.handleStep(nowMs, nowMs);
      startAll(pace, nowMs);
    }
    expect(pace.limitPerS).toBeGreaterThan(beforePerS);
  });

  it('cuts the limit once for a process that was frozen, and soon restores it', () => {
    const pace = new StartPace();
    const beforePerS = pace.limitPerS;
    pace.handleStep(0, 5_000);
    expect(pace.limitPerS).toBeGreaterThan(beforePerS / 2);
    let nowMs = 5_000;
    for (; nowMs < 12_000; nowMs += STEP_MS) {
      pace.handleStep(nowMs, nowMs);
      startAll(pace, nowMs);
    }
    expect(pace.limitPerS).toBeGreaterThan(beforePerS);
  });
});

describe('RoundBudget', () => {
  it('allows fewer ratings if they take longer, but never less than a minimum', () => {
    const budget = new RoundBudget();
    const before = budget.ratingLimit;
    for (let count = 0; count < 50; count += 1) budget.note(10_000, 0, 100);
    expect(budget.ratingLimit).toBeLessThan(before / 5);
    for (let count = 0; count < 50; count += 1) budget.note(1_000, 0, 10_000);
    expect(budget.ratingLimit).toBe(500);
  });
});
