import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { STEP, submissionOf, WORKER_CAPACITY } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const INTERRUPTED_ID = '00000000000000c1';
const MOVED_ID = '00000000000000c2';
const BATCH_ID = '00000000000000c3';
const PERSISTENT_STEP = { ...STEP, isPersistent: true };
/** The users' bound on how long a persistent task may be unavailable while there is capacity. */
const MAXIMUM_UNAVAILABLE_MS = 9_000;
/** Much longer than any step of these tests takes. */
const LONG_MS = 30_000;

const isPersistent = (taskName: string): boolean =>
  taskName.startsWith(INTERRUPTED_ID) || taskName.startsWith(MOVED_ID);

const batchWorkMs = (taskName: string): number => 7_000 + 1_500 * Number(taskName.split('.')[3]);

const worldWith = async (workerId: string): Promise<FleetWorld> => {
  const world = new FleetWorld(7, (taskName) => ({
    workMs: isPersistent(taskName) ? 90_000 : batchWorkMs(taskName),
    end: RunEnd.Done,
  }));
  world.addScheduler();
  world.addWorker(workerId);
  return world;
};

/**
 * Measures how long a task is unavailable whose worker is gone, while another worker drains and
 * room is short.
 */
const unavailableDuringMovesMs = async (): Promise<number> => {
  const world = await worldWith('worker-0');
  world.capacities.set('worker-0', { ...WORKER_CAPACITY, processorMillis: 1_000 });
  await world.runFor(1_500);
  world.submit(submissionOf(INTERRUPTED_ID, [PERSISTENT_STEP]));
  await world.runFor(500);
  world.addWorker('worker-1');
  await world.runFor(1_500);
  world.submit(submissionOf(MOVED_ID, [{ ...PERSISTENT_STEP, taskCount: 4 }]));
  await world.runFor(500);
  ['worker-2', 'worker-3'].forEach((id) => world.addWorker(id));
  await world.runFor(1_500);
  // The batch tasks fill both workers and end one after the other.
  world.submit(submissionOf(BATCH_ID, [{ ...STEP, taskCount: 8, estimateMs: 8_000 }]));
  await world.runFor(200);
  world.removeWorker('worker-0');
  world.drainWorker('worker-1', LONG_MS, 0);
  const sinceMs = world.nowMs;
  while (
    world.workersRunning(`${INTERRUPTED_ID}.0.0.0`).length === 0 &&
    world.nowMs - sinceMs < LONG_MS
  ) {
    // eslint-disable-next-line no-await-in-loop -- polls while virtual time advances
    await world.runFor(10);
  }
  expect(world.invariants.broken).toEqual([]);
  return world.nowMs - sinceMs;
};

describe('moves off draining workers', () => {
  it('leave the room that becomes free to an interrupted task', async () => {
    expect(await unavailableDuringMovesMs()).toBeLessThan(MAXIMUM_UNAVAILABLE_MS);
  });

  it('do not stop a task for room that another task of its step gets first', async () => {
    const world = await worldWith('worker-0');
    await world.runFor(1_500);
    const step = { ...PERSISTENT_STEP, taskCount: 2, maximumPerWorker: 1 };
    world.submit(submissionOf(MOVED_ID, [step]));
    await world.runFor(1_000);
    world.drainWorker('worker-0', LONG_MS, 0);
    await world.runFor(1_500);
    world.addWorker('worker-1');
    await world.runFor(4_000);
    expect(world.workersRunning(`${MOVED_ID}.0.0.0`)).toHaveLength(1);
    expect(world.invariants.broken).toEqual([]);
  });
});
