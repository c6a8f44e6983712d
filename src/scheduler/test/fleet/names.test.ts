import { describe, expect, it } from 'vitest';

import { waitingCountsSchema } from '../../../services/submissions/common/submissionRows.js';
import { SubmissionRegistry } from '../../common/fleet/submissionRegistry.js';
import { NO_ASSIGNMENTS } from '../../common/fleet/taskRecords.js';
import { DONE_AFTER_500_MS, STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const ID = '00000000000000f5';
/** Names that every object has members of. */
const NAMES = ['constructor', 'toString', 'valueOf', 'hasOwnProperty'];

// Such a name found a function of the object in place of a number or a list.
describe('a name that is a member of every object', () => {
  it.each(NAMES)('is counted as a queue: %s', (queueName) => {
    const registry = new SubmissionRegistry();
    registry.add({ ...submissionOf(ID, [STEP]), queueName }, undefined, NO_ASSIGNMENTS, 0);
    const row = { epoch: 1, byQueue: registry.waitingCounts() };
    expect(waitingCountsSchema.safeParse(row).data?.byQueue[queueName]).toBe(1);
  });

  it.each(NAMES)('names a worker whose tasks are stored: %s', async (workerId) => {
    const world = new FleetWorld(5, DONE_AFTER_500_MS);
    world.addWorker(workerId);
    world.addScheduler();
    world.submit(submissionOf(ID, [{ ...STEP, taskCount: 2 }]));
    await world.runFor(4_000);
    expect(world.progress(ID)?.state).toBe('complete');
  });
});
