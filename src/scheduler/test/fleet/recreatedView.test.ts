import { describe, expect, it, vi } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import type { WorkerModel } from '../../../../standIns/fleet/workerModel.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

/** After this time all leases of a silent worker have ended, and the owner has forgotten it. */
const FORGOTTEN_MS = 8_000;
/** The range of time around the end of all leases of a cut-off worker, and the step through it. */
const LEASES_OVER_MS = { from: 5_000, until: 7_000, step: 100 };
const COUNTING_MS = 15_000;

describe('a worker that the owner forgot while it was cut off', () => {
  it('does not refuse the owner because of a fence that the same owner had raised', async () => {
    const world = new FleetWorld(11, () => ({ workMs: 500, end: RunEnd.Done }));
    ['worker-0', 'worker-1'].forEach((id) => world.addWorker(id));
    world.addScheduler();
    await world.runFor(1_500);
    const { epoch } = world.schedulerSlots[0]?.scheduler ?? {};
    const worker = world.workers.get('worker-0');
    worker?.crash();
    await world.runFor(200);
    worker?.restart(world.nowMs);
    await world.runFor(2_000);
    world.cutWorkers.add('worker-0');
    world.listedWorkers.delete('worker-0');
    await world.runFor(FORGOTTEN_MS);
    world.cutWorkers.delete('worker-0');
    world.listedWorkers.add('worker-0');
    await world.runFor(3_000);
    expect(world.schedulerSlots[0]?.scheduler?.epoch).toBe(epoch);
    expect(world.logged.filter(({ event }) => event === 'fleet-lost')).toEqual([]);
  });

  /** Counts the hold calls to a worker that is back after it was unreachable for `awayMs`. */
  const holdCountAfter = async (awayMs: number): Promise<number> => {
    const world = new FleetWorld(11, () => ({ workMs: 90_000, end: RunEnd.Done }));
    ['worker-0', 'worker-1'].forEach((id) => world.addWorker(id));
    world.addScheduler();
    await world.runFor(1_500);
    world.submit(submissionOf('a'.repeat(16), [{ ...STEP, taskCount: 8, isPersistent: true }]));
    await world.runFor(500);
    world.cutWorkers.add('worker-0');
    world.listedWorkers.delete('worker-0');
    await world.runFor(awayMs);
    world.cutWorkers.delete('worker-0');
    world.listedWorkers.add('worker-0');
    await world.runFor(6_000);
    const worker = world.workers.get('worker-0') as WorkerModel;
    const calls = vi.spyOn(worker, 'hold');
    await world.runFor(COUNTING_MS);
    return calls.mock.calls.length;
  };

  it('gets one hold call at a time when it is back', async () => {
    const counts: number[] = [];
    for (let ms = LEASES_OVER_MS.from; ms < LEASES_OVER_MS.until; ms += LEASES_OVER_MS.step) {
      // eslint-disable-next-line no-await-in-loop -- one world after the other
      counts.push(await holdCountAfter(ms));
    }
    expect(Math.max(...counts)).toBeLessThan(1.5 * Math.min(...counts));
  });
});
