import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { SubmissionRegistry } from '../../common/fleet/submissionRegistry.js';
import { NO_ASSIGNMENTS, toAssignments, type TaskRecord } from '../../common/fleet/taskRecords.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const SERVICE_ID = '00000000000000a1';
const SERVICE_TASK = `${SERVICE_ID}.0.0.0`;
/** The users' limit on how long a persistent task may be away while there is capacity for it. */
const LONGEST_AWAY_MS = 9_000;

const toId = (value: number): string => value.toString(16).padStart(16, '0');

/** Submits batch tasks faster than the workers can run them. */
const runWithBacklog = async (world: FleetWorld, durationMs: number): Promise<void> => {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
    world.submit(submissionOf(toId(1_000_000 + world.nowMs), [{ ...STEP, taskCount: 4 }]));
    // eslint-disable-next-line no-await-in-loop -- virtual time advances step by step
    await world.runFor(100);
  }
};

describe('a persistent task whose worker has left before a new owner takes over', () => {
  it('does not wait behind batch tasks, unlike a task that has never run', async () => {
    const world = new FleetWorld(1, (taskName) =>
      taskName.startsWith(SERVICE_ID)
        ? { workMs: 600_000, end: RunEnd.Done }
        : { workMs: 500, end: RunEnd.Done },
    );
    ['worker-0', 'worker-1', 'worker-2'].forEach((id) => world.addWorker(id));
    [0, 1].forEach(() => world.addScheduler());
    await world.runFor(1_500);
    world.submit(submissionOf(SERVICE_ID, [{ ...STEP, isPersistent: true }]));
    await runWithBacklog(world, 3_000);
    world.removeWorker(world.workersRunning(SERVICE_TASK)[0] as string);
    await runWithBacklog(world, 5_900);
    const owner = world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.epoch !== undefined);
    world.stopScheduler(owner);
    await runWithBacklog(world, LONGEST_AWAY_MS - 5_900);
    expect(world.workersRunning(SERVICE_TASK)).toHaveLength(1);
    expect(world.invariants.broken).toEqual([]);
  });
});

describe('a persistent task that waits while another task of its step runs again', () => {
  it('is known to a new owner as one that has run', () => {
    const submission = submissionOf(SERVICE_ID, [{ ...STEP, taskCount: 2, isPersistent: true }]);
    const registry = new SubmissionRegistry();
    registry.add(submission, undefined, NO_ASSIGNMENTS, 0);
    const [first, second] = [0, 1].map((index) => registry.find(`${SERVICE_ID}.0.0.${index}`)) as [
      TaskRecord,
      TaskRecord,
    ];
    const runs = [first, second].map((task) => newRun(task, 1, 'worker-0', 0));
    runs.forEach((run) => registry.addRun(run));
    runs.forEach((run) => registry.removeRun(run, 100));
    registry.addRun(newRun(first, 2, 'worker-1', 200));
    const successor = new SubmissionRegistry();
    successor.add(submission, undefined, toAssignments(first.submission), 300);
    const waiting = [...successor.waiting].find(({ name }) => name === second.name);
    expect(waiting?.lastRun).toBe(1);
  });
});
