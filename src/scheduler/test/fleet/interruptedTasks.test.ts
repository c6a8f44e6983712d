import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { newRun } from '../../common/fleet/runTracker.js';
import { SubmissionBook } from '../../common/fleet/submissionBook.js';
import { NO_ASSIGNMENTS, toAssignments, type TaskRecord } from '../../common/fleet/taskRecords.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const SERVICE_ID = '00000000000000a1';
const SERVICE_TASK = `${SERVICE_ID}.0.0.0`;
/** The users' bound on how long a task that lasts may be away while there is capacity for it. */
const LONGEST_AWAY_MS = 9_000;

const hex = (value: number): string => value.toString(16).padStart(16, '0');

/** Batch tasks come faster than the workers take them. */
const runWithBacklog = async (world: FleetWorld, durationMs: number): Promise<void> => {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 100) {
    world.submit(submissionOf(hex(1_000_000 + world.nowMs), [{ ...STEP, taskCount: 4 }]));
    // eslint-disable-next-line no-await-in-loop -- time goes by step by step
    await world.runFor(100);
  }
};

describe('a task that lasts, whose worker has left by the time of a new owner', () => {
  it('does not wait behind batch work as one that has never run', async () => {
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
    world.removeWorker(world.runsOf(SERVICE_TASK)[0] as string);
    await runWithBacklog(world, 5_900);
    const owner = world.seats.findIndex(({ scheduler }) => scheduler?.epoch !== undefined);
    world.stopScheduler(owner);
    await runWithBacklog(world, LONGEST_AWAY_MS - 5_900);
    expect(world.runsOf(SERVICE_TASK)).toHaveLength(1);
    expect(world.judge.broken).toEqual([]);
  });
});

describe('a task that lasts, which waits while another of its step starts again', () => {
  it('is known to a successor as one that has run', () => {
    const submission = submissionOf(SERVICE_ID, [{ ...STEP, taskCount: 2, isPersistent: true }]);
    const book = new SubmissionBook();
    book.add(submission, undefined, NO_ASSIGNMENTS, 0);
    const [first, second] = [0, 1].map((index) => book.find(`${SERVICE_ID}.0.0.${index}`)) as [
      TaskRecord,
      TaskRecord,
    ];
    const runs = [first, second].map((task) => newRun(task, 1, 'worker-0', 0));
    runs.forEach((run) => book.noteRun(run));
    runs.forEach((run) => book.noteRunGone(run, 100));
    book.noteRun(newRun(first, 2, 'worker-1', 200));
    const successor = new SubmissionBook();
    successor.add(submission, undefined, toAssignments(first.submission), 300);
    const waiting = [...successor.waiting].find(({ name }) => name === second.name);
    expect(waiting?.lastRun).toBe(1);
  });
});
