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
  expectNoViolations,
  setZone,
  shard,
  startCell,
  submit,
  workRowsOf,
} from './cellFixtures.js';
import { CELL, VirtualCell, type VirtualDaemon } from './virtualCell.js';

/** Submits short jobs at a fixed interval, so that starts are in flight at any time. */
const submitSteadily = (cell: VirtualCell, jobCount: number, intervalMs: number): void => {
  for (let job = 0; job < jobCount; job += 1) {
    submit(cell, shard(4, 2_000, `kitchen.job${job}-${cell.nowMs}`));
    cell.runFor(intervalMs);
  }
};

/** Runs the cell and returns the largest number of rows written within one second. */
const peakRowsPerSecond = (cell: VirtualCell, seconds: number): number => {
  const perSecond = Array.from({ length: seconds }, () => {
    const before = cell.table.counts.writtenRowCount;
    cell.runFor(1_000);
    return cell.table.counts.writtenRowCount - before;
  });
  return Math.max(...perSecond);
};

/** The write budget of a second, plus transactions that fall into the same second. */
const maximumPeakRows = (cell: VirtualCell): number =>
  cell.timing.rowsPerSecond + 2 * cell.timing.maximumRowsPerRound;

const startCountOf = (cell: VirtualCell): number => cell.judge.verdict().startCount;

describe('a withdrawn zone', () => {
  // The zone is withdrawn while starts are in flight, with each fault that could delay one: a
  // paused owner, late commands, lost answers to transactions, and an owner that cannot reach the
  // table and so does not learn of the withdrawal. The judge counts starts after the stated bound.
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
    expectNoViolations(cell);
    // Once the zone is back in use, it completes all work, because there is no other zone.
    owner.isCutFromTable = false;
    setZone(cell, 'in-use');
    cell.runFor(120_000);
    expect(cell.table.read({ keys: [], prefixes: [workPrefix(CELL)] }).rows).toEqual([]);
    expectNoViolations(cell);
  });

  // Assignments are committed for a worker that is unreachable. The zone is withdrawn and the only
  // daemon cannot learn of it, although it may still be able to write. When the worker returns
  // seconds later, the assignments committed before must not be started.
  it.each(['isConfigurationUnreadable', 'isCutFromTable'] as const)(
    'starts nothing based on an expired proof of use, fault %s',
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
      expectNoViolations(cell);
    },
  );

  // A daemon gets an older configuration, in which the zone is still in use, after a newer one.
  // Applying it would allow starts in a withdrawn zone, so the older version is refused.
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

describe('the cancellation of jobs', () => {
  // Thousands of queued jobs are cancelled in one second while some of them run. Each ends as
  // cancelled, or as done if it finished first. The written rows stay within the cell's budget, and
  // the cancellation row is removed once no shard needs it.
  it('ends thousands of jobs in the right state within the write budget', () => {
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
    expectNoViolations(cell);
  });

  // A shard is about to move to another zone when its job is cancelled. The owner that moves it has
  // not read the cancellation yet. Its transaction must fail, or the shard would arrive in a zone
  // that has already processed the cancellation, and run there.
  it('also covers a shard that is about to move', () => {
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
      // A plan writes a cancellation row for every cell. Here zone-b has already processed its row.
      const arrived = cell.table.read({ keys: [], prefixes: [workPrefix('zone-b')] }).rows.length;
      cell.writeRow(cancellationKey(CELL, 'plan'), { jobIds: ['kitchen.plan'] });
      cell.runFor(5_000);
      const moved = cell.table.read({ keys: [], prefixes: [workPrefix('zone-b')] }).rows.length;
      expect([delayMs, moved]).toEqual([delayMs, arrived]);
    }
  });
});

describe('a cell whose table fails', () => {
  // The table is down for three minutes. Running tasks continue with renewed leases, nothing is
  // started that was not committed, and the backlog is processed within the write budget once the
  // table is back.
  it.each([81, 82, 83, 84])('survives an outage of minutes, seed %i', (seed) => {
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
    expectNoViolations(cell);
  });

  // Every table call takes more than half a second. Work continues, but more slowly.
  it('completes work if table calls are slow', () => {
    const cell = startCell(85);
    cell.tableSlownessMs = 500;
    cell.runFor(6_000);
    submit(cell, shard(40, 3_000));
    cell.runFor(30_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(40);
    expectNoViolations(cell);
  });
});

describe('the death of an owner', () => {
  // Callers wait for starts that a dead owner does not send. Another daemon takes over the cell and
  // starts the next task within five seconds, at whatever point of its heartbeat interval the owner
  // died.
  it('delays the next start by less than five seconds', () => {
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
      expectNoViolations(cell);
    }
    expect(Math.max(...delaysMs)).toBeLessThan(5_000);
  });
});
