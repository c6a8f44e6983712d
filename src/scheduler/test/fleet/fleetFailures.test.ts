import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const ID = '00000000000000b1';
const TASK = `${ID}.0.0.0`;
const LONG = (): { workMs: number; end: RunEnd } => ({ workMs: 60_000, end: RunEnd.Done });
const SHORT = (): { workMs: number; end: RunEnd } => ({ workMs: 800, end: RunEnd.Done });

const worldOf = async (taskOf: (taskName: string) => { workMs: number; end: RunEnd }) => {
  const world = new FleetWorld(7, taskOf);
  ['worker-0', 'worker-1'].forEach((id) => world.addWorker(id));
  world.addScheduler();
  await world.runFor(1_500);
  return world;
};

const ownerIndex = (world: FleetWorld): number =>
  world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.epoch !== undefined);

describe('a fleet with failures', () => {
  it('keeps tasks running when the owner dies', async () => {
    // The owner is killed. Another daemon takes the owner's lease, holds the workers under a higher
    // fence and finds the run there before the worker's lease has lapsed. The caller sees no
    // interruption. A new owner that started the task again would run it twice.
    const world = await worldOf(LONG);
    world.addScheduler();
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(500);
    world.killScheduler(ownerIndex(world));
    await world.runFor(9_000);
    expect(world.invariants.startCounts.get(TASK)).toBe(1);
    expect(world.workersRunning(TASK)).toHaveLength(1);
    expect(world.invariants.broken).toEqual([]);
  });

  it('records the end of a task that ended after the owner died', async () => {
    // The task ends while there is no owner. The worker lists the end until it is acknowledged, so
    // the new owner records it and the caller sees its submission complete after one run.
    const world = await worldOf(SHORT);
    world.addScheduler();
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(300);
    world.killScheduler(ownerIndex(world));
    await world.runFor(6_000);
    expect(world.invariants.startCounts.get(TASK)).toBe(1);
    expect(world.progress(ID)?.state).toBe('complete');
  });

  it('does not start a task elsewhere while an unanswered start may still be carried out', async () => {
    // Every order gets no answer and is carried out up to ten seconds late. A scheduler that took
    // silence for a refusal would start the task on the other worker, and both would run it.
    const world = await worldOf(LONG);
    world.faults.lateOrderShare = 1;
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(20_000);
    world.faults.lateOrderShare = 0;
    await world.runFor(15_000);
    expect(world.workersRunning(TASK)).toHaveLength(1);
    expect(world.invariants.broken).toEqual([]);
  });

  it('waits until the lease of an unreachable worker is over before it starts its tasks elsewhere', async () => {
    // The worker is cut off and runs its task until its lease lapses by its own clock, which may be
    // two percent slow. Only then is the task started on the other worker.
    const world = await worldOf(LONG);
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(500);
    const [first] = world.workersRunning(TASK);
    world.cutWorkers.add(first as string);
    await world.runFor(12_000);
    expect(world.invariants.startCounts.get(TASK)).toBe(2);
    expect(world.invariants.broken).toEqual([]);
  });

  it('restarts tasks at once when their worker comes back without them', async () => {
    const world = await worldOf(LONG);
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(500);
    const worker = world.workers.get(world.workersRunning(TASK)[0] as string);
    worker?.crash();
    await world.runFor(300);
    worker?.restart(world.nowMs);
    await world.runFor(3_000);
    expect(world.invariants.startCounts.get(TASK)).toBe(2);
    expect(world.invariants.broken).toEqual([]);
  });

  it('keeps tasks running through a table outage of four seconds', async () => {
    const world = await worldOf(LONG);
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(500);
    world.faults.isTableDown = true;
    await world.runFor(4_000);
    world.faults.isTableDown = false;
    await world.runFor(4_000);
    expect(world.invariants.startCounts.get(TASK)).toBe(1);
    expect(world.workersRunning(TASK)).toHaveLength(1);
  });

  it('lets only one of two daemons start tasks when both believe they own the fleet', async () => {
    // The owner is cut off from the table and goes on for seconds. The new owner holds the workers
    // under a higher fence, and they refuse the former owner from then on.
    const world = await worldOf(SHORT);
    world.addScheduler();
    const former = ownerIndex(world);
    (world.schedulerSlots[former] as { isCutFromTable: boolean }).isCutFromTable = true;
    for (let index = 0; index < 20; index += 1) {
      world.submit(submissionOf(`00000000000001${index.toString().padStart(2, '0')}`, [STEP]));
      // eslint-disable-next-line no-await-in-loop -- the submissions arrive one after the other
      await world.runFor(300);
    }
    await world.runFor(6_000);
    expect(world.invariants.broken).toEqual([]);
    expect([...world.invariants.startCounts.values()].every((count) => count === 1)).toBe(true);
    expect(world.invariants.startCounts.size).toBe(20);
  });

  it('never restores an older state of a submission when a transaction is applied late', async () => {
    // Transactions get no answer and are applied up to three seconds later. If writes of a row were
    // not conditional on its version, a complete submission could be shown as running again.
    const world = await worldOf(SHORT);
    world.faults.lostAnswerShare = 0.4;
    world.submit(submissionOf(ID, [STEP, { ...STEP, after: [0] }]));
    let wasComplete = false;
    for (let index = 0; index < 200; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- checks the state as time passes
      await world.runFor(100);
      const isComplete = world.progress(ID)?.state === 'complete';
      expect(isComplete || !wasComplete).toBe(true);
      wasComplete = isComplete;
    }
    expect(wasComplete).toBe(true);
  });
});

describe('a new owner of the fleet', () => {
  it('does not wait for the leases of a worker that has shut down', async () => {
    // A worker shuts down gracefully: its entry is removed and nothing listens at its address. Then
    // the owner dies before it has updated the roster. The new owner finds the worker in the roster
    // and cannot hold it. It must not keep all other tasks waiting for the worker's last possible
    // lease.
    const world = await worldOf(LONG);
    world.addScheduler();
    world.faults.isTableDown = true;
    world.workers.get('worker-0')?.crash();
    world.listedWorkers.delete('worker-0');
    world.killScheduler(ownerIndex(world));
    world.submit(submissionOf(ID, [STEP]));
    world.faults.isTableDown = false;
    await world.runFor(4_500);
    expect(world.workersRunning(TASK)).toHaveLength(1);
  });
});

describe('a task whose assignment is being stored', () => {
  it('does not start if its submission is cancelled in the meantime', async () => {
    const world = await worldOf(LONG);
    world.faults.transactionMs = 600;
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(200);
    world.cancel(ID);
    await world.runFor(4_000);
    expect(world.invariants.startCounts.get(TASK)).toBeUndefined();
  });

  it('starts exactly once if its worker restarts in the meantime', async () => {
    const world = await worldOf(LONG);
    world.removeWorker('worker-1');
    await world.runFor(3_000);
    world.faults.transactionMs = 600;
    world.submit(submissionOf(ID, [{ ...STEP, taskCount: 4 }]));
    await world.runFor(200);
    world.workers.get('worker-0')?.crash();
    world.workers.get('worker-0')?.restart(world.nowMs);
    await world.runFor(6_000);
    expect(world.invariants.broken).toEqual([]);
    expect([...world.invariants.startCounts.values()]).toEqual([1, 1, 1, 1]);
  });
});
