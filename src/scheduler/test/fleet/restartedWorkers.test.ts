import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { STEP, submissionOf, TIMING, WORKER_CAPACITY } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const FIRST_ID = '00000000000000f1';
const ID = '00000000000000f2';
const TASK = `${ID}.0.0.0`;
const WORK_MS = 300;
const DOWN_MS = 200;
/** Longer than the leases that the owner grants. */
const LONGER_LEASE_MS = TIMING.workerLeaseLimitMs;

/** Cuts the worker off, restarts its process under the same id, and ends the cut. */
const restartUnnoticed = async (
  world: FleetWorld,
  workerId: string,
  downMs = DOWN_MS,
): Promise<void> => {
  world.cutWorkers.add(workerId);
  await world.runFor(50);
  world.workers.get(workerId)?.crash();
  await world.runFor(downMs);
  world.workers.get(workerId)?.restart(world.nowMs);
  world.cutWorkers.delete(workerId);
};

describe('a worker that has restarted under its id without the owner noticing', () => {
  it.each([
    ['completed', RunEnd.Done],
    ['failed', RunEnd.Failed],
  ])('keeps the end of a %s task until the owner has handled it', async (_, end) => {
    const world = new FleetWorld(11, (taskName) => ({
      workMs: WORK_MS,
      end: taskName.startsWith(ID) ? end : RunEnd.Done,
    }));
    world.addWorker('worker-0');
    world.addScheduler();
    await world.runFor(1_500);
    world.submit(submissionOf(FIRST_ID, [STEP]));
    await world.runFor(1_000);
    expect(world.progress(FIRST_ID)?.state).toBe('complete');
    await restartUnnoticed(world, 'worker-0');
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(4_000);
    expect(world.invariants.broken).toEqual([]);
    // A task gets at most three attempts.
    expect(world.invariants.startCounts.get(TASK)).toBe(end === RunEnd.Done ? 1 : 3);
  });
});

describe('a worker that accepts longer leases than the owner grants', () => {
  it('does not run tasks beyond the leases that the owner knows after it has restarted', async () => {
    const world = new FleetWorld(11, () => ({ workMs: 90_000, end: RunEnd.Done }));
    world.addWorker('worker-0', LONGER_LEASE_MS);
    world.addScheduler();
    // Puts the clock of the former process ahead of the new process's clock by more than a lease.
    await world.runFor(20_000);
    await restartUnnoticed(world, 'worker-0');
    world.submit(submissionOf(ID, [{ ...STEP, isPersistent: true }]));
    await world.runFor(2_000);
    expect(world.workersRunning(TASK)).toEqual(['worker-0']);
    world.addWorker('worker-1', LONGER_LEASE_MS);
    await world.runFor(1_500);
    world.cutWorkers.add('worker-0');
    await world.runFor(LONGER_LEASE_MS);
    expect(world.invariants.startCounts.get(TASK)).toBe(2);
    expect(world.invariants.broken).toEqual([]);
  });
});

describe('a worker that has restarted under its id with another capacity', () => {
  it('gets no more tasks than fit before the table is read again', async () => {
    const world = new FleetWorld(11, () => ({ workMs: 90_000, end: RunEnd.Done }));
    world.addWorker('worker-0');
    world.addScheduler();
    // The owner has just read the list of workers.
    await world.runFor(2_010);
    const worker = world.workers.get('worker-0');
    worker?.crash();
    world.capacities.set('worker-0', { ...WORKER_CAPACITY, processorMillis: 1_000 });
    await world.runFor(DOWN_MS);
    worker?.restart(world.nowMs);
    world.submit(submissionOf(ID, [{ ...STEP, taskCount: 4 }]));
    await world.runFor(2_000);
    expect(worker?.runs.size).toBe(1);
  });
});

describe('the end of a run on a process that has just restarted under its id', () => {
  it('is not acknowledged by the sequence numbers of the former process', async () => {
    const world = new FleetWorld(1, () => ({ workMs: WORK_MS, end: RunEnd.Done }));
    world.addWorker('worker-0');
    world.addScheduler();
    await world.runFor(1_500);
    world.submit(submissionOf(FIRST_ID, [STEP]));
    await world.runFor(1_000);
    await restartUnnoticed(world, 'worker-0', 150);
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(5_000);
    expect(world.invariants.broken).toEqual([]);
    expect(world.invariants.startCounts.get(TASK)).toBe(1);
    expect(world.progress(ID)?.state).toBe('complete');
  });
});
