import { right } from 'fp-ts/lib/Either.js';
import { describe, expect, it } from 'vitest';

import { OrderOutcome, RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { ASSIGNMENT_PREFIX } from '../../../services/submissions/common/submissionRows.js';
import type { FleetScheduler } from '../../common/fleet/fleetScheduler.js';
import { longestLeaseMs } from '../../common/fleet/fleetTiming.js';
import { FleetWorkerView } from '../../common/fleet/fleetWorkerView.js';
import { Roster } from '../../common/fleet/roster.js';
import { TransactionOutcome } from '../../../services/table/common/table.js';
import { STEP, submissionOf, TIMING, WORKER_CAPACITY } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const ID = '00000000000000d1';
const TASK = `${ID}.0.0.0`;
const PERSISTENT_STEP = { ...STEP, isPersistent: true };
/** The time from the death of an owner until its successor has placed the waiting tasks. */
const TAKEOVER_MS = 4_000;
/** The time from the death of an owner until all leases that it may have granted have ended. */
const FORMER_LEASES_MS =
  TIMING.leaseMs + TIMING.maximumGrantWithoutTableMs + longestLeaseMs(TIMING.maximumLeaseMs);
/** The longest time that a persistent task may be away while there is room for it. */
const LONGEST_ABSENCE_MS = 9_000;
/** The largest row that the table accepts. */
const MAXIMUM_ROW_BYTES = 65_536;
/** The number of workers that the scheduler is designed for. */
const DESIGNED_WORKERS = 860;

const ENTRY = {
  serviceName: 'service',
  availabilityZone: 'zone',
  isDraining: false,
  capacity: WORKER_CAPACITY,
  labels: [],
  rack: '',
  incarnation: 1,
};

const worldOf = async (
  workerCount: number,
  schedulerCount: number,
  workMs = 90_000,
): Promise<FleetWorld> => {
  const world = new FleetWorld(5, () => ({ workMs, end: RunEnd.Done }));
  for (let index = 0; index < workerCount; index += 1) world.addWorker(`worker-${index}`);
  for (let index = 0; index < schedulerCount; index += 1) world.addScheduler();
  await world.runFor(1_500);
  return world;
};

const ownerIndex = (world: FleetWorld): number =>
  world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.epoch !== undefined);

/** Runs until the condition is met, and returns how long that took. */
const untilMet = async (
  world: FleetWorld,
  isMet: () => boolean,
  limitMs: number,
): Promise<number> => {
  const sinceMs = world.nowMs;
  while (!isMet() && world.nowMs - sinceMs < limitMs) {
    // eslint-disable-next-line no-await-in-loop -- polls in virtual time
    await world.runFor(10);
  }
  return world.nowMs - sinceMs;
};

/** Gives the owner a worker's refusal of an order with the fence `orderFence`. */
const refuseOrder = (world: FleetWorld, workerId: string, orderFence: number): void => {
  const scheduler = world.schedulerSlots[ownerIndex(world)]?.scheduler as FleetScheduler;
  scheduler.handleStopped(
    scheduler.epoch as number,
    { workerId, address: workerId, taskName: TASK, run: 1, fence: orderFence },
    right(OrderOutcome.Fenced),
    world.nowMs,
  );
};

/** A fence that is not below the current one of any worker. */
const CURRENT_FENCE = Number.MAX_SAFE_INTEGER;

describe('an owner that has not received the changes of callers for long', () => {
  it('starts no task of a submission that was cancelled meanwhile', async () => {
    const world = await worldOf(2, 1);
    world.faults.isFeedSilent = true;
    await world.runFor(3_000);
    world.submit(submissionOf(ID, [STEP]));
    const scheduler = world.schedulerSlots[0]?.scheduler as FleetScheduler;
    const submission = submissionOf(ID, [STEP]);
    scheduler.handleChanges(scheduler.epoch as number, [{ kind: 'submission', submission }], 0);
    world.cancel(ID);
    await world.runFor(1_000);
    world.faults.isFeedSilent = false;
    await world.runFor(2_000);
    expect(world.invariants.startCounts.get(TASK)).toBeUndefined();
  });
});

describe('an owner that has not received the changes of operators for long', () => {
  it('starts no task in a zone that was withdrawn meanwhile', async () => {
    const world = await worldOf(2, 1);
    world.faults.isOperatorSilent = true;
    await world.runFor(TIMING.operatorFreshnessMs);
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(2_000);
    expect(world.invariants.startCounts.get(TASK)).toBeUndefined();
    world.faults.isOperatorSilent = false;
    await world.runFor(1_000);
    expect(world.invariants.startCounts.get(TASK)).toBe(1);
  });
});

