import { describe, expect, it } from 'vitest';

import { serviceKey } from '../../services/configuration/common/documents.js';
import { workKey } from '../../services/workload/common/workRows.js';
import { expectNoViolations, shard, SIZE, startCell } from './cellFixtures.js';
import { CELL } from './virtualCell.js';

describe('a cell', () => {
  it('runs each task of a job once and starts all replicas of a service', () => {
    const cell = startCell(1);
    cell.writeRow(serviceKey('rounds'), {
      name: 'rounds',
      team: 'kitchen',
      replicaCount: 3,
      size: SIZE,
      urgency: 'urgent',
    });
    cell.writeRow(workKey(CELL, `kitchen.plan~${CELL}`), shard(100, 1_000));
    cell.runFor(15_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(100);
    expect(cell.judge.verdict().startCount).toBe(103);
    expectNoViolations(cell);
  });

  // The owner dies while tasks run. Services must not be interrupted and no task may run again. The
  // next owner reads the ledger, asks the workers and renews the leases of running tasks. It may
  // take over only after the heartbeat has been unchanged for a whole lease.
  it('is taken over within five seconds without restarting running tasks', () => {
    const cell = startCell(2);
    cell.writeRow(workKey(CELL, `kitchen.plan~${CELL}`), shard(80, 20_000));
    cell.runFor(5_000);
    const owner = cell.owner();
    expect(owner).toBeDefined();
    if (owner !== undefined) owner.isAlive = false;
    cell.runFor(5_000);
    expect(cell.owner()).toBeDefined();
    expect(cell.owner()?.id).not.toBe(owner?.id);
    cell.runFor(60_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(80);
    expect(cell.judge.verdict().startCount).toBe(80);
    expectNoViolations(cell);
  });

  // The owner is paused for longer than its lease and resumes. Another daemon has taken over by
  // then, so for a moment both believe they own the cell. Only one of them may commit.
  it('stays consistent when an owner resumes after a pause longer than its lease', () => {
    const cell = startCell(3);
    cell.writeRow(workKey(CELL, `kitchen.plan~${CELL}`), shard(200, 3_000));
    cell.runFor(4_000);
    const owner = cell.owner();
    if (owner !== undefined) owner.isPaused = true;
    cell.runFor(8_000);
    if (owner !== undefined) cell.resume(owner);
    cell.runFor(60_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(200);
    expectNoViolations(cell);
  });

  // Answers to transactions are lost after the commit. The owner cannot know which transactions
  // have committed, reads the rows again and must reach the same result as without the loss.
  it('completes all tasks while answers of the table are lost', () => {
    const cell = startCell(4);
    cell.lostAnswerRatio = 0.3;
    cell.writeRow(workKey(CELL, `kitchen.plan~${CELL}`), shard(100, 1_000));
    cell.runFor(40_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(100);
    expectNoViolations(cell);
  });
});
