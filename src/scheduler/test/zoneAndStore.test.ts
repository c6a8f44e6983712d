import { describe, expect, it } from 'vitest';

import {
  cancellationKey,
  finishedPrefix,
  workKey,
  workPrefix,
} from '../../services/workload/common/workRows.js';
import { decide } from '../common/cellScheduler.js';
import { SpreadAndPackPolicy } from '../common/placement.js';
import {
  CAPACITY,
  expectNoHarm,
  setZone,
  shard,
  startCell,
  submit,
  workRowsOf,
} from './cellFixtures.js';
import { CELL, VirtualCell, type VirtualDaemon } from './virtualCell.js';

/** A steady stream of short tasks, so that starts are under way at any moment. */
const submitSteadily = (cell: VirtualCell, jobCount: number, intervalMs: number): void => {
  for (let job = 0; job < jobCount; job += 1) {
    submit(cell, shard(4, 2_000, `kitchen.job${job}-${cell.nowMs}`));
    cell.runFor(intervalMs);
  }
};

/** Runs on and tells the most rows that were written within any second of it. */
const peakRowsPerSecond = (cell: VirtualCell, seconds: number): number => {
  const perSecond = Array.from({ length: seconds }, () => {
    const before = cell.table.counts.writtenRowCount;
    cell.runFor(1_000);
    return cell.table.counts.writtenRowCount - before;
  });
  return Math.max(...perSecond);
};

/** One transaction may fall into a second together with the budget of that second. */
const maximumPeakRows = (cell: VirtualCell): number =>
  cell.timing.rowsPerSecond + 2 * cell.timing.maximumRowsPerRound;

const startCountOf = (cell: VirtualCell): number => cell.judge.verdict().startCount;

describe('a withdrawn zone', () => {
  // The zone is withdrawn while starts are under way, by each path that could carry one late:
  // the owner paused, its messages held up, its transactions' answers lost, itself cut off from
  // the table and so unable to learn of it. The judge counts starts later than the stated bound.
  it.each([61, 62, 63, 64, 65, 66, 67, 68])('starts nothing after the bound, seed %i', (seed) => {
    const cell = startCell(seed);
    cell.lateCommandRatio = 0.2;
    cell.lostAnswerRatio = 0.2;
    cell.lostCommandAnswerRatio = 0.1;
    cell.runFor(4_000);
    submitSteadily(cell, 10, 300);
    const owner = cell.owner() as VirtualDaemon;
    const fault = seed % 4;
    if (fault === 1) owner.isPaused = true;
    if (fault === 2) owner.isCutFromTable = true;
    submit(cell, shard(30, 2_000, 'kitchen.late'));
    cell.runFor(fault * 40);
    setZone(cell, 'withdrawn');
    cell.runFor(1_500);
    if (fault === 1) cell.resume(owner);
    submitSteadily(cell, 20, 300);
    cell.runFor(10_000);
    expectNoHarm(cell);
    // Once it is back, all of the work gets done here, for there is no other zone.
    owner.isCutFromTable = false;
    setZone(cell, 'in-use');
    cell.runFor(120_000);
    expect(cell.table.read({ keys: [], prefixes: [workPrefix(CELL)] }).rows).toEqual([]);
    expectNoHarm(cell);
  });

  // Starts were committed for a worker that cannot be reached just then. The zone is withdrawn
  // and the only daemon cannot learn of it, while it may go on writing. When the worker comes
  // back, seconds later, nothing may be started on what was committed before.
  it.each(['isConfigurationUnreadable', 'isCutFromTable'] as const)(
    'starts nothing on an old proof, %s',
    (fault) => {
      const cell = new VirtualCell({ seed: 70, workerCount: 4, capacity: CAPACITY });
      setZone(cell, 'in-use');
      const daemon = cell.addDaemon('d1');
      cell.runFor(5_000);
      cell.unreachableWorkers.add('w3');
      submit(cell, shard(64, 4_800));
      cell.runFor(1_200);
      expect(cell.judge.verdict().startCount).toBe(48);
      daemon[fault] = true;
      setZone(cell, 'withdrawn');
      cell.runFor(4_000);
      cell.unreachableWorkers.delete('w3');
      cell.runFor(10_000);
      expect(cell.judge.verdict().startCount).toBe(48);
      expectNoHarm(cell);
    },
  );

  // A reader gets an old answer after a newer one, in which the zone is still in use. Taken in,
  // it would have starts go on in a zone that was withdrawn; the older version is refused.
  it('stays withdrawn when an older configuration arrives late', () => {
    const cell = startCell(69);
    cell.runFor(3_000);
    const owner = cell.owner() as VirtualDaemon;
    const older = owner.state.configuration;
    setZone(cell, 'withdrawn');
    cell.runFor(3_000);
    const nowMs = cell.nowMs + owner.clockOffsetMs;
    if (older === undefined) throw new Error('the owner has read no configuration');
    const configuration = { ...older, confirmedAtMs: nowMs };
    const event = { kind: 'configuration' as const, configuration };
    const decision = decide(owner.state, event, new SpreadAndPackPolicy(), nowMs);
    expect(decision.state.withdrawnSinceMs).toBeDefined();
    expect(decision.effects).toContainEqual({
      kind: 'count',
      counter: 'invariant_configuration_reverted',
      amount: 1,
    });
  });
});

