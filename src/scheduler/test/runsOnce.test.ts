import { setImmediate as waitForEventLoop } from 'node:timers/promises';

import { left, right } from 'fp-ts/lib/Either.js';
import { describe, expect, it } from 'vitest';

import { ErrorKind, failure } from '../../services/errors/common/errorKinds.js';
import { workerKey } from '../../services/configuration/common/documents.js';
import type { WorkerReport } from '../../services/worker/common/workerClient.js';
import {
  type Assignment,
  cellOwnerKey,
  workPrefix,
  workRowSchema,
} from '../../services/workload/common/workRows.js';
import { decide } from '../common/cellScheduler.js';
import type { CellState } from '../common/cellState.js';
import { SpreadAndPackPolicy } from '../common/placement.js';
import { AssignmentEnd, assignmentEnd } from '../common/taskEnds.js';
import type { WorkerView } from '../common/workerView.js';
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
import { CELL, type VirtualCell, type VirtualDaemon } from './virtualCell.js';

const policy = new SpreadAndPackPolicy();

const ASSIGNMENT: Assignment = {
  taskId: 'kitchen.next/0',
  attempt: 1,
  workerId: 'w0',
  incarnation: '',
  taskClass: 'batch',
  serviceName: '',
  shardId: `kitchen.next~${CELL}`,
  taskIndex: 0,
  size: SIZE,
  workMs: 1_000,
  checkpoint: null,
};

/** The owner loses the cell and becomes owner again two epochs later. */
const loseAndRegain = (state: CellState, nowMs: number): CellState => {
  const lost = decide(
    state,
    {
      kind: 'lease-written',
      step: 'renew',
      result: right({ outcome: 'conflict', version: 0 }),
      sentAtMs: nowMs,
    },
    policy,
    nowMs,
  ).state;
  const owner = { ownerId: lost.lease.selfId, epoch: state.lease.epoch + 2 };
  const row = { key: cellOwnerKey(CELL), version: 1_000, value: owner, operationId: 'x' };
  return decide(
    lost,
    { kind: 'lease-read', result: right({ rows: [row] }), sentAtMs: nowMs },
    policy,
    nowMs,
  ).state;
};

const ownedState = (): { readonly state: CellState; readonly nowMs: number } => {
  const cell = startCell(11);
  cell.runFor(3_000);
  const owner = cell.owner() as VirtualDaemon;
  return { state: owner.state, nowMs: cell.nowMs + owner.clockOffsetMs };
};

describe('answers of an earlier ownership', () => {
  // A daemon loses the cell and regains it while its command to a worker is in flight. The old
  // answer names short leases, but the owner in between granted longer ones. If the answer counted
  // as the worker's first report, the worker's tasks would be given up while they run, and run
  // twice.
  it('do not count as the first report of a worker', () => {
    const { state, nowMs } = ownedState();
    const regained = loseAndRegain(state, nowMs);
    expect(regained.lease.isOwner).toBe(true);
    const report: WorkerReport = { workerId: 'w0', incarnation: 'i', workerNowMs: 5, tasks: [] };
    const { epoch } = state.lease;
    const answered = decide(
      regained,
      { kind: 'worker-answered', workerId: 'w0', epoch, result: right(report) },
      policy,
      nowMs + 10,
    ).state;
    expect(answered.workers.get('w0')?.report).toBeUndefined();
    expect(answered.workers.get('w0')?.leasesOverAtMs).toBeGreaterThan(nowMs + 60_000);
  });

  // The new ownership must not assign work based on rows that the earlier ownership read, nor take
  // the result of its transaction for its own.
  it('change neither the rows nor the pending call', () => {
    const { state, nowMs } = ownedState();
    const regained = loseAndRegain(state, nowMs);
    expect(regained.pending?.kind).toBe('load');
    const { epoch } = state.lease;
    const loaded = decide(
      regained,
      { kind: 'loaded', epoch, result: right({ rows: [] }) },
      policy,
      nowMs + 10,
    ).state;
    expect(loaded.rows).toBeUndefined();
    expect(loaded.pending?.kind).toBe('load');
    const lostAnswer = left(failure(ErrorKind.StoreAnswerLost, 'lost'));
    const committed = decide(
      regained,
      { kind: 'committed', epoch, result: lostAnswer },
      policy,
      nowMs + 10,
    ).state;
    expect(committed.pending?.kind).toBe('load');
  });
});

