import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { STEP, STOP_MS, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const ID = '00000000000000c1';
const PERSISTENT_ID = '00000000000000c2';
const PERSISTENT_TASK = `${PERSISTENT_ID}.0.0.0`;
const PERSISTENT_STEP = { ...STEP, isPersistent: true };
/** Covers a lease, the slack of clocks and calls, and the time to detect that a worker is gone. */
const LEASE_AND_SLACK_MS = 7_000;
/** The time from the death of an owner until its successor has placed the waiting tasks. */
const TAKEOVER_MS = 4_000;

const taskOf = (taskName: string): { workMs: number; end: RunEnd } => ({
  workMs: taskName.startsWith(PERSISTENT_ID) ? 90_000 : 800,
  end: RunEnd.Done,
});

const worldOf = async (workerCount: number, schedulerCount: number): Promise<FleetWorld> => {
  const world = new FleetWorld(11, taskOf);
  for (let index = 0; index < workerCount; index += 1) world.addWorker(`worker-${index}`);
  for (let index = 0; index < schedulerCount; index += 1) world.addScheduler();
  await world.runFor(1_500);
  return world;
};

const ownerIndex = (world: FleetWorld): number =>
  world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.epoch !== undefined);

/** Runs until the task runs somewhere, and returns how long that took. */
const untilRunningMs = async (
  world: FleetWorld,
  taskName: string,
  limitMs: number,
): Promise<number> => {
  const sinceMs = world.nowMs;
  while (world.workersRunning(taskName).length === 0 && world.nowMs - sinceMs < limitMs) {
    // eslint-disable-next-line no-await-in-loop -- polls in virtual time
    await world.runFor(50);
  }
  return world.nowMs - sinceMs;
};

/** Measures the longest time that a task ran nowhere. */
class Absences {
  readonly #awaySinceMs = new Map<string, number>();

  readonly #names: readonly string[];

  longestMs = 0;

  constructor(names: readonly string[]) {
    this.#names = names;
  }

  sample(world: FleetWorld): void {
    this.#names.forEach((name) => {
      if (world.workersRunning(name).length > 0) this.#awaySinceMs.delete(name);
      else if (!this.#awaySinceMs.has(name)) this.#awaySinceMs.set(name, world.nowMs);
      const awayMs = world.nowMs - (this.#awaySinceMs.get(name) ?? world.nowMs);
      this.longestMs = Math.max(this.longestMs, awayMs);
    });
  }
}

describe('a takeover of the fleet', () => {
  it('does not delay tasks that cannot be running on the unreachable worker', async () => {
    const world = await worldOf(3, 2);
    world.submit(submissionOf(ID, [STEP, { ...STEP, after: [0] }]));
    await world.runFor(400);
    const [idle] = [...world.workers.keys()].filter(
      (id) => !world.workersRunning(`${ID}.0.0.0`).includes(id),
    );
    world.removeWorker(idle as string);
    world.killScheduler(ownerIndex(world));
    const waitedMs = await untilRunningMs(world, `${ID}.0.1.0`, 20_000);
    expect(waitedMs).toBeLessThan(TAKEOVER_MS);
    expect(world.invariants.broken).toEqual([]);
  });

  it("does not postpone the restart of a lost worker's tasks, even after several owner changes", async () => {
    const world = await worldOf(3, 7);
    world.submit(submissionOf(PERSISTENT_ID, [PERSISTENT_STEP]));
    await world.runFor(500);
    world.removeWorker(world.workersRunning(PERSISTENT_TASK)[0] as string);
    for (let round = 0; round < 6; round += 1) {
      world.killScheduler(ownerIndex(world));
      // eslint-disable-next-line no-await-in-loop -- each owner lives until the next has taken over
      await world.runFor(2_500);
    }
    expect(world.workersRunning(PERSISTENT_TASK)).toHaveLength(1);
    expect(world.invariants.broken).toEqual([]);
  });

  it('keeps persistent tasks running while owners are stopped in turn and workers leave', async () => {
    const world = await worldOf(8, 4);
    world.submit(submissionOf(PERSISTENT_ID, [{ ...PERSISTENT_STEP, taskCount: 8 }]));
    await world.runFor(1_000);
    const names = Array.from({ length: 8 }, (_, index) => `${PERSISTENT_ID}.0.0.${index}`);
    const absences = new Absences(names);
    for (let tick = 0; tick < 300; tick += 1) {
      if (tick % 7 === 0 && tick < 50) {
        world.addWorker(`new-${tick}`);
        world.removeWorker(`worker-${tick / 7}`);
      }
      if (tick % 20 === 0 && tick < 140) {
        const owner = Math.max(0, ownerIndex(world));
        world.stopScheduler(owner);
        world.startScheduler(owner);
      }
      // eslint-disable-next-line no-await-in-loop -- polls in virtual time
      await world.runFor(100);
      absences.sample(world);
    }
    expect(absences.longestMs).toBeLessThan(LEASE_AND_SLACK_MS);
    expect(world.invariants.broken).toEqual([]);
  });
});

