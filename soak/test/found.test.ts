/** What randomised runs have found, each as its shrunk trace with its seed unchanged. */
import { describe, it } from 'vitest';

import { expectSettled } from './soakCommands.js';
import { SoakWorld, TASK_SIZE } from './soakWorld.js';

const submit = (world: SoakWorld, taskCount: number, workMs: number): Promise<void> =>
  world.operate(0, {
    intent: 'submit-job',
    team: 'kitchen',
    submissionKey: 'job-1',
    urgency: 'normal',
    taskCount,
    size: TASK_SIZE,
    workMs,
  });

describe('found by randomised runs', () => {
  // The operator sees a task of a job of 13 done twice, without any fault. A worker with nothing
  // to do holds no lease, so an assignment just committed to it was taken for one whose leases
  // are over: it was queued again in the same step in which its start went out.
  it('seed 1, scheduler: a new assignment to an idle worker is not taken for lost', async () => {
    const world = new SoakWorld(0);
    await world.start();
    void submit(world, 13, 10);
    await world.runFor(400);
    await expectSettled(world);
  });
});
