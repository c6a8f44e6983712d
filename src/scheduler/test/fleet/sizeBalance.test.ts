import { describe, expect, it } from 'vitest';

import { SizeBalance, SizeClass } from '../../common/fleet/sizeBalance.js';

/** A balance of a hundred submissions of different sizes; those below a size have been served. */
const balanceOf = (servedBelow: number): SizeBalance => {
  const balance = new SizeBalance();
  for (let index = 0; index < 100; index += 1) {
    const size = (index * 37) % 100;
    const sizeClass = balance.classify(size);
    balance.count(sizeClass);
    if (size < servedBelow) balance.recordComplete(sizeClass, false);
  }
  return balance;
};

const reservationCount = (balance: SizeBalance, sizeClass: SizeClass): number =>
  Array.from({ length: 100 }, () => balance.reserve(sizeClass)).filter(Boolean).length;

describe('the size balance', () => {
  it('classifies a submission by the recent sizes of its queue', () => {
    const balance = balanceOf(0);
    expect(balance.classify(95)).toBe(SizeClass.Largest);
    expect(balance.classify(80)).toBe(SizeClass.NextLargest);
    expect(balance.classify(50)).toBe(SizeClass.Other);
  });

  it('makes no reservation while large submissions are served like others', () => {
    const balance = balanceOf(100);
    expect(balance.reserve(SizeClass.Largest)).toBe(false);
    expect(balance.reserve(SizeClass.NextLargest)).toBe(false);
  });

  it('makes a limited number of reservations while large submissions are starved', () => {
    const count = reservationCount(balanceOf(70), SizeClass.Largest);
    expect(count).toBeGreaterThan(0);
    expect(count).toBeLessThan(10);
  });

  it('makes a new reservation after one is released', () => {
    const balance = balanceOf(70);
    reservationCount(balance, SizeClass.Largest);
    expect(balance.reserve(SizeClass.Largest)).toBe(false);
    balance.release(SizeClass.Largest);
    expect(balance.reserve(SizeClass.Largest)).toBe(true);
  });

  it('never makes a reservation for a small submission', () => {
    expect(balanceOf(0).reserve(SizeClass.Other)).toBe(false);
  });
});
