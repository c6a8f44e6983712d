import { describe, expect, it } from 'vitest';

import { RoundBudget } from '../../common/fleet/roundBudget.js';
import { StartRateLimiter } from '../../common/fleet/startRateLimiter.js';

const STEP_MS = 50;

/**
 * Returns the starts per second of steps that start as many tasks as the limiter allows, on a
 * processor that handles `capacityPerS` starts per second.
 */
const startsPerS = (limiter: StartRateLimiter, capacityPerS: number, seconds: number): number => {
  let backlog = 0;
  let started = 0;
  for (let nowMs = 0; nowMs < seconds * 1_000; nowMs += STEP_MS) {
    const answered = Math.min(backlog, (capacityPerS * STEP_MS) / 1_000);
    for (let count = 1; count <= answered; count += 1) limiter.noteAnswered();
    backlog -= answered;
    const lagMs = (backlog / capacityPerS) * 1_000;
    limiter.handleStep(nowMs - lagMs, nowMs);
    const count = limiter.allowance(nowMs);
    limiter.take(count);
    backlog += count;
    started += count;
  }
  return started / seconds;
};

/** Starts as many tasks as the limiter allows and answers all of them. */
const startAll = (limiter: StartRateLimiter, nowMs: number): void => {
  const count = limiter.allowance(nowMs);
  limiter.take(count);
  for (let answered = 0; answered < count; answered += 1) limiter.noteAnswered();
};

describe('StartRateLimiter', () => {
  it('settles near the rate of starts that the processor can handle', () => {
    const limiter = new StartRateLimiter();
    expect(startsPerS(limiter, 100, 20)).toBeGreaterThan(80);
    expect(startsPerS(new StartRateLimiter(), 1_500, 20)).toBeGreaterThan(1_000);
  });

  it('does not raise the limit while there is nothing to start', () => {
    const limiter = new StartRateLimiter();
    const beforePerS = limiter.limitPerS;
    for (let nowMs = 0; nowMs < 10_000; nowMs += STEP_MS) limiter.handleStep(nowMs, nowMs);
    expect(limiter.limitPerS).toBe(beforePerS);
  });

  it('does not cut the limit for waves of answers that the processor handles between them', () => {
    const limiter = new StartRateLimiter();
    const beforePerS = limiter.limitPerS;
    for (let nowMs = 0; nowMs < 10_000; nowMs += STEP_MS) {
      const lagMs = nowMs % 1_500 < 200 ? 180 : 5;
      limiter.handleStep(nowMs - lagMs, nowMs);
      startAll(limiter, nowMs);
    }
    expect(limiter.limitPerS).toBeGreaterThan(beforePerS);
  });

  it('soon restores the limit of an owner that spent its first seconds on other calls', () => {
    const limiter = new StartRateLimiter();
    const beforePerS = limiter.limitPerS;
    let nowMs = 0;
    for (; nowMs < 3_000; nowMs += STEP_MS) {
      limiter.handleStep(nowMs - 300, nowMs);
      limiter.take(limiter.allowance(nowMs));
    }
    for (; nowMs < 6_000; nowMs += STEP_MS) {
      limiter.handleStep(nowMs, nowMs);
      startAll(limiter, nowMs);
    }
    expect(limiter.limitPerS).toBeGreaterThan(beforePerS);
  });

  it('cuts the limit once for a process that was frozen, and soon restores it', () => {
    const limiter = new StartRateLimiter();
    const beforePerS = limiter.limitPerS;
    limiter.handleStep(0, 5_000);
    expect(limiter.limitPerS).toBeGreaterThan(beforePerS / 2);
    let nowMs = 5_000;
    for (; nowMs < 12_000; nowMs += STEP_MS) {
      limiter.handleStep(nowMs, nowMs);
      startAll(limiter, nowMs);
    }
    expect(limiter.limitPerS).toBeGreaterThan(beforePerS);
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
