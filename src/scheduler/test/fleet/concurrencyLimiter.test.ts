import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { ConcurrencyLimiter } from '../../node/concurrencyLimiter.js';

describe('ConcurrencyLimiter', () => {
  beforeEach(() => vi.useFakeTimers());
  afterEach(() => vi.useRealTimers());

  it('lets a limited number of calls run at a time, in the order of their requests', async () => {
    const limiter = new ConcurrencyLimiter(2, 150);
    const begun: number[] = [];
    const ends: (() => void)[] = [];
    [0, 1, 2, 3].forEach((call) => {
      void limiter.acquire().then((end) => {
        begun.push(call);
        ends.push(end);
      });
    });
    await vi.advanceTimersByTimeAsync(0);
    expect(begun).toEqual([0, 1]);
    ends[0]?.();
    ends[0]?.();
    await vi.advanceTimersByTimeAsync(0);
    expect(begun).toEqual([0, 1, 2]);
  });

  it('lets the next call begin when a call has had no answer for too long', async () => {
    const limiter = new ConcurrencyLimiter(1, 150);
    const begun: number[] = [];
    [0, 1].forEach((call) => void limiter.acquire().then(() => begun.push(call)));
    await vi.advanceTimersByTimeAsync(149);
    expect(begun).toEqual([0]);
    await vi.advanceTimersByTimeAsync(1);
    expect(begun).toEqual([0, 1]);
  });
});
