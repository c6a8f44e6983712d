import { describe, expect, it } from 'vitest';

import {
  quotaKey,
  serviceKey,
  workerKey,
  zoneKey,
} from '../../services/configuration/common/documents.js';
import {
  endpointKey,
  finishedPrefix,
  workKey,
  workPrefix,
} from '../../services/workload/common/workRows.js';
import { isGivenUp, withFailureWeight } from '../common/failureWeight.js';
import { retryDelayMs } from '../common/queueOrder.js';
import { WorkerHealth } from '../common/workerHealth.js';
import {
  CAPACITY,
  expectNoViolations,
  setZone,
  shard,
  SIZE,
  startCell,
  submit,
  workRowsOf,
} from './cellFixtures.js';
import { CELL, GIBIBYTE } from './virtualCell.js';

const LARGE = { processorMillis: 64_000, memoryBytes: GIBIBYTE, acceleratorCount: 0 };

describe('the queue', () => {
  // The first job in the queue needs more than any worker has. The jobs behind it must not wait.
  it('is not blocked by a job that fits no worker', () => {
    const cell = startCell(201);
    submit(cell, { ...shard(10, 1_000, 'kitchen.a-large', LARGE), urgency: 'urgent' });
    submit(cell, shard(50, 1_000, 'kitchen.b-small'));
    cell.runFor(15_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(50);
    expect(cell.judge.verdict().evictionCount).toBe(0);
    expectNoViolations(cell);
  });

  // A job is larger than any worker. It is not refused at once, because a large worker may just be
  // being replaced or another zone may have one. If no zone has one, the refusal gives the reason.
  it('moves a job that fits no worker to another zone, and refuses it once all zones tried', () => {
    const cell = startCell(204);
    const zoneB = { name: 'zone-b', region: 'r', state: 'in-use' };
    cell.writeRow(zoneKey('zone-b'), zoneB);
    submit(cell, shard(3, 1_000, 'kitchen.passed-on', LARGE));
    submit(cell, { ...shard(3, 1_000, 'kitchen.never', LARGE), triedCells: ['zone-b'] });
    cell.runFor(50_000);
    expect(workRowsOf(cell, workPrefix(CELL)).length).toBe(2);
    cell.runFor(30_000);
    expect(workRowsOf(cell, workPrefix(CELL))).toEqual([]);
    const [passedOn] = workRowsOf(cell, workPrefix('zone-b'));
    expect([passedOn?.jobId, passedOn?.triedCells]).toEqual(['kitchen.passed-on', [CELL]]);
    const [refused] = workRowsOf(cell, finishedPrefix(CELL));
    expect(refused?.refusal).toMatch(/^needs 64000 processorMillis.*zone-b, zone-a has$/u);
    expect(refused?.tasks.map(({ state }) => state)).toEqual(['failed', 'failed', 'failed']);
    expectNoViolations(cell);
  });

  // The cell is full of batch tasks that run for minutes when an urgent job arrives. The owner
  // evicts as few tasks as possible, which resume later, and the urgent job starts in time.
  it('starts urgent work within 3.5 seconds in a full cell', () => {
    const cell = startCell(202);
    submit(cell, shard(200, 60_000));
    cell.runFor(10_000);
    const before = cell.judge.verdict().startCount;
    submit(cell, { ...shard(6, 5_000, 'kitchen.urgent'), urgency: 'urgent' });
    cell.runFor(3_500);
    const [urgent] = workRowsOf(cell, workKey(CELL, 'kitchen.urgent'));
    expect(urgent?.tasks.filter(({ state }) => state !== 'assigned')).toEqual([]);
    expect(cell.judge.verdict().startCount).toBe(before + 6);
    expect(cell.judge.verdict().evictionCount).toBe(6);
    cell.runFor(400_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(206);
    expect(cell.judge.verdict().evictionCount).toBe(6);
    expectNoViolations(cell);
  });

  // A team submits far more than its quota while another team submits too. The team may use only
  // this cell's part of its quota, which is half because two zones are in use. The other team's
  // work starts at once.
  it('limits a team to the part of its quota for this cell', () => {
    const cell = startCell(203);
    cell.writeRow(zoneKey('zone-b'), { name: 'zone-b', region: 'r', state: 'in-use' });
    const limit = { processorMillis: 40_000, memoryBytes: 80 * GIBIBYTE, acceleratorCount: 0 };
    cell.writeRow(quotaKey('kitchen'), { team: 'kitchen', limit });
    submit(cell, shard(100, 60_000));
    submit(cell, { ...shard(20, 60_000, 'drivers.job'), team: 'drivers' });
    cell.runFor(5_000);
    const assigned = (jobId: string): number =>
      workRowsOf(cell, workKey(CELL, jobId)).flatMap((row) =>
        row.tasks.filter(({ state }) => state === 'assigned'),
      ).length;
    expect(assigned('kitchen.plan')).toBe(10);
    expect(assigned('drivers.job')).toBe(20);
  });

  it('retries failed tasks with exponential backoff, spread within a job', () => {
    expect(retryDelayMs(1, 0)).toBe(1_000);
    expect(retryDelayMs(3, 0)).toBe(4_000);
    expect(retryDelayMs(30, 0)).toBe(60_000);
    expect(retryDelayMs(1, 3)).toBeGreaterThan(retryDelayMs(1, 2));
  });
});

describe('the health of workers', () => {
  const failures = (
    health: WorkerHealth,
    pairs: readonly (readonly [string, string])[],
    nowMs = 0,
  ): WorkerHealth =>
    pairs.reduce((known, [worker, job]) => known.withFailure(worker, job, 100, nowMs), health);

  // Many jobs fail on one worker. It gets no tasks for a while and is tried again later.
  it('quarantines a worker on which different jobs fail', () => {
    const health = failures(new WorkerHealth(), [
      ['w1', 'a'],
      ['w1', 'b'],
      ['w1', 'c'],
    ]);
    expect(health.isQuarantined('w1', 1_000)).toBe(true);
    expect(health.isQuarantined('w1', 31_000)).toBe(false);
    const again = failures(
      health,
      [
        ['w1', 'd'],
        ['w1', 'e'],
        ['w1', 'f'],
      ],
      31_000,
    );
    expect(again.isQuarantined('w1', 31_000 + 59_000)).toBe(true);
  });

  // In a cell of four workers, one worker fails every task. Its first failure may be the job's
  // fault. Once another job has failed there too, failures count against neither job, and both are
  // tried on other workers. Otherwise good jobs would be given up after five attempts on that
  // worker.
  it('does not count failures against jobs on a worker where others fail too', () => {
    const fail = (health: WorkerHealth, job: string): WorkerHealth =>
      health.withFailure('w1', job, 4, 0);
    const once = fail(new WorkerHealth(), 'a');
    expect(once.isCredible('w1', 'a')).toBe(true);
    expect(once.isCredible('w1', 'b')).toBe(false);
    const twice = fail(once, 'b');
    expect([twice.isCredible('w1', 'a'), twice.isCredible('w1', 'b')]).toEqual([false, false]);
    expect([...twice.failedOn('a')]).toEqual(['w1']);
    expect(twice.withSuccess('w1').isCredible('w1', 'b')).toBe(true);
  });

  // A job that can never run must fail, but bad workers must not make good jobs fail. Two jobs that
  // fail on every worker make every worker doubtful for each other, so doubtful failures have to
  // count too, with a lower weight.
  it('gives a task up after five credible failures, or after twenty doubtful ones', () => {
    const after = (failureCount: number, isCredible: boolean): number =>
      Array.from({ length: failureCount }).reduce<number>(
        (weight) => withFailureWeight(weight, isCredible),
        0,
      );
    expect([isGivenUp(after(4, true)), isGivenUp(after(5, true))]).toEqual([false, true]);
    expect([isGivenUp(after(19, false)), isGivenUp(after(20, false))]).toEqual([false, true]);
  });

  // Four bad jobs fail on many workers. None of these workers may be quarantined for it.
  it('does not count failures of jobs that fail on every worker against the workers', () => {
    const workers = Array.from({ length: 20 }, (_, index) => `w${index}`);
    const pairs = ['a', 'b', 'c', 'd'].flatMap((job) =>
      workers.map((worker) => [worker, job] as const),
    );
    const health = failures(new WorkerHealth(), pairs);
    expect(workers.filter((worker) => health.isQuarantined(worker, 1_000))).toEqual([]);
  });

  // The network fails for half of 100 workers. At most a tenth of all workers may be quarantined.
  it('keeps most of the workers in use', () => {
    const pairs = Array.from({ length: 50 }, (_, worker) =>
      Array.from({ length: 4 }, (__, job) => [`w${worker}`, `job${worker}-${job}`] as const),
    ).flat();
    const health = failures(new WorkerHealth(), pairs);
    const quarantined = Array.from({ length: 50 }, (_, worker) => `w${worker}`).filter((worker) =>
      health.isQuarantined(worker, 1_000),
    );
    expect(quarantined.length).toBe(10);
  });
});

describe('replicas of a service', () => {
  const rounds = { name: 'rounds', team: 'kitchen', replicaCount: 8, size: SIZE };

  // Another zone returns, so half of the replicas belong there. This cell must not stop its
  // replicas before those of the other zone serve, or half of the service would be missing for
  // seconds.
  it('are kept until the returning zone serves its share', () => {
    const cell = startCell(211);
    cell.writeRow(serviceKey('rounds'), { ...rounds, urgency: 'urgent' });
    cell.runFor(6_000);
    cell.writeRow(zoneKey('zone-b'), { name: 'zone-b', region: 'r', state: 'in-use' });
    cell.runFor(10_000);
    expect(cell.judge.verdict().evictionCount).toBe(0);
    const servers = [0, 1, 2, 3].map((index) => ({
      serviceName: 'rounds',
      workerId: `b${index}`,
      taskId: `rounds@b.${index}`,
    }));
    cell.writeRow(endpointKey('zone-b'), { servers: servers.slice(0, 2) });
    cell.runFor(5_000);
    expect(cell.judge.verdict().evictionCount).toBe(2);
    cell.writeRow(endpointKey('zone-b'), { servers });
    cell.runFor(5_000);
    expect(cell.judge.verdict().evictionCount).toBe(4);
    expectNoViolations(cell);
  });

  // A zone is withdrawn and returns to use. Tasks must not move back and forth.
  it('move once when a zone leaves and returns', () => {
    const cell = startCell(212);
    cell.writeRow(serviceKey('rounds'), { ...rounds, urgency: 'urgent' });
    submit(cell, shard(20, 30_000));
    cell.runFor(6_000);
    setZone(cell, 'withdrawn');
    cell.runFor(12_000);
    expect(cell.judge.verdict().evictionCount).toBe(28);
    setZone(cell, 'in-use');
    cell.runFor(60_000);
    expect(cell.judge.verdict().evictionCount).toBe(28);
    expect(cell.judge.verdict().startCount).toBe(56);
    expectNoViolations(cell);
  });

  // A worker with replicas moves to another rack and its capacity shrinks. Its tasks are not
  // started again. The first round once ran before half of the workers had answered and put four
  // replicas on each of two workers, so draining one of them moved half of the service.
  it('stay on a worker that moves to another rack', () => {
    const cell = startCell(213);
    cell.writeRow(serviceKey('rounds'), { ...rounds, urgency: 'urgent' });
    cell.runFor(6_000);
    cell.updateInstance('w1', { rack: 'r9', capacity: { ...CAPACITY, processorMillis: 24_000 } });
    submit(cell, shard(60, 2_000));
    cell.runFor(10_000);
    cell.writeRow(workerKey('w1'), { id: 'w1', isDraining: true });
    cell.runFor(10_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(60);
    expect(cell.judge.verdict().startCount).toBe(8 + 60 + 2);
    expectNoViolations(cell);
  });
});
