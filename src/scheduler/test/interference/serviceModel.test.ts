import { describe, expect, it } from 'vitest';

import { PairEstimates } from '../../common/interference/pairEstimates.js';

const HALF_LIFE_MS = 150_000;
const BASE_MS = 20;
const SERVICE = 'rounds';

/** An observation beside unthrottled batch work that uses these shares of the processors. */
const observed = (latencyMs: number, used: Readonly<Record<string, number>>) => ({
  latencyMs,
  requestCount: 50,
  exposures: new Map(
    Object.entries(used).map(([kind, share]) => [kind, { used: share, wanted: share }]),
  ),
});

const slowdown = (estimates: PairEstimates, kind: string, nowMs: number): number => {
  const { byUse, byPresence } = estimates.pressure(SERVICE, kind, 0, nowMs);
  return byUse + byPresence;
};

/** The estimates after `count` observations, one per second, repeating the list. */
const estimatesAfter = (
  observations: readonly ReturnType<typeof observed>[],
  count: number,
  before = new PairEstimates(HALF_LIFE_MS),
  startMs = 0,
): PairEstimates =>
  Array.from({ length: count }).reduce<PairEstimates>(
    (estimates, _, index) =>
      estimates.withObservation(
        SERVICE,
        observations[index % observations.length] ?? observed(BASE_MS, {}),
        startMs + index * 1_000,
      ),
    before,
  );

describe('pair estimates', () => {
  it('distinguish a harmful kind from the one beside it', () => {
    const estimates = estimatesAfter(
      [
        observed(BASE_MS, {}),
        observed(BASE_MS, { quiet: 0.3 }),
        observed(BASE_MS * 1.4, { cache: 0.2, quiet: 0.3 }),
      ],
      60,
    );
    expect(estimates.baseLatencyMs(SERVICE)).toBeCloseTo(BASE_MS, 0);
    expect(slowdown(estimates, 'cache', 60_000)).toBeGreaterThan(1.6);
    expect(slowdown(estimates, 'cache', 60_000)).toBeLessThan(2.4);
    expect(slowdown(estimates, 'quiet', 60_000)).toBeLessThan(0.2);
  });

  // Two kinds run only together at first, so the slowdown is attributed to both. Once a worker runs
  // one of them alone without a slowdown, the slowdown must be attributed to the other. Otherwise
  // the first kind would be throttled forever without cause.
  it('clear a kind that was blamed for the slowdown of another', () => {
    const together = estimatesAfter(
      [observed(BASE_MS, {}), observed(BASE_MS * 1.4, { cache: 0.2, quiet: 0.2 })],
      40,
    );
    expect(slowdown(together, 'quiet', 40_000)).toBeGreaterThan(0.5);
    const apart = estimatesAfter([observed(BASE_MS, { quiet: 0.2 })], 10, together, 40_000);
    expect(slowdown(apart, 'quiet', 50_000)).toBeLessThan(0.2);
    expect(slowdown(apart, 'cache', 50_000)).toBeGreaterThan(1.5);
  });

  it('detect a kind that begins to slow the service', () => {
    const before = estimatesAfter(
      [observed(BASE_MS, {}), observed(BASE_MS, { shifting: 0.2 })],
      60,
    );
    expect(slowdown(before, 'shifting', 60_000)).toBeLessThan(0.2);
    const after = estimatesAfter(
      [observed(BASE_MS, {}), observed(BASE_MS * 1.5, { shifting: 0.2 })],
      30,
      before,
      60_000,
    );
    expect(slowdown(after, 'shifting', 90_000)).toBeGreaterThan(2);
  });

  // A throttle removes only a part of the slowdown. The samples taken under it must separate the
  // effect of usage from that of presence. Otherwise throttling would be tried forever where it
  // cannot help.
  it('separate the slowdown that throttling removes from the rest', () => {
    const throttled = {
      latencyMs: BASE_MS * 1.36,
      requestCount: 50,
      exposures: new Map([['disk', { used: 0.05, wanted: 0.2 }]]),
    };
    const estimates = estimatesAfter(
      [observed(BASE_MS, {}), observed(BASE_MS * 1.4, { disk: 0.2 }), throttled],
      90,
    );
    const { byUse, byPresence } = estimates.pressure(SERVICE, 'disk', 0, 90_000);
    expect(byPresence).toBeGreaterThan(2 * byUse);
  });

  // One measurement is wrong by a factor of a hundred, for example after a pause of the entry. If
  // it counted fully, all batch work beside the service would be throttled.
  it('limit the effect of an outlier and ignore an impossible sample', () => {
    const before = estimatesAfter([observed(BASE_MS, {}), observed(BASE_MS, { quiet: 0.3 })], 60);
    const wrong = before.withObservation(SERVICE, observed(100 * BASE_MS, { quiet: 0.3 }), 60_000);
    expect(0.3 * slowdown(wrong, 'quiet', 60_000)).toBeLessThan(0.5);
    const later = estimatesAfter([observed(BASE_MS, { quiet: 0.3 })], 10, wrong, 61_000);
    expect(0.3 * slowdown(later, 'quiet', 71_000)).toBeLessThan(0.1);
    [Number.NaN, Number.POSITIVE_INFINITY, -1, 0].forEach((latencyMs) =>
      expect(before.withObservation(SERVICE, observed(latencyMs, {}), 61_000)).toBe(before),
    );
  });

  it('decay when no sample confirms them', () => {
    const estimates = estimatesAfter(
      [observed(BASE_MS, {}), observed(BASE_MS * 1.4, { cache: 0.2 })],
      60,
    );
    const now = slowdown(estimates, 'cache', 60_000);
    const later = slowdown(estimates, 'cache', 59_000 + HALF_LIFE_MS);
    expect(later).toBeLessThan(0.55 * now);
  });

  // A kind with a varying load is quiet between its waves. Placed beside a service then, it would
  // slow the service in the next wave. The model therefore keeps the highest recent value beside
  // the current one.
  it('remember the highest slowdown of a kind whose load comes in waves', () => {
    const wave = estimatesAfter(
      [observed(BASE_MS, {}), observed(BASE_MS * 1.6, { noisy: 0.2 })],
      40,
    );
    const calm = estimatesAfter(
      [observed(BASE_MS, {}), observed(BASE_MS, { noisy: 0.2 })],
      40,
      wave,
      40_000,
    );
    expect(slowdown(calm, 'noisy', 80_000)).toBeLessThan(0.4);
    expect(calm.worstSlowdown(SERVICE, 'noisy', 0.2, 80_000)).toBeGreaterThan(0.3);
  });
});