describe('an owner that has not received the list of workers for long', () => {
  it('starts no task on a worker that began to drain meanwhile', async () => {
    const world = await worldOf(1, 1);
    world.faults.isWorkerListSilent = true;
    world.drainingWorkers.add('worker-0');
    await world.runFor(TIMING.workerListFreshnessMs);
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(1_000);
    expect(world.invariants.startCounts.get(TASK)).toBeUndefined();
  });

  it('does not go by a list that was requested before the latest one', async () => {
    const world = await worldOf(1, 1);
    const scheduler = world.schedulerSlots[0]?.scheduler as FleetScheduler;
    const entry = { ...ENTRY, id: 'worker-0', address: 'worker-0', incarnation: 0 };
    const deliver = (isDraining: boolean, sentAtMs: number): void =>
      scheduler.handleWorkers(
        scheduler.epoch as number,
        [{ ...entry, isDraining }],
        sentAtMs,
        world.nowMs,
      );
    world.faults.isWorkerListSilent = true;
    deliver(true, world.nowMs);
    deliver(false, world.nowMs - 1);
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(1_000);
    expect(world.invariants.startCounts.get(TASK)).toBeUndefined();
  });

  it('starts tasks again once it has received the list', async () => {
    const world = await worldOf(1, 1);
    world.faults.isWorkerListSilent = true;
    await world.runFor(TIMING.workerListFreshnessMs);
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(1_000);
    world.faults.isWorkerListSilent = false;
    await world.runFor(1_500);
    expect(world.invariants.startCounts.get(TASK)).toBe(1);
  });
});

describe('an owner whose order is refused', () => {
  it('stays the owner if it sent the order before it raised the fence of the worker', async () => {
    const world = await worldOf(2, 1);
    const scheduler = world.schedulerSlots[0]?.scheduler as FleetScheduler;
    const { epoch } = scheduler;
    refuseOrder(world, 'worker-0', 1);
    await world.runFor(1_000);
    expect(scheduler.epoch).toBe(epoch);
  });

  it('sends no start for an assignment that is stored after it has given up the epoch', async () => {
    const world = await worldOf(2, 1);
    world.faults.transactionMs = 600;
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(200);
    const scheduler = world.schedulerSlots[0]?.scheduler as FleetScheduler;
    const epoch = scheduler.epoch as number;
    refuseOrder(world, 'worker-0', CURRENT_FENCE);
    const committed = right({ outcome: TransactionOutcome.Committed, version: 1_000 });
    expect(scheduler.handleCommitted(epoch, committed, world.nowMs)).toEqual([]);
  });
});

describe('an owner that gives up the fleet while it is still the owner', () => {
  it('does not run a task twice under leases that it granted before', async () => {
    const world = await worldOf(2, 1);
    world.submit(submissionOf(ID, [PERSISTENT_STEP]));
    await world.runFor(12_000);
    const [holder] = world.workersRunning(TASK);
    const [other] = [...world.workers.keys()].filter((id) => id !== holder);
    world.cutWorkers.add(holder as string);
    refuseOrder(world, other as string, CURRENT_FENCE);
    await world.runFor(3_000);
    expect(world.invariants.broken).toEqual([]);
  });

  it('is not refused by a worker that has seen a raised fence', async () => {
    const world = await worldOf(2, 1);
    world.workers.get('worker-0')?.crash();
    await world.runFor(100);
    world.workers.get('worker-0')?.restart(world.nowMs);
    await world.runFor(2_000);
    refuseOrder(world, 'worker-0', CURRENT_FENCE);
    world.submit(submissionOf(ID, [STEP]));
    const waitedMs = await untilMet(world, () => world.workersRunning(TASK).length > 0, 20_000);
    expect(waitedMs).toBeLessThan(TAKEOVER_MS);
  });
});

describe('a gang whose assignments are being stored', () => {
  it('does not start in part if a worker restarts meanwhile', async () => {
    const world = await worldOf(2, 1);
    world.faults.transactionMs = 600;
    const size = { ...STEP.size, processorMillis: 3_000 };
    world.submit(submissionOf(ID, [{ ...STEP, size, taskCount: 2, isGang: true }]));
    await world.runFor(200);
    world.workers.get('worker-0')?.crash();
    world.workers.get('worker-0')?.restart(world.nowMs);
    await world.runFor(1_500);
    const counts = [0, 1].map(
      (index) => world.invariants.startCounts.get(`${ID}.0.0.${index}`) ?? 0,
    );
    expect(counts[0]).toBe(counts[1]);
  });
});

describe('draining workers', () => {
  it('keep persistent tasks for which other workers have no room', async () => {
    const world = await worldOf(1, 1);
    world.submit(submissionOf(ID, [{ ...PERSISTENT_STEP, taskCount: 4 }]));
    await world.runFor(500);
    world.submit(submissionOf('00000000000000d2', [{ ...STEP, taskCount: 3 }]));
    world.addWorker('worker-1');
    await world.runFor(1_500);
    world.drainingWorkers.add('worker-0');
    await world.runFor(4_000);
    const running = [0, 1, 2, 3].map((index) => world.workersRunning(`${ID}.0.0.${index}`).length);
    expect(running).toEqual([1, 1, 1, 1]);
  });
});

