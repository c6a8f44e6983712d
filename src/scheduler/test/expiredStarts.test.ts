import { describe, expect, it } from 'vitest';

import { expectNoViolations, shard, startCell, submit } from './cellFixtures.js';

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

describe('a start that reaches its worker after its validity', () => {
  // On a busy machine timers fire late, and a renewal is sent more than `startValidityMs` after the
  // report that the validity of its starts counts from. The worker drops such a start silently, so
  // its report does not change. The next renewal repeated the start with the same delay, and it
  // expired each time: an accepted job did not end within 120 s (chaos, seed 1).
  it.each(SEEDS)('is sent again with the validity of a fresh report (seed %i)', (seed) => {
    const cell = startCell(seed, { workerCount: 1, timing: { workerRenewalIntervalMs: 1_300 } });
    cell.runFor(3_000 + seed * 90);
    submit(cell, shard(1, 1_000));
    cell.runFor(8_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(1);
    expect(cell.judge.verdict().startCount).toBe(1);
    expectNoViolations(cell);
  });
});
