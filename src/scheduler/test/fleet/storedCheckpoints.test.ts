import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import {
  type CheckpointPage,
  CHECKPOINT_PREFIX,
  checkpointPageKey,
} from '../../../services/submissions/common/submissionRows.js';
import { STEP, submissionOf, TIMING } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const ID = '00000000000000e1';
const WORK_MS = 30_000;
const SAVES_EACH_MS = 500;
/** The work since the last list of a worker, and two saves that an owner change may cost. */
const REPEATED_MS = TIMING.holdWaitMs + 2 * SAVES_EACH_MS;
const TASK_COUNT = 6;
const NAMES = Array.from({ length: TASK_COUNT }, (_, index) => `${ID}.0.0.${index}`);

/** Two workers with tasks that save, two more to start them on, and three daemons. */
const worldOf = async (isGang = false): Promise<FleetWorld> => {
  const world = new FleetWorld(7, () => ({
    ...{ workMs: WORK_MS, end: RunEnd.Done, saveIntervalMs: SAVES_EACH_MS },
  }));
  ['worker-0', 'worker-1'].forEach((id) => world.addWorker(id));
  [0, 1, 2].forEach(() => world.addScheduler());
  await world.runFor(1_500);
  const step = { ...STEP, taskCount: TASK_COUNT, estimateMs: WORK_MS, savesProgress: true, isGang };
  world.submit(submissionOf(ID, [step]));
  await world.runFor(500);
  ['worker-2', 'worker-3'].forEach((id) => world.addWorker(id));
  return world;
};

const ownerIndex = ({ schedulerSlots }: FleetWorld): number =>
  schedulerSlots.findIndex(({ scheduler }) => scheduler?.epoch !== undefined);

const killOwner = (world: FleetWorld): void => world.killScheduler(ownerIndex(world));

const loseWorkers = (world: FleetWorld): void =>
  ['worker-0', 'worker-1'].forEach((id) => world.removeWorker(id));

/** The saved work from which each task has resumed. */
const resumedMs = (world: FleetWorld): readonly number[] =>
  NAMES.map((name) => {
    const [holder] = world.workersRunning(name);
    return world.workers.get(holder ?? '')?.runs.get(name)?.resumedMs ?? 0;
  });

const pagesOf = ({ table }: FleetWorld): readonly CheckpointPage[] =>
  table
    .read({ keys: [], prefixes: [CHECKPOINT_PREFIX] })
    .rows.map(({ value }) => value as unknown as CheckpointPage);

describe('the saved work of tasks that are lost with their workers', () => {
  it('is kept if the owner is killed at the same moment', async () => {
    const world = await worldOf();
    await world.runFor(8_000);
    loseWorkers(world);
    killOwner(world);
    await world.runFor(12_000);
    expect(Math.min(...resumedMs(world))).toBeGreaterThanOrEqual(8_000 - REPEATED_MS);
    expect(world.invariants.broken).toEqual([]);
  });

  it('is kept over two changes of the owner in a row', async () => {
    const world = await worldOf();
    await world.runFor(8_000);
    loseWorkers(world);
    killOwner(world);
    await world.runFor(3_500);
    killOwner(world);
    await world.runFor(14_000);
    expect(Math.min(...resumedMs(world))).toBeGreaterThanOrEqual(8_000 - REPEATED_MS);
    expect(world.invariants.broken).toEqual([]);
  });

  it('is kept as of before an outage of the table in which the owner dies', async () => {
    const world = await worldOf();
    await world.runFor(6_000);
    world.faults.isTableDown = true;
    await world.runFor(2_000);
    loseWorkers(world);
    killOwner(world);
    await world.runFor(1_000);
    world.faults.isTableDown = false;
    await world.runFor(14_000);
    expect(Math.min(...resumedMs(world))).toBeGreaterThanOrEqual(6_000 - REPEATED_MS);
    expect(world.invariants.broken).toEqual([]);
  });

  it('is kept although answers of the table are lost and transactions are applied late', async () => {
    const world = await worldOf();
    world.faults.lostAnswerShare = 0.2;
    await world.runFor(8_000);
    world.faults.lostAnswerShare = 0;
    await world.runFor(4_000);
    loseWorkers(world);
    killOwner(world);
    await world.runFor(14_000);
    expect(Math.min(...resumedMs(world))).toBeGreaterThanOrEqual(12_000 - REPEATED_MS);
    expect(world.invariants.broken).toEqual([]);
  });

  it('is the same for all members of a gang after an owner change', async () => {
    const world = await worldOf(true);
    await world.runFor(8_000);
    loseWorkers(world);
    killOwner(world);
    await world.runFor(12_000);
    expect(resumedMs(world)[0]).toBeGreaterThanOrEqual(8_000 - REPEATED_MS);
    expect(new Set(resumedMs(world)).size).toBe(1);
  });

  it('is what a living worker listed to the new owner, not what was stored before', async () => {
    const world = await worldOf();
    await world.runFor(4_000);
    killOwner(world);
    await world.runFor(8_000);
    loseWorkers(world);
    await world.runFor(9_000);
    expect(Math.min(...resumedMs(world))).toBeGreaterThanOrEqual(12_000 - REPEATED_MS);
  });

  it('is repeated only for the tasks of a page that cannot be read', async () => {
    const world = await worldOf();
    await world.runFor(8_000);
    loseWorkers(world);
    killOwner(world);
    world.table.transact({
      ...{ operationId: 'other', conditions: [] },
      writes: [{ key: checkpointPageKey(0), value: { newerForm: true } }],
    });
    await world.runFor(12_000);
    expect(resumedMs(world)).toEqual(NAMES.map(() => 0));
    expect(Object.keys(pagesOf(world)[0] ?? {})).toEqual([ID]);
  });

  it('leaves the table once its submission has ended', async () => {
    const world = await worldOf();
    await world.runFor(8_000);
    expect(pagesOf(world)).toHaveLength(1);
    world.cancel(ID);
    await world.runFor(3_000);
    expect(pagesOf(world)).toEqual([]);
  });
});
