import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const BATCH_ID = '00000000000000e1';
const BATCH_TASK = `${BATCH_ID}.0.0.0`;
const WORK_MS = 8_000;
const SAVES_EACH_MS = 500;

/** Returns the saved work, in ms, from which a task resumes when its worker is lost after 6 s. */
const resumedMs = async (doesOwnerChange: boolean): Promise<number> => {
  const world = new FleetWorld(7, () => ({
    workMs: WORK_MS,
    end: RunEnd.Done,
    saveIntervalMs: SAVES_EACH_MS,
  }));
  ['worker-0', 'worker-1'].forEach((id) => world.addWorker(id));
  [0, 1].forEach(() => world.addScheduler());
  await world.runFor(1_500);
  world.submit(submissionOf(BATCH_ID, [{ ...STEP, estimateMs: WORK_MS, savesProgress: true }]));
  await world.runFor(6_000);
  world.removeWorker(world.workersRunning(BATCH_TASK)[0] as string);
  await world.runFor(1_000);
  if (doesOwnerChange) {
    world.stopScheduler(
      world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.epoch !== undefined),
    );
  }
  while (world.workersRunning(BATCH_TASK).length === 0 && world.nowMs < 30_000) {
    // eslint-disable-next-line no-await-in-loop -- polls in virtual time
    await world.runFor(10);
  }
  const holder = world.workersRunning(BATCH_TASK)[0] as string;
  expect(world.invariants.broken).toEqual([]);
  return world.workers.get(holder)?.runs.get(BATCH_TASK)?.resumedMs ?? 0;
};

describe('the saved work of a lost run', () => {
  it('is not repeated if the owner changes before the task starts elsewhere', async () => {
    const keptMs = await resumedMs(false);
    expect(keptMs).toBeGreaterThan(WORK_MS / 2);
    // A successor may know only the save before the last one.
    expect(await resumedMs(true)).toBeGreaterThanOrEqual(keptMs - 2 * SAVES_EACH_MS);
  });
});