describe('a cancellation wave', () => {
  // Thousands of queued jobs are cancelled in one second, while some of them run. Each ends as
  // cancelled or, where it was quicker, as done; the rows written stay within the cell's share
  // of the table, and the cancellation's own row goes once nothing needs it.
  it('ends each job in the right state within the write budget', () => {
    const cell = startCell(71);
    cell.runFor(2_000);
    const jobIds = Array.from({ length: 2_000 }, (_, index) => `kitchen.job${index}`);
    jobIds.forEach((jobId) => submit(cell, shard(1, 30_000, jobId)));
    cell.runFor(5_000);
    cell.writeRow(cancellationKey(CELL, 'plan'), { jobIds });
    const before = cell.table.counts.writtenRowCount;
    expect(peakRowsPerSecond(cell, 100)).toBeLessThan(maximumPeakRows(cell));
    const rowsPerSecond = (cell.table.counts.writtenRowCount - before) / 100;
    expect(rowsPerSecond).toBeLessThan(cell.timing.rowsPerSecond + 3);
    const finished = workRowsOf(cell, finishedPrefix(CELL));
    expect(finished.length).toBe(2_000);
    const states = new Set(finished.flatMap((row) => row.tasks.map(({ state }) => state)));
    expect([...states].filter((state) => state !== 'cancelled' && state !== 'done')).toEqual([]);
    const { rows } = cell.table.read({ keys: [], prefixes: [`cancellation/${CELL}/`] });
    expect(rows).toEqual([]);
    expectNoHarm(cell);
  });

  // A shard is about to move to another zone when its job is cancelled. The mover has not read
  // the cancellation yet: its transaction must fail, or the shard would arrive where the
  // cancellation has been dealt with already, and run.
  it('is not escaped by a shard that moves', () => {
    for (let delayMs = 0; delayMs < 1_200; delayMs += 40) {
      const cell = startCell(72);
      cell.writeRow('configuration/document/zone/zone-b', {
        name: 'zone-b',
        region: 'r',
        state: 'in-use',
      });
      cell.runFor(3_000);
      setZone(cell, 'withdrawn');
      cell.runFor(700);
      submit(cell, shard(4, 1_000));
      cell.runFor(delayMs);
      // The plan writes the row for every cell; zone-b has dealt with its own by now.
      const arrived = cell.table.read({ keys: [], prefixes: [workPrefix('zone-b')] }).rows.length;
      cell.writeRow(cancellationKey(CELL, 'plan'), { jobIds: ['kitchen.plan'] });
      cell.runFor(5_000);
      const moved = cell.table.read({ keys: [], prefixes: [workPrefix('zone-b')] }).rows.length;
      expect([delayMs, moved]).toEqual([delayMs, arrived]);
    }
  });
});

describe('the store', () => {
  // The table is down for three minutes. What runs goes on under renewed leases, nothing is
  // started that was not committed, and what queued up meanwhile is worked off within the
  // budget of writes once the table is back.
  it.each([81, 82, 83, 84])('may be down for minutes, seed %i', (seed) => {
    const cell = startCell(seed, { timing: { maximumRenewalWithoutTableMs: 600_000 } });
    cell.lostAnswerRatio = 0.3;
    submit(cell, shard(30, 400_000, 'kitchen.long'));
    cell.runFor(4_000);
    submitSteadily(cell, 10, 300);
    cell.isTableDown = true;
    cell.runFor(3_000);
    const startCount = startCountOf(cell);
    cell.runFor(177_000);
    expect(startCountOf(cell)).toBe(startCount);
    expect(cell.judge.verdict().lapsedCount).toBe(0);
    cell.lostAnswerRatio = 0;
    for (let job = 0; job < 300; job += 1) submit(cell, shard(1, 500, `kitchen.backlog${job}`));
    cell.isTableDown = false;
    const before = cell.table.counts.writtenRowCount;
    expect(peakRowsPerSecond(cell, 20)).toBeLessThan(maximumPeakRows(cell));
    const rowsPerSecond = (cell.table.counts.writtenRowCount - before) / 20;
    expect(rowsPerSecond).toBeLessThan(cell.timing.rowsPerSecond + 3);
    cell.runFor(60_000);
    expect(cell.judge.verdict().lapsedCount).toBe(0);
    expect(workRowsOf(cell, workPrefix(CELL)).map(({ jobId }) => jobId)).toEqual(['kitchen.long']);
    expectNoHarm(cell);
  });

  // Every call of the table takes more than half a second. Work goes on, if more slowly.
  it('may be slow', () => {
    const cell = startCell(85);
    cell.tableSlownessMs = 500;
    cell.runFor(6_000);
    submit(cell, shard(40, 3_000));
    cell.runFor(30_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(40);
    expectNoHarm(cell);
  });
});

describe('the death of an owner', () => {
  // Callers wait for starts that a dead owner will not make. Another daemon takes the cell over
  // and starts the next task within five seconds, whenever in its heartbeat the owner died.
  it('holds up the next start for less than five seconds', () => {
    const delaysMs: number[] = [];
    for (let seed = 91; seed < 111; seed += 1) {
      const cell = startCell(seed);
      cell.runFor(4_000 + seed * 37);
      (cell.owner() as VirtualDaemon).isAlive = false;
      const diedAtMs = cell.nowMs;
      cell.writeRow(workKey(CELL, `kitchen.next~${CELL}`), shard(1, 60_000, 'kitchen.next'));
      while (cell.judge.verdict().startCount === 0 && cell.nowMs < diedAtMs + 20_000) {
        cell.runFor(50);
      }
      delaysMs.push(cell.nowMs - diedAtMs);
      expectNoHarm(cell);
    }
    expect(Math.max(...delaysMs)).toBeLessThan(5_000);
  });
});
