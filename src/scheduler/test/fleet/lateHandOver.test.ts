import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';
import type { SchedulerSlot } from './worldFaults.js';

const PERSISTENT_ID = '00000000000000c2';
const WORKER_IDS = ['worker-0', 'worker-1', 'worker-2', 'worker-3'];
const SEEDS = Array.from({ length: 10 }, (_, index) => index + 1);
const OWNER_CHANGES = 5;
const TRANSACTION_MS = [2, 30, 200, 600];
const FAULTY_SHARE = 0.1;

const worldOf = async (seed: number): Promise<FleetWorld> => {
  const world = new FleetWorld(seed, (taskName) => ({
    workMs: taskName.startsWith(PERSISTENT_ID) ? 90_000 : 700,
    end: RunEnd.Done,
    saveIntervalMs: 200,
  }));
  WORKER_IDS.forEach((id) => world.addWorker(id));
  [0, 1, 2].forEach(() => world.addScheduler());
  await world.runFor(1_500);
  world.submit(submissionOf(PERSISTENT_ID, [{ ...STEP, taskCount: 6, isPersistent: true }]));
  await world.runFor(1_500);
  Object.assign(world.faults, {
    doHeldCallsHang: seed % 2 === 0,
    lateOrderShare: FAULTY_SHARE,
    lateHoldShare: FAULTY_SHARE,
    lostOrderAnswerShare: FAULTY_SHARE,
    repeatedCallShare: FAULTY_SHARE,
    lostAnswerShare: seed % 3 === 0 ? FAULTY_SHARE : 0,
  });
  return world;
};

/**
 * Stops the owner. Its handover arrives three times: soon, after a pause, and after some seconds.
 */
const stopOwner = (world: FleetWorld): void => {
  const index = world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.epoch !== undefined);
  if (index < 0) return;
  const transaction = (world.schedulerSlots[index] as SchedulerSlot).scheduler?.release();
  world.killScheduler(index);
  const { random, time } = world;
  const arrivals = [
    random.nextIndex(40),
    200 + random.nextIndex(400),
    2_000 + random.nextIndex(2_000),
  ];
  if (transaction !== undefined) {
    arrivals.forEach((delayMs) =>
      time.later(delayMs, () => void world.table.transact(transaction)),
    );
  }
  world.startScheduler(index);
};

/** Cuts off a worker that continues to run, or drains one, and stops the owner during a commit. */
const changeOwner = async (world: FleetWorld, round: number): Promise<void> => {
  const { random } = world;
  const workerId = WORKER_IDS[random.nextIndex(WORKER_IDS.length)] as string;
  const isCut = random.nextIndex(2) === 0;
  if (isCut) world.cutWorkers.add(workerId);
  else if (!world.drainingWorkers.has(workerId)) {
    world.drainWorker(workerId, 2_000 + random.nextIndex(3_000), random.nextIndex(1_000));
  }
  [0, 1, 2, 3].forEach((index) => {
    const id = (world.nowMs * 10 + index).toString(16).padStart(16, '0');
    world.submit(submissionOf(id, [{ ...STEP, taskCount: 2, savesProgress: true }]));
  });
  world.faults.transactionMs = TRANSACTION_MS[random.nextIndex(TRANSACTION_MS.length)] as number;
  await world.runFor(10 * random.nextIndex(60));
  stopOwner(world);
  world.faults.transactionMs = 2;
  await world.runFor(10 * random.nextIndex(800));
  if (isCut) world.cutWorkers.delete(workerId);
  world.addWorker(`worker-new-${round}`);
};

describe('a handover that arrives several times, some of them late', () => {
  it.each(SEEDS)('lets no task run twice while a worker is unreachable (seed %i)', async (seed) => {
    const world = await worldOf(seed);
    for (let round = 0; round < OWNER_CHANGES; round += 1) {
      // eslint-disable-next-line no-await-in-loop -- one change after the other
      await changeOwner(world, round);
    }
    await world.runFor(4_000);
    expect(world.invariants.broken).toEqual([]);
  });
});
