import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';
import { ENTRY_EXPIRY_MS } from './zoneCut.js';

const ID = '00000000000000c1';
const TASK = `${ID}.0.0.0`;
/** The longest time that a persistent task may be away while there is room for it. */
const LONGEST_ABSENCE_MS = 9_000;

/** Returns a world with two workers, two daemons and a running persistent task. */
const worldOf = async (): Promise<FleetWorld> => {
  const world = new FleetWorld(5, (taskName) => ({
    workMs: taskName.startsWith(ID) ? 90_000 : 300,
    end: RunEnd.Done,
  }));
  ['worker-0', 'worker-1'].forEach((id) => world.addWorker(id));
  [0, 1].forEach(() => world.addScheduler());
  await world.runFor(1_500);
  world.submit(submissionOf(ID, [{ ...STEP, isPersistent: true }]));
  await world.runFor(4_000);
  return world;
};

const untilRunning = async (world: FleetWorld): Promise<void> => {
  const untilMs = world.nowMs + 30_000;
  while (world.workersRunning(TASK).length === 0 && world.nowMs < untilMs) {
    // eslint-disable-next-line no-await-in-loop -- polls in virtual time
    await world.runFor(10);
  }
};

describe('a worker that ends at the same time as the owner', () => {
  it.each([
    ['its address refuses connections', false],
    ['its address does not answer', true],
  ])('does not keep a persistent task away for long if %s', async (_, isRemoved) => {
    const world = await worldOf();
    const [workerId] = world.workersRunning(TASK) as [string];
    const sinceMs = world.nowMs;
    world.workers.get(workerId)?.crash();
    if (isRemoved) world.cutWorkers.add(workerId);
    world.killScheduler(world.owners[0] === world.schedulerSlots[0]?.scheduler ? 0 : 1);
    await world.runFor(ENTRY_EXPIRY_MS);
    world.listedWorkers.delete(workerId);
    await untilRunning(world);
    expect(world.nowMs - sinceMs).toBeLessThan(LONGEST_ABSENCE_MS);
  });
});

describe('a worker that ends undetected before the owner dies', () => {
  it('does not keep a persistent task away for long', async () => {
    const absenceMs = async (phaseMs: number): Promise<number> => {
      const world = await worldOf();
      world.faults.doHeldCallsHang = true;
      await world.runFor(phaseMs);
      const sinceMs = world.nowMs;
      world.removeWorker(world.workersRunning(TASK)[0] as string);
      await world.runFor(1_500);
      world.killScheduler(world.owners[0] === world.schedulerSlots[0]?.scheduler ? 0 : 1);
      await untilRunning(world);
      expect(world.invariants.broken).toEqual([]);
      return world.nowMs - sinceMs;
    };
    const absencesMs = await Promise.all([0, 300, 600, 900, 1_200].map(absenceMs));
    expect(Math.max(...absencesMs)).toBeLessThan(LONGEST_ABSENCE_MS);
  });
});

describe('a worker that ends while the table is unavailable and all daemons restart', () => {
  it('keeps a persistent task away no longer than the leases that its last owner may have granted', async () => {
    const world = await worldOf();
    const sinceMs = world.nowMs;
    world.removeWorker(world.workersRunning(TASK)[0] as string);
    [0, 1].forEach((index) => world.killScheduler(index));
    world.faults.isTableDown = true;
    await world.runFor(2_000);
    [0, 1].forEach((index) => world.startScheduler(index));
    await world.runFor(3_500);
    world.faults.isTableDown = false;
    await untilRunning(world);
    expect(world.nowMs - sinceMs).toBeLessThan(LONGEST_ABSENCE_MS);
    expect(world.invariants.broken).toEqual([]);
  });
});

describe('a worker that ends while new work comes in', () => {
  it.each([200, 1_400, 2_000])(
    'does not keep a persistent task away for long if starts are sent to it after %i ms',
    async (startsAfterMs) => {
      const absenceMs = async (phaseMs: number): Promise<number> => {
        const world = await worldOf();
        world.faults.doHeldCallsHang = true;
        await world.runFor(phaseMs);
        const [workerId] = world.workersRunning(TASK) as [string];
        const sinceMs = world.nowMs;
        world.removeWorker(workerId);
        world.listedWorkers.add(workerId);
        await world.runFor(startsAfterMs);
        world.submit(submissionOf('00000000000000d1', [{ ...STEP, taskCount: 6 }]));
        await world.runFor(ENTRY_EXPIRY_MS - startsAfterMs);
        world.listedWorkers.delete(workerId);
        await untilRunning(world);
        expect(world.invariants.broken).toEqual([]);
        return world.nowMs - sinceMs;
      };
      const absencesMs = await Promise.all([0, 300, 600, 900, 1_200].map(absenceMs));
      expect(Math.max(...absencesMs)).toBeLessThan(LONGEST_ABSENCE_MS);
    },
  );
});

describe('a task on a reachable worker', () => {
  it('keeps running through a table outage of seven seconds', async () => {
    const world = await worldOf();
    world.faults.isTableDown = true;
    await world.runFor(7_000);
    world.faults.isTableDown = false;
    await world.runFor(5_000);
    expect(world.invariants.startCounts.get(TASK)).toBe(1);
  });
});