describe('a successor', () => {
  it('starts no task of a submission that was cancelled after it had read the stored state', async () => {
    const world = await worldOf(2, 2);
    world.killScheduler(ownerIndex(world));
    world.submit(submissionOf(ID, [STEP]));
    world.faults.isFeedSilent = true;
    await untilMet(world, () => ownerIndex(world) >= 0, 5_000);
    world.cancel(ID);
    await world.runFor(1_500);
    world.faults.isFeedSilent = false;
    await world.runFor(3_000);
    expect(world.invariants.startCounts.get(TASK)).toBeUndefined();
  });

  it('shows a submission as running if its predecessor died before recording the first start', async () => {
    const world = await worldOf(2, 2);
    world.submit(submissionOf(ID, [STEP]));
    await untilMet(world, () => world.workersRunning(TASK).length > 0, 1_000);
    world.killScheduler(ownerIndex(world));
    await world.runFor(6_000);
    expect(world.workersRunning(TASK)).toHaveLength(1);
    expect(world.progress(ID)?.state).toBe('running');
  });

  it('does not restart the wait for a lost worker, even if several owners end before their first roster', async () => {
    const world = await worldOf(2, 8);
    world.submit(submissionOf(ID, [PERSISTENT_STEP]));
    await world.runFor(500);
    world.removeWorker(world.workersRunning(TASK)[0] as string);
    const sinceMs = world.nowMs;
    world.killScheduler(ownerIndex(world));
    for (let round = 0; round < 6; round += 1) {
      const owner = (): number =>
        world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.isOwner);
      // eslint-disable-next-line no-await-in-loop -- each owner ends as soon as it acquires the lease
      await untilMet(world, () => owner() >= 0, 5_000);
      world.killScheduler(owner());
    }
    await untilMet(world, () => world.workersRunning(TASK).length > 0, 30_000);
    const awayMs = world.nowMs - sinceMs;
    expect(awayMs).toBeLessThan(FORMER_LEASES_MS + TAKEOVER_MS);
  });

  it('does not keep a persistent task away for long if its worker was lost just before the owner', async () => {
    const world = await worldOf(2, 2);
    world.submit(submissionOf(ID, [PERSISTENT_STEP]));
    await world.runFor(4_000);
    world.removeWorker(world.workersRunning(TASK)[0] as string);
    const sinceMs = world.nowMs;
    await world.runFor(1_000);
    world.killScheduler(ownerIndex(world));
    await untilMet(world, () => world.workersRunning(TASK).length > 0, 30_000);
    expect(world.nowMs - sinceMs).toBeLessThan(LONGEST_ABSENCE_MS);
  });

  it('does not restart an ended task of an occurrence that is not due yet by its own wall clock', async () => {
    const world = await worldOf(2, 2, 800);
    const first = ownerIndex(world);
    const lateScheduler = world.schedulerSlots[1 - first]?.scheduler as FleetScheduler;
    const step = lateScheduler.step.bind(lateScheduler);
    lateScheduler.step = (wallNowMs, nowMs) => step(wallNowMs - 5_000, nowMs);
    world.submit({
      ...submissionOf(ID, [STEP]),
      occurrenceCount: 1,
      firstDueWallMs: world.nowMs + 300,
      occurrenceIntervalMs: 1_000,
    });
    await untilMet(world, () => world.workersRunning(TASK).length > 0, 2_000);
    world.killScheduler(first);
    await world.runFor(12_000);
    expect(world.progress(ID)?.state).toBe('complete');
    expect(world.invariants.startCounts.get(TASK)).toBe(1);
  });

  it('does not rewrite assignments that are already stored', async () => {
    const world = await worldOf(20, 2);
    for (let index = 0; index < 60; index += 1) {
      world.submit(submissionOf(`00000000000e${index.toString().padStart(4, '0')}`, [STEP]));
    }
    await world.runFor(3_000);
    const versions = (): readonly number[] =>
      world.table.read({ keys: [], prefixes: [ASSIGNMENT_PREFIX] }).rows.map((row) => row.version);
    const before = versions();
    world.killScheduler(ownerIndex(world));
    await world.runFor(4_000);
    expect(before).toHaveLength(60);
    expect(versions()).toEqual(before);
  });

  it('stores the roster of the whole fleet in one row before any worker has answered', () => {
    const views = Array.from({ length: DESIGNED_WORKERS }, (_, index) => {
      const id = `i-${index.toString(16).padStart(10, '0')}`;
      const address = `10.1.${Math.floor(index / 250)}.${index % 250}:8109`;
      return new FleetWorkerView({ ...ENTRY, id, address }, 12_000, 1_000);
    });
    const row = new Roster(12).nextRow(views, (atMs) => atMs + 1_000_000, 1_000);
    expect(JSON.stringify(row).length).toBeLessThan(MAXIMUM_ROW_BYTES);
  });
});
