import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';
import { ENTRY_EXPIRY_MS } from './zoneCut.js';

const ID = '00000000000000c1';
const TASK = `${ID}.0.0.0`;
/** For how long a task that lasts may be away while there is room for it. */
const LONGEST_ABSENCE_MS = 9_000;

/** Two workers, two daemons and a task that lasts at work. */
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
  while (world.runsOf(TASK).length === 0 && world.nowMs < untilMs) {
    // eslint-disable-next-line no-await-in-loop -- looks as time goes by
    await world.runFor(10);
  }
};

describe('a worker that ends at the same time as the owner', () => {
  it.each([
    ['its address refuses connections', false],
    ['its address does not answer', true],
  ])('leaves no task that lasts away for long when %s', async (_, isRemoved) => {
    const world = await worldOf();
    const [workerId] = world.runsOf(TASK) as [string];
    const sinceMs = world.nowMs;
    world.workers.get(workerId)?.crash();
    if (isRemoved) world.cutWorkers.add(workerId);
    world.killScheduler(world.owners[0] === world.seats[0]?.scheduler ? 0 : 1);
    await world.runFor(ENTRY_EXPIRY_MS);
    world.listedWorkers.delete(workerId);
    await untilRunning(world);
    expect(world.nowMs - sinceMs).toBeLessThan(LONGEST_ABSENCE_MS);
  });
});

describe('a worker that ends before the owner and has not been found to be gone', () => {
  it('leaves no task that lasts away for long', async () => {
    const awayAfterMs = async (phaseMs: number): Promise<number> => {
      const world = await worldOf();
      world.faults.doHeldCallsHang = true;
      await world.runFor(phaseMs);
      const sinceMs = world.nowMs;
      world.removeWorker(world.runsOf(TASK)[0] as string);
      await world.runFor(1_500);
      world.killScheduler(world.owners[0] === world.seats[0]?.scheduler ? 0 : 1);
      await untilRunning(world);
      expect(world.judge.broken).toEqual([]);
      return world.nowMs - sinceMs;
    };
    const awaysMs = await Promise.all([0, 300, 600, 900, 1_200].map(awayAfterMs));
    expect(Math.max(...awaysMs)).toBeLessThan(LONGEST_ABSENCE_MS);
  });
});

describe('a worker that ends while the table is out and all daemons start anew', () => {
  it('leaves no task that lasts away for longer than the former owner may have granted', async () => {
    const world = await worldOf();
    const sinceMs = world.nowMs;
    world.removeWorker(world.runsOf(TASK)[0] as string);
    [0, 1].forEach((index) => world.killScheduler(index));
    world.faults.isTableDown = true;
    await world.runFor(2_000);
    [0, 1].forEach((index) => world.startScheduler(index));
    await world.runFor(3_500);
    world.faults.isTableDown = false;
    await untilRunning(world);
    expect(world.nowMs - sinceMs).toBeLessThan(LONGEST_ABSENCE_MS);
    expect(world.judge.broken).toEqual([]);
  });
});

describe('a worker that ends while work keeps coming', () => {
  it.each([200, 1_400, 2_000])(
    'leaves no task that lasts away for long when starts are sent to it after %i ms',
    async (startsAfterMs) => {
      const awayAfterMs = async (phaseMs: number): Promise<number> => {
        const world = await worldOf();
        world.faults.doHeldCallsHang = true;
        await world.runFor(phaseMs);
        const [workerId] = world.runsOf(TASK) as [string];
        const sinceMs = world.nowMs;
        world.removeWorker(workerId);
        world.listedWorkers.add(workerId);
        await world.runFor(startsAfterMs);
        world.submit(submissionOf('00000000000000d1', [{ ...STEP, taskCount: 6 }]));
        await world.runFor(ENTRY_EXPIRY_MS - startsAfterMs);
        world.listedWorkers.delete(workerId);
        await untilRunning(world);
        expect(world.judge.broken).toEqual([]);
        return world.nowMs - sinceMs;
      };
      const awaysMs = await Promise.all([0, 300, 600, 900, 1_200].map(awayAfterMs));
      expect(Math.max(...awaysMs)).toBeLessThan(LONGEST_ABSENCE_MS);
    },
  );
});

describe('tasks on workers that are in reach', () => {
  it('outlive an outage of the table of seven seconds', async () => {
    const world = await worldOf();
    world.faults.isTableDown = true;
    await world.runFor(7_000);
    world.faults.isTableDown = false;
    await world.runFor(5_000);
    expect(world.judge.startsOf.get(TASK)).toBe(1);
  });
});