describe('a draining worker', () => {
  it('does not keep a persistent task until it leaves if other workers have room', async () => {
    const world = await worldOf(2, 1);
    world.submit(submissionOf(PERSISTENT_ID, [PERSISTENT_STEP]));
    await world.runFor(500);
    const [drained] = world.workersRunning(PERSISTENT_TASK);
    world.drainingWorkers.add(drained as string);
    const absences = new Absences([PERSISTENT_TASK]);
    for (let tick = 0; tick < 30; tick += 1) {
      // eslint-disable-next-line no-await-in-loop -- polls in virtual time
      await world.runFor(100);
      absences.sample(world);
    }
    expect(world.workersRunning(PERSISTENT_TASK)).toHaveLength(1);
    expect(world.workersRunning(PERSISTENT_TASK)).not.toContain(drained);
    expect(absences.longestMs).toBeLessThan(STOP_MS);
  });

  it('has leases so short that a successor does not wait long for them after it has left', async () => {
    const world = await worldOf(1, 2);
    world.submit(submissionOf(PERSISTENT_ID, [PERSISTENT_STEP]));
    await world.runFor(500);
    world.drainingWorkers.add('worker-0');
    await world.runFor(8_000);
    expect(world.workersRunning(PERSISTENT_TASK)).toHaveLength(1);
    world.removeWorker('worker-0');
    world.addWorker('worker-1');
    world.killScheduler(ownerIndex(world));
    const waitedMs = await untilRunningMs(world, PERSISTENT_TASK, 20_000);
    expect(waitedMs).toBeLessThan(LEASE_AND_SLACK_MS);
    expect(world.invariants.broken).toEqual([]);
  });
});

describe('an owner that is cut off from the table', () => {
  /**
   * The former owner reaches only the worker that runs the task. Its successor reaches the other.
   */
  const splitWorld = async (isDraining: boolean): Promise<FleetWorld> => {
    const world = await worldOf(1, 2);
    world.submit(submissionOf(PERSISTENT_ID, [PERSISTENT_STEP]));
    await world.runFor(500);
    const former = ownerIndex(world);
    world.schedulerSlots[former]?.unreachableWorkers.add('worker-1');
    world.schedulerSlots[1 - former]?.unreachableWorkers.add('worker-0');
    world.addWorker('worker-1');
    if (isDraining) world.drainingWorkers.add('worker-0');
    await world.runFor(isDraining ? 8_000 : 1_500);
    Object.assign(world.schedulerSlots[former] ?? {}, { isCutFromTable: true });
    return world;
  };

  it('does not run a task twice under leases that it grants while its successor waits', async () => {
    const world = await splitWorld(false);
    await world.runFor(20_000);
    expect(world.invariants.broken).toEqual([]);
    expect(world.workersRunning(PERSISTENT_TASK)).toEqual(['worker-1']);
  });

  it('does not run a task twice if its successor hands over at once', async () => {
    const world = await worldOf(1, 3);
    world.submit(submissionOf(PERSISTENT_ID, [PERSISTENT_STEP]));
    await world.runFor(500);
    const former = ownerIndex(world);
    world.addWorker('worker-1');
    world.schedulerSlots.forEach((slot, index) =>
      slot.unreachableWorkers.add(index === former ? 'worker-1' : 'worker-0'),
    );
    Object.assign(world.schedulerSlots[former] ?? {}, { isCutFromTable: true });
    const next = (): number =>
      world.schedulerSlots.findIndex(
        ({ scheduler }, index) => index !== former && scheduler?.epoch !== undefined,
      );
    while (next() < 0) {
      // eslint-disable-next-line no-await-in-loop -- polls in virtual time
      await world.runFor(50);
    }
    await world.runFor(200);
    world.stopScheduler(next());
    await world.runFor(15_000);
    expect(world.invariants.broken).toEqual([]);
    expect(world.workersRunning(PERSISTENT_TASK)).toEqual(['worker-1']);
  });

  it('grants a draining worker no lease beyond the limit that its successor knows', async () => {
    const world = await splitWorld(true);
    await world.runFor(7_000);
    expect(world.workersRunning(PERSISTENT_TASK)).toEqual(['worker-1']);
    await world.runFor(10_000);
    expect(world.invariants.broken).toEqual([]);
  });
});
