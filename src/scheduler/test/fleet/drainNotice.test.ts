import { describe, expect, it } from 'vitest';

import { DrainNotice } from '../../common/fleet/drainNotice.js';

const REPORT_INTERVAL_MS = 1_500;

const draining = (remainingMs?: number, incarnation = 1) => ({
  isDraining: true,
  incarnation,
  ...(remainingMs === undefined ? {} : { remainingMs }),
});
const READY = { isDraining: false, incarnation: 1 };

const staysUntilMs = (
  ...readings: readonly (readonly [number, Parameters<DrainNotice['update']>[0]])[]
): number | undefined => {
  const notice = new DrainNotice();
  readings.forEach(([readAtMs, entry]) => notice.update(entry, REPORT_INTERVAL_MS, readAtMs));
  return notice.staysUntilMs;
};

describe('the earliest time at which a draining worker leaves', () => {
  it('is unknown if the worker is not draining or reports no remaining time', () => {
    expect(staysUntilMs([10_000, READY])).toBeUndefined();
    expect(staysUntilMs([10_000, draining()])).toBeUndefined();
  });

  it('counts from one report interval before the first read', () => {
    expect(staysUntilMs([10_000, draining(4_000)])).toBe(12_500);
  });

  it('counts from the previous read if that showed an older report', () => {
    expect(staysUntilMs([10_000, READY], [11_000, draining(4_000)])).toBe(14_000);
  });

  it('is not postponed by reading the same report again', () => {
    const readings = [10_000, 11_000, 12_000].map((atMs) => [atMs, draining(4_000)] as const);
    expect(staysUntilMs([9_000, READY], ...readings)).toBe(13_000);
  });

  it('is the latest time of all reports', () => {
    expect(
      staysUntilMs([10_000, READY], [11_000, draining(4_000)], [12_000, draining(3_900)]),
    ).toBe(14_900);
    expect(
      staysUntilMs([10_000, READY], [11_000, draining(4_000)], [12_000, draining(2_000)]),
    ).toBe(14_000);
  });

  it('is kept if later reports contain no remaining time', () => {
    expect(staysUntilMs([10_000, READY], [11_000, draining(4_000)], [12_000, draining()])).toBe(
      14_000,
    );
  });

  it('is not carried over to a new process of the worker', () => {
    expect(
      staysUntilMs([10_000, draining(9_000)], [11_000, draining(4_000, 2)], [11_500, READY]),
    ).toBeUndefined();
    expect(staysUntilMs([10_000, draining(9_000)], [11_000, draining(4_000, 2)])).toBe(13_500);
  });

  it('ignores an earlier read whose response arrives late', () => {
    expect(
      staysUntilMs([10_000, READY], [12_000, draining(2_500)], [11_000, draining(3_500)]),
    ).toBe(13_000);
  });
});
