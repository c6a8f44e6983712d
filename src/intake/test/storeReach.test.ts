import { describe, expect, it } from 'vitest';

import { StoreReach } from '../common/storeReach.js';

describe('the circuit breaker of the store', () => {
  it('allows every call while the store answers', () => {
    const reach = new StoreReach();
    expect([0, 1, 2].every((nowMs) => reach.mayTry(nowMs))).toBe(true);
  });

  it('allows one call per 400 ms while the store is silent, and every call once it answers', () => {
    const reach = new StoreReach();
    reach.noteSilence(1_000);
    const tried = Array.from({ length: 200 }, (_, index) => 1_000 + index * 10).filter((nowMs) =>
      reach.mayTry(nowMs),
    );
    expect(tried).toEqual([1_400, 1_800, 2_200, 2_600]);
    reach.noteAnswer();
    expect(reach.mayTry(2_700)).toBe(true);
  });
});