describe('the capacity of workers', () => {
  // A faulty placement policy gives every task to the same worker, which would get many times its
  // capacity. The round must be refused and the fault counted.
  it('is not exceeded by a faulty placement policy', () => {
    const cell = startCell(12);
    cell.policy = { choose: (_request, candidates) => candidates[0] };
    submit(cell, shard(40, 5_000));
    cell.runFor(10_000);
    expect(cell.count('invariant_overcommitted')).toBeGreaterThan(0);
    expectNoViolations(cell, ['invariant_overcommitted']);
  });

  // A worker's capacity shrinks below its usage. A check of the whole ledger then failed in every
  // later round, so the cell recorded no ends and started no tasks any more.
  it('may shrink below the usage of a worker without stopping the cell', () => {
    const cell = startCell(13);
    submit(cell, shard(64, 20_000));
    cell.runFor(4_000);
    cell.updateInstance('w0', { capacity: { ...CAPACITY, processorMillis: 8_000 } });
    submit(cell, shard(20, 1_000, 'kitchen.more'));
    cell.runFor(60_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(84);
    expectNoViolations(cell);
  });

  // Two daemons both believe that they own the cell. One was paused for longer than its lease and
  // resumes with outdated rows while the other fills the workers completely.
  it.each([21, 22, 23])('is not exceeded when a paused former owner resumes, seed %i', (seed) => {
    const cell = startCell(seed);
    submit(cell, shard(200, 3_000));
    cell.runFor(3_000);
    for (let pause = 0; pause < 4; pause += 1) {
      const owner = cell.owner() as VirtualDaemon;
      owner.isPaused = true;
      cell.runFor(4_500);
      cell.resume(owner);
      cell.runFor(1_500);
    }
    cell.runFor(60_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(200);
    expectNoViolations(cell);
  });
});

describe('a task', () => {
  // The owner is paused for longer than the workers' leases while another daemon renews them. When
  // it resumes, every lease it knows of has expired. It would give up all tasks and start them
  // again, and the rows it changes still have the versions that it read. The condition on the owner
  // row makes that transaction fail.
  it('is not given up by an owner that was paused for longer than the leases', () => {
    const cell = startCell(30);
    submit(cell, shard(60, 60_000));
    cell.runFor(5_000);
    const owner = cell.owner() as VirtualDaemon;
    owner.isPaused = true;
    cell.runFor(20_000);
    cell.resume(owner);
    cell.runFor(60_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(60);
    expect(cell.judge.verdict().startCount).toBe(60);
    expectNoViolations(cell);
  });

  // Commands arrive after their call has timed out, answers of workers and of the table are lost,
  // and a worker is unreachable for longer than its leases and returns. Each of these once made
  // tasks run twice. The tasks outlast the disconnection, because a task that finishes while its
  // worker is unreachable has an unknown outcome and runs again.
  it.each([31, 32, 33, 34, 35, 36])('runs in one place at a time, seed %i', (seed) => {
    const cell = startCell(seed);
    cell.lateCommandRatio = 0.1;
    cell.lostCommandAnswerRatio = 0.1;
    cell.lostAnswerRatio = 0.1;
    submit(cell, shard(150, 30_000));
    cell.runFor(5_000);
    cell.unreachableWorkers.add('w1');
    cell.runFor(14_000);
    cell.unreachableWorkers.delete('w1');
    cell.runFor(2_000);
    cell.restartWorker('w2');
    cell.runFor(200_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(150);
    expectNoViolations(cell);
  });

  // A worker becomes unreachable, finishes its tasks and returns while the next attempts run on
  // other workers. The finished tasks count, and the next attempts are stopped so that the work is
  // not done twice.
  it('that finished on an unreachable worker is not finished again', () => {
    const cell = startCell(39);
    submit(cell, shard(40, 12_000));
    cell.runFor(5_000);
    cell.unreachableWorkers.add('w0');
    cell.runFor(17_000);
    expect(cell.count('assignments_lost')).toBeGreaterThan(0);
    cell.unreachableWorkers.delete('w0');
    cell.runFor(60_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(40);
    expect(workRowsOf(cell, workPrefix(CELL))).toEqual([]);
    expectNoViolations(cell);
  });

  // A worker has been idle for longer than a lease, so it holds none. Its next task was then
  // considered lost before its start was sent. The start was sent nevertheless, and the next
  // attempt went to another worker. In the demo the number of evictions varied between runs,
  // because the first attempt had to be evicted.
  it('is not given up on an idle worker before it was started', () => {
    const cell = startCell(37);
    cell.runFor(15_000);
    submit(cell, shard(10, 1_000));
    cell.runFor(10_000);
    expect(cell.count('assignments_lost')).toBe(0);
    expect(cell.judge.verdict().startCount).toBe(10);
    const { state, clockOffsetMs } = cell.owner() as VirtualDaemon;
    const view = { ...(state.workers.get('w0') as WorkerView), leasesOverAtMs: 0 };
    const assignment = { ...ASSIGNMENT, incarnation: view.report?.incarnation ?? '' };
    const nowMs = cell.nowMs + clockOffsetMs;
    expect(assignmentEnd(state, view, assignment, nowMs)).toBeUndefined();
    // Without a recent report the task is given up, because its start can no longer take effect.
    expect(assignmentEnd(state, view, assignment, nowMs + 60_000)).toBe(AssignmentEnd.Lost);
    expectNoViolations(cell);
  });

  // A worker leaves the instance list and all daemons are replaced, so the next owner never sees
  // the worker. Its tasks used to stay assigned forever. They have to run again once all leases
  // have expired.
  it('runs again if its worker is not known to any owner any more', () => {
    const cell = startCell(38, { timing: { maximumRenewalWithoutTableMs: 20_000 } });
    submit(cell, shard(64, 60_000));
    cell.runFor(5_000);
    cell.unreachableWorkers.add('w3');
    cell.updateInstance('w3', null);
    cell.daemons.forEach((daemon) => {
      // The test harness mutates its own record.
      // eslint-disable-next-line no-param-reassign
      daemon.isAlive = false;
    });
    cell.addDaemon('d3');
    cell.runFor(180_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(64);
    expectNoViolations(cell);
  });
});

/**
 * Drains a worker and returns it to use, so that tasks are evicted and continue on other workers.
 */
const runWithEvictions = (cell: VirtualCell): void => {
  submit(cell, shard(40, 6_000));
  cell.runFor(4_000);
  cell.writeRow(workerKey('w0'), { id: 'w0', isDraining: true });
  cell.runFor(3_000);
  cell.writeRow(workerKey('w0'), { id: 'w0', isDraining: false });
};

describe('an owner that dies after any of its calls', () => {
  // The owner dies right after its n-th call or command, for every n until the work is done:
  // between checkpoint and transaction, between transaction and start, and so on. The next owner
  // has only the table and the workers as sources. Each task must complete once, continue from its
  // checkpoint and never run in two places.
  it('leaves work that the next owner completes once', async () => {
    const probe = startCell(41);
    runWithEvictions(probe);
    probe.runFor(30_000);
    const stepCount = Math.max(...probe.daemons.map(({ effectCount }) => effectCount));
    expect(probe.judge.verdict().evictionCount).toBeGreaterThan(0);
    for (let step = 1; step <= stepCount; step += 1) {
      const cell = startCell(41);
      cell.daemons.forEach((daemon) => {
        // The test harness mutates its own record.
        // eslint-disable-next-line no-param-reassign
        daemon.diesAfterEffect = daemon.id === 'd1' ? step : daemon.diesAfterEffect;
      });
      runWithEvictions(cell);
      cell.runFor(30_000);
      expect([step, cell.judge.verdict().completedBatchCount]).toEqual([step, 40]);
      expectNoViolations(cell);
      // Lets the test runner process its own messages, see tools/test/eventLoopTurns.ts.
      // eslint-disable-next-line no-await-in-loop
      await waitForEventLoop();
    }
  });
});

describe('work to be evicted', () => {
  // Checkpoints cannot be written while the object store is down. A task to be evicted then runs on
  // with renewed leases and is evicted once the store is back. No work is lost, and the worker is
  // not flooded with evictions.
  it('runs on while the object store is down', () => {
    const cell = startCell(51);
    submit(cell, shard(40, 60_000));
    cell.runFor(4_000);
    cell.setObjectStoreDown(true);
    cell.writeRow(workerKey('w0'), { id: 'w0', isDraining: true });
    cell.runFor(2_000);
    const effectCountBefore = cell.daemons.reduce((sum, one) => sum + one.effectCount, 0);
    cell.runFor(20_000);
    const effectCount =
      cell.daemons.reduce((sum, one) => sum + one.effectCount, 0) - effectCountBefore;
    expect(effectCount).toBeLessThan(20 * 12);
    expect(cell.judge.verdict().evictionCount).toBe(0);
    expect(cell.judge.verdict().lapsedCount).toBe(0);
    cell.setObjectStoreDown(false);
    cell.runFor(90_000);
    expect(cell.judge.verdict().evictionCount).toBeGreaterThan(0);
    expect(cell.judge.verdict().completedBatchCount).toBe(40);
    expectNoViolations(cell);
  });

  // The zone is withdrawn while tasks run. Each task is evicted once, and its shard moves to
  // exactly one other cell with its checkpoints.
  it('moves to exactly one other zone with its checkpoints', () => {
    const cell = startCell(52);
    cell.writeRow('configuration/document/zone/zone-b', {
      name: 'zone-b',
      region: 'r',
      state: 'in-use',
    });
    submit(cell, shard(40, 60_000, 'kitchen.plan', SIZE));
    cell.runFor(6_000);
    setZone(cell, 'withdrawn');
    cell.runFor(10_000);
    const { rows } = cell.table.read({ keys: [], prefixes: ['work/'] });
    expect(rows.map(({ key }) => key)).toEqual([`work/zone-b/kitchen.plan~${CELL}`]);
    const { tasks } = workRowSchema.parse(rows[0]?.value);
    expect(tasks.filter(({ checkpoint }) => checkpoint === null)).toEqual([]);
    expect(cell.judge.verdict().evictionCount).toBe(40);
    expectNoViolations(cell);
  });
});
