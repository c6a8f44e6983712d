import { describe, expect, it } from 'vitest';

import { StoreCircuitBreaker } from '../common/storeCircuitBreaker.js';

describe('the circuit breaker of the store', () => {
  it('allows every call while the store answers', () => {
    const breaker = new StoreCircuitBreaker();
    expect([0, 1, 2].every((nowMs) => breaker.allowCall(nowMs))).toBe(true);
  });

  it('allows one call per 400 ms while the store is silent, and every call once it answers', () => {
    const breaker = new StoreCircuitBreaker();
    breaker.recordSilence(1_000);
    const allowedAtMs = Array.from({ length: 200 }, (_, index) => 1_000 + index * 10).filter(
      (nowMs) => breaker.allowCall(nowMs),
    );
    expect(allowedAtMs).toEqual([1_400, 1_800, 2_200, 2_600]);
    breaker.recordAnswer();
    expect(breaker.allowCall(2_700)).toBe(true);
  });
});
