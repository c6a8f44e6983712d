import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const ID = '00000000000000e2';
const SHORT_ID = '00000000000000e3';
const MEMBERS = [0, 1, 2].map((index) => `${ID}.0.0.${index}`);

describe('the members of a gang that is lost', () => {
  it('resume from the same checkpoint although their workers listed different ones', async () => {
    // The ends of the short tasks cause lists at a different time on each worker.
    const workMsOf = (name: string): number =>
      name.startsWith(SHORT_ID) ? 3_000 + 170 * Number(name.split('.')[3]) : 20_000;
    const world = new FleetWorld(7, (name) => ({
      ...{ workMs: workMsOf(name), end: RunEnd.Done, saveIntervalMs: 100 },
    }));
    for (let index = 0; index < 3; index += 1) world.addWorker(`worker-${index}`);
    world.addScheduler();
    await world.runFor(1_500);
    const step = { ...STEP, taskCount: 3, isGang: true, savesProgress: true };
    const size = { ...STEP.size, processorMillis: 3_000 };
    world.submit(submissionOf(ID, [{ ...step, size }]));
    await world.runFor(500);
    world.submit(submissionOf(SHORT_ID, [{ ...STEP, taskCount: 3 }]));
    await world.runFor(4_500);
    for (let index = 3; index < 6; index += 1) world.addWorker(`worker-${index}`);
    MEMBERS.flatMap((name) => world.workersRunning(name)).forEach((id) => world.removeWorker(id));
    await world.runFor(9_000);
    const resumedMs = MEMBERS.map((name) => {
      const [holder] = world.workersRunning(name);
      return world.workers.get(holder ?? '')?.runs.get(name)?.resumedMs;
    });
    expect(resumedMs[0]).toBeGreaterThan(2_000);
    expect(new Set(resumedMs).size).toBe(1);
  });
});
