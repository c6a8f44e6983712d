import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { STEP, submissionOf, WORKER_CAPACITY } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const LONG_ID = '00000000000000b1';
const GANG_ID = '00000000000000b2';
const LONG_MS = 5_000;

// The members that found room in a round counted as waiting since that round only.
describe('a gang that finds room for some of its members only', () => {
  it('has all its members wait since they came', async () => {
    const world = new FleetWorld(1, (taskName) => ({
      workMs: taskName.startsWith(LONG_ID) ? LONG_MS : 500,
      end: RunEnd.Done,
    }));
    world.addWorker('worker-0');
    world.addScheduler();
    await world.runFor(1_500);
    world.submit(submissionOf(LONG_ID, [STEP]));
    await world.runFor(100);
    const memberCount = WORKER_CAPACITY.processorMillis / STEP.size.processorMillis;
    world.submit(submissionOf(GANG_ID, [{ ...STEP, taskCount: memberCount, isGang: true }]));
    await world.runFor(LONG_MS + 1_000);
    const waits = world.logged
      .filter(({ event }) => event === 'tasks-started')
      .flatMap(({ fields }) => String(fields.runs).split(' '))
      .filter((run) => run.startsWith(GANG_ID))
      .map((run) => Number(/\+(\d+)ms$/u.exec(run)?.[1]));
    expect(waits).toHaveLength(memberCount);
    expect(Math.min(...waits)).toBeGreaterThan(LONG_MS - 1_000);
  });
});
