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
  ...readings: readonly (readonly [number, Parameters<DrainNotice['note']>[0]])[]
): number | undefined => {
  const notice = new DrainNotice();
  readings.forEach(([readAtMs, entry]) => notice.note(entry, REPORT_INTERVAL_MS, readAtMs));
  return notice.staysUntilMs;
};

describe('the time for which a worker that drains surely goes on', () => {
  it('is not known of a worker that does not drain, or does not tell', () => {
    expect(staysUntilMs([10_000, READY])).toBeUndefined();
    expect(staysUntilMs([10_000, draining()])).toBeUndefined();
  });

  it('counts from a report interval before the first reading', () => {
    expect(staysUntilMs([10_000, draining(4_000)])).toBe(12_500);
  });

  it('counts from the reading before, which showed another report', () => {
    expect(staysUntilMs([10_000, READY], [11_000, draining(4_000)])).toBe(14_000);
  });

  it('is not put off by reading the same report again', () => {
    const readings = [10_000, 11_000, 12_000].map((atMs) => [atMs, draining(4_000)] as const);
    expect(staysUntilMs([9_000, READY], ...readings)).toBe(13_000);
  });

  it('is the latest that any report tells', () => {
    expect(
      staysUntilMs([10_000, READY], [11_000, draining(4_000)], [12_000, draining(3_900)]),
    ).toBe(14_900);
    expect(
      staysUntilMs([10_000, READY], [11_000, draining(4_000)], [12_000, draining(2_000)]),
    ).toBe(14_000);
  });

  it('stands while later reports do not tell it', () => {
    expect(staysUntilMs([10_000, READY], [11_000, draining(4_000)], [12_000, draining()])).toBe(
      14_000,
    );
  });

  it('is not taken over by another process of the worker', () => {
    expect(
      staysUntilMs([10_000, draining(9_000)], [11_000, draining(4_000, 2)], [11_500, READY]),
    ).toBeUndefined();
    expect(staysUntilMs([10_000, draining(9_000)], [11_000, draining(4_000, 2)])).toBe(13_500);
  });

  it('does not count from a later reading whose answer came first', () => {
    expect(
      staysUntilMs([10_000, READY], [12_000, draining(2_500)], [11_000, draining(3_500)]),
    ).toBe(13_000);
  });
});
