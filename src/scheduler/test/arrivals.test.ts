import { describe, expect, it } from 'vitest';

import { cancellationKey, workKey, workPrefix } from '../../services/workload/common/workRows.js';
import { expectNoViolations, shard, startCell, submit, workRowsOf } from './cellFixtures.js';
import { CELL, type VirtualCell } from './virtualCell.js';

const LONG_MS = 60_000;
const SHORT_MS = 300;
const JOB_COUNT = 40;

const addJob = (cell: VirtualCell, jobId: string, workMs: number): void => {
  const row = shard(1, workMs, jobId);
  cell.addRows([{ key: workKey(CELL, row.shardId), value: row }]);
};

/** A cell whose owner has read all its rows, with jobs that outlast the test. */
const busyCell = (seed: number): VirtualCell => {
  const cell = startCell(seed);
  Array.from({ length: JOB_COUNT }, (_, index) =>
    submit(cell, shard(1, LONG_MS, `kitchen.${index}`)),
  );
  cell.runFor(5_000);
  return cell;
};

const openJobIds = (cell: VirtualCell): readonly string[] =>
  workRowsOf(cell, workPrefix(CELL)).map(({ jobId }) => jobId);

describe('work added to a cell', () => {
  // The owner used to read its whole cell again for each submission. With 400 shards and two jobs a
  // second that took half of the rows that all daemons together may read from the table.
  it('is read without reading the rest of the cell again', () => {
    const cell = busyCell(1);
    const before = cell.table.counts.readRowCount;
    Array.from({ length: 5 }, (_, index) => {
      addJob(cell, `kitchen.new-${index}`, SHORT_MS);
      return cell.runFor(1_000);
    });
    cell.runFor(2_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(5);
    expect(cell.table.counts.readRowCount - before).toBeLessThan(JOB_COUNT * 5);
    expectNoViolations(cell);
  });

  // The inbox lists the rows of two submissions, and between them a writer updates it without
  // listing its row. The owner must find the unlisted row, or an accepted job would never run.
  it('is found although a writer lists no rows in the inbox', () => {
    const cell = busyCell(2);
    addJob(cell, 'kitchen.named-1', SHORT_MS);
    submit(cell, shard(1, SHORT_MS, 'kitchen.unnamed'));
    addJob(cell, 'kitchen.named-2', SHORT_MS);
    cell.runFor(4_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(3);
    expectNoViolations(cell);
  });

  // Answers to the owner's transactions are lost while work arrives, so the owner reads all rows
  // again. The arrived work must neither be lost nor run twice.
  it.each([3, 4, 5, 6])('runs once while answers of the table are lost, seed %i', (seed) => {
    const cell = busyCell(seed);
    cell.lostAnswerRatio = 0.4;
    Array.from({ length: 10 }, (_, index) => {
      addJob(cell, `kitchen.new-${index}`, SHORT_MS);
      return cell.runFor(400);
    });
    cell.lostAnswerRatio = 0;
    cell.runFor(20_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(10);
    expectNoViolations(cell);
  });

  it('is found after an outage of the table', () => {
    const cell = busyCell(7);
    cell.isTableDown = true;
    addJob(cell, 'kitchen.new', SHORT_MS);
    cell.runFor(3_000);
    cell.isTableDown = false;
    cell.runFor(5_000);
    expect(openJobIds(cell)).not.toContain('kitchen.new');
    expectNoViolations(cell);
  });
});

describe('a cancellation', () => {
  it('is applied to existing work and to work that arrives with it', () => {
    const cell = busyCell(8);
    addJob(cell, 'kitchen.late', LONG_MS);
    const jobIds = ['kitchen.0', 'kitchen.late'];
    cell.addRows([{ key: cancellationKey(CELL, 'plan'), value: { jobIds } }]);
    cell.runFor(5_000);
    expect(openJobIds(cell)).not.toContain('kitchen.0');
    expect(openJobIds(cell)).not.toContain('kitchen.late');
    expectNoViolations(cell);
  });
});
