import { describe, expect, it } from 'vitest';

import { expectNoHarm, shard, startCell, submit } from './cellFixtures.js';

const SEEDS = Array.from({ length: 20 }, (_, index) => index + 1);

describe('a start that comes too late at its worker', () => {
  // On a busy machine timers fire late: a renewal leaves more than `startValidityMs` after the
  // report that its starts are dated by. The worker refuses such a start without a word, so its
  // report is like the one before. Repeated at the next renewal, again by a report of that age,
  // the start was refused for ever: an accepted job did not end within 120 s (chaos, seed 1).
  it.each(SEEDS)('is sent again by a fresh report (seed %i)', (seed) => {
    const cell = startCell(seed, { workerCount: 1, timing: { workerRenewalIntervalMs: 1_300 } });
    cell.runFor(3_000 + seed * 90);
    submit(cell, shard(1, 1_000));
    cell.runFor(8_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(1);
    expect(cell.judge.verdict().startCount).toBe(1);
    expectNoHarm(cell);
  });
});
