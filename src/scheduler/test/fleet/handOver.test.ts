import { afterEach, describe, expect, it, vi } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { ROSTER_KEY, type RosterRow } from '../../../services/submissions/common/submissionRows.js';
import { type CellOwnerRow, cellOwnerKey } from '../../../services/workload/common/workRows.js';
import { BusyFleet, type Costs } from './busyFleet.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const PERSISTENT_ID = '00000000000000c2';
const PERSISTENT_STEP = { ...STEP, isPersistent: true };
/** Covers a lease, the slack of clocks and calls, and the time to detect that a worker is gone. */
const LEASE_AND_SLACK_MS = 7_000;
/** The longest time that a persistent task may be away while there is room for it. */
const LONGEST_ABSENCE_MS = 9_000;
const BATCH_MS = 1_000;
/** Short enough that more batch tasks come in than fit next to the persistent tasks. */
const BACKLOG_INTERVAL_MS = 60;

const taskNames = (taskCount: number): readonly string[] =>
  Array.from({ length: taskCount }, (_, index) => `${PERSISTENT_ID}.0.0.${index}`);

const worldOf = async (workerCount: number, taskCount: number): Promise<FleetWorld> => {
  const world = new FleetWorld(5, (taskName) => ({
    workMs: taskName.startsWith(PERSISTENT_ID) ? 90_000 : BATCH_MS,
    end: RunEnd.Done,
  }));
  for (let index = 0; index < workerCount; index += 1) world.addWorker(`worker-${index}`);
  [0, 1].forEach(() => world.addScheduler());
  world.faults.doHeldCallsHang = true;
  await world.runFor(1_500);
  world.submit(submissionOf(PERSISTENT_ID, [{ ...PERSISTENT_STEP, taskCount }]));
  await world.runFor(2_000);
  return world;
};

const submitBatch = (world: FleetWorld): void => {
  const id = `b${world.nowMs.toString(16).padStart(15, '0')}`;
  world.submit(submissionOf(id, [{ ...STEP, estimateMs: 1_000 }]));
};

/** Submits more batch work than there is room for. */
const addBacklog = (world: FleetWorld): void => {
  if (world.nowMs % BACKLOG_INTERVAL_MS === 0) submitBatch(world);
};

const stopOwner = (world: FleetWorld): void => {
  const owner = world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.epoch !== undefined);
  world.stopScheduler(owner);
  world.startScheduler(owner);
};

const isAway = (world: FleetWorld, taskName: string): boolean =>
  world.workersRunning(taskName).length === 0;

const untilMet = async (
  world: FleetWorld,
  isMet: () => boolean,
  eachTick: () => void = () => undefined,
): Promise<void> => {
  const untilMs = world.nowMs + 20_000;
  while (!isMet() && world.nowMs < untilMs) {
    eachTick();
    // eslint-disable-next-line no-await-in-loop -- polls in virtual time
    await world.runFor(10);
  }
};

/**
 * Returns for how long a task is away if its worker ends `beforeMs` before the owner hands over
 * with a commit in flight.
 */
const awayAcrossHandoverMs = async (phaseMs: number, beforeMs: number): Promise<number> => {
  const world = await worldOf(3, 1);
  const [taskName] = taskNames(1) as [string];
  await world.runFor(2_000 + phaseMs);
  world.removeWorker(world.workersRunning(taskName)[0] as string);
  const sinceMs = world.nowMs;
  await world.runFor(beforeMs);
  world.faults.transactionMs = 600;
  submitBatch(world);
  await world.runFor(20);
  stopOwner(world);
  world.faults.transactionMs = 2;
  await untilMet(world, () => !isAway(world, taskName));
  expect(world.invariants.broken).toEqual([]);
  return world.nowMs - sinceMs;
};

/** Loses a worker with two of six tasks under a backlog. Returns when its leases have ended. */
const loseWorkerUnderBacklog = async (): Promise<FleetWorld> => {
  const world = await worldOf(3, 6);
  await untilMet(
    world,
    () => world.nowMs >= 6_000,
    () => addBacklog(world),
  );
  world.removeWorker('worker-0');
  world.addWorker('worker-3');
  await untilMet(
    world,
    () => world.logged.some(({ event }) => event === 'runs-lost'),
    () => addBacklog(world),
  );
  return world;
};

/** Runs under the backlog until all persistent tasks are back, and returns how long that took. */
const untilBackMs = async (world: FleetWorld): Promise<number> => {
  const sinceMs = world.nowMs;
  const isBack = (): boolean => taskNames(6).every((taskName) => !isAway(world, taskName));
  await untilMet(world, isBack, () => addBacklog(world));
  return world.nowMs - sinceMs;
};

const FREE: Costs = { sendMs: 0, answerMs: 0, connectMs: 0, stepMs: 0, rowMs: 0 };

describe('an owner that hands the fleet over', () => {
  afterEach(() => vi.unstubAllGlobals());

  it('leaves no task away for longer than the leases of its worker if a commit is in flight', async () => {
    let longestMs = 0;
    for (let phaseMs = 0; phaseMs < 1_600; phaseMs += 200) {
      // eslint-disable-next-line no-await-in-loop -- one world after the other
      longestMs = Math.max(longestMs, await awayAcrossHandoverMs(phaseMs, 2_000));
    }
    expect(longestMs).toBeLessThan(LEASE_AND_SLACK_MS);
  });

  it('repeats a release without an answer, so that its successor learns when leases end', async () => {
    const fleet = new BusyFleet(3, () => 2_000);
    fleet.simulator.stubTimers();
    const { loop, task } = fleet.addDaemon('first', FREE);
    await fleet.simulator.runUntil(4_000);
    let lostCount = 0;
    fleet.isTransactionLost = ({ operationId }) => {
      const isLost = operationId.endsWith(':release') && lostCount < 1;
      if (isLost) lostCount += 1;
      return isLost;
    };
    void fleet.simulator.runOn(loop, () => task.release(2_000));
    await fleet.simulator.runUntil(6_000);
    const { rows } = fleet.table.read({ keys: [cellOwnerKey('fleet'), ROSTER_KEY], prefixes: [] });
    const [owner, roster] = rows.map((row) => row.value) as [CellOwnerRow, RosterRow];
    expect(owner.ownerId).toBe('');
    expect(roster.workers.filter((worker) => worker[2] === null)).toEqual([]);
  });
});

describe('interrupted persistent tasks that wait while the owner changes', () => {
  it('are placed before new batch work, even if some of them were placed before the change', async () => {
    const backAfterMs = async (waitingCount: number): Promise<number> => {
      const world = await loseWorkerUnderBacklog();
      const awayCount = (): number =>
        taskNames(6).filter((taskName) => isAway(world, taskName)).length;
      await untilMet(
        world,
        () => awayCount() <= waitingCount,
        () => addBacklog(world),
      );
      expect(awayCount()).toBe(waitingCount);
      stopOwner(world);
      const backMs = await untilBackMs(world);
      expect(world.invariants.broken).toEqual([]);
      return backMs;
    };
    const longestMs = Math.max(await backAfterMs(2), await backAfterMs(1));
    expect(longestMs).toBeLessThan(LONGEST_ABSENCE_MS - LEASE_AND_SLACK_MS);
  });
});
