import { describe, expect, it } from 'vitest';

import type { ModelTask } from '../../../../standIns/fleet/workerModel.js';
import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import type { Step } from '../../../services/submissions/common/submission.js';
import { STEP, STOP_MS, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const BATCH_ID = '00000000000000e1';
const BATCH_TASK = `${BATCH_ID}.0.0.0`;
const PERSISTENT_ID = '00000000000000e2';
const BACKLOG_ID = '00000000000000e3';
const WORK_MS = 6_000;
const CHECKPOINT_INTERVAL_MS = 1_000;
/** Bound for a stop and a start, with one scheduler step for each. */
const MOVE_LIMIT_MS = STOP_MS + 300;
const CHECKPOINTED_STEP = { ...STEP, estimateMs: WORK_MS, savesProgress: true };
const PERSISTENT_STEP = { ...STEP, isPersistent: true };

const sized = (step: Step, processorMillis: number, taskCount = 1): Step => ({
  ...step,
  taskCount,
  size: { ...step.size, processorMillis },
});

const worldOf = async (workerCount: number, batch: ModelTask): Promise<FleetWorld> => {
  const persistent = { workMs: 90_000, end: RunEnd.Done };
  const backlog = { workMs: 900, end: RunEnd.Done };
  const world = new FleetWorld(7, (taskName) => {
    if (taskName.startsWith(PERSISTENT_ID)) return persistent;
    return taskName.startsWith(BATCH_ID) ? batch : backlog;
  });
  for (let index = 0; index < workerCount; index += 1) world.addWorker(`worker-${index}`);
  world.addScheduler();
  await world.runFor(1_500);
  return world;
};

const CHECKPOINTED: ModelTask = {
  workMs: WORK_MS,
  end: RunEnd.Done,
  saveIntervalMs: CHECKPOINT_INTERVAL_MS,
};
const UNSAVED: ModelTask = { workMs: WORK_MS, end: RunEnd.Done };

const workerIdOf = (world: FleetWorld, taskName: string): string =>
  world.workersRunning(taskName)[0] as string;

/** Runs until the submission is complete and returns how long that took. */
const runUntilCompleteMs = async (world: FleetWorld, id: string): Promise<number> => {
  const sinceMs = world.nowMs;
  while (world.progress(id)?.state !== 'complete' && world.nowMs - sinceMs < 40_000) {
    // eslint-disable-next-line no-await-in-loop -- polls while virtual time advances
    await world.runFor(50);
  }
  return world.nowMs - sinceMs;
};

const loggedReasons = (world: FleetWorld, event: string): readonly unknown[] =>
  world.logged.filter((note) => note.event === event).map(({ fields }) => fields.reason);

describe('a run on a draining worker', () => {
  it('is moved with its saved progress if it cannot end before the worker leaves', async () => {
    const world = await worldOf(2, CHECKPOINTED);
    world.submit(submissionOf(BATCH_ID, [CHECKPOINTED_STEP]));
    await world.runFor(500);
    const startedAtMs = world.nowMs - 500;
    world.drainWorker(workerIdOf(world, BATCH_TASK), 4_000, 100);
    await runUntilCompleteMs(world, BATCH_ID);
    expect(world.nowMs - startedAtMs).toBeLessThan(WORK_MS + MOVE_LIMIT_MS);
    expect(loggedReasons(world, 'runs-lost')).toEqual([]);
    expect(world.invariants.startCounts.get(BATCH_TASK)).toBe(2);
    expect(world.invariants.broken).toEqual([]);
  });

  it('is not stopped if it ends before the worker leaves', async () => {
    const world = await worldOf(2, { ...CHECKPOINTED, workMs: 3_000 });
    world.submit(submissionOf(BATCH_ID, [{ ...CHECKPOINTED_STEP, estimateMs: 3_000 }]));
    await world.runFor(500);
    world.drainWorker(workerIdOf(world, BATCH_TASK), 4_000, 100);
    await runUntilCompleteMs(world, BATCH_ID);
    expect(world.invariants.startCounts.get(BATCH_TASK)).toBe(1);
  });

  it('is moved by its measured progress if the estimate is far too short', async () => {
    const world = await worldOf(2, CHECKPOINTED);
    world.submit(submissionOf(BATCH_ID, [{ ...CHECKPOINTED_STEP, estimateMs: 2_000 }]));
    await world.runFor(500);
    world.drainWorker(workerIdOf(world, BATCH_TASK), 4_000, 100);
    await runUntilCompleteMs(world, BATCH_ID);
    expect(loggedReasons(world, 'runs-lost')).toEqual([]);
  });

  it('is not stopped if no other worker has room for it', async () => {
    const world = await worldOf(1, CHECKPOINTED);
    world.submit(submissionOf(BATCH_ID, [sized(CHECKPOINTED_STEP, 3_000)]));
    await world.runFor(500);
    world.addWorker('worker-1');
    world.capacities.set('worker-1', {
      processorMillis: 2_000,
      memoryBytes: 10_000,
      acceleratorCount: 0,
    });
    world.drainWorker('worker-0', 4_000, 8_000);
    await runUntilCompleteMs(world, BATCH_ID);
    expect(world.invariants.startCounts.get(BATCH_TASK)).toBe(1);
  });

  it('is not stopped if it saves no progress and the worker may stay long enough', async () => {
    const world = await worldOf(2, { ...UNSAVED, workMs: 4_500 });
    world.submit(submissionOf(BATCH_ID, [{ ...STEP, estimateMs: 4_500 }]));
    await world.runFor(500);
    world.drainWorker(workerIdOf(world, BATCH_TASK), 3_800, 1_000);
    await runUntilCompleteMs(world, BATCH_ID);
    expect(world.invariants.startCounts.get(BATCH_TASK)).toBe(1);
  });

  it('is restarted on another worker if it cannot end in time and saves no progress', async () => {
    const world = await worldOf(2, UNSAVED);
    world.submit(submissionOf(BATCH_ID, [{ ...STEP, estimateMs: WORK_MS }]));
    await world.runFor(500);
    const startedAtMs = world.nowMs - 500;
    world.drainWorker(workerIdOf(world, BATCH_TASK), 3_000, 100);
    await runUntilCompleteMs(world, BATCH_ID);
    expect(world.nowMs - startedAtMs).toBeLessThan(500 + 3_000 + WORK_MS + MOVE_LIMIT_MS);
  });

  it('is not stopped if its task belongs to a gang', async () => {
    const world = await worldOf(3, CHECKPOINTED);
    const gang = { ...sized(CHECKPOINTED_STEP, 3_000, 2), isGang: true };
    world.submit(submissionOf(BATCH_ID, [gang]));
    await world.runFor(500);
    world.drainWorker(workerIdOf(world, BATCH_TASK), 3_000, 8_000);
    await world.runFor(5_000);
    expect(loggedReasons(world, 'runs-stopped')).toEqual([]);
  });
});

describe('room reserved for a moved task', () => {
  const PERSISTENT_TASK = `${PERSISTENT_ID}.0.0.0`;
  const BACKLOG_TASK = `${BACKLOG_ID}.0.0.0`;

  /** A persistent task is being stopped on worker-0, and only worker-1 has room for it. */
  const worldWithMove = async (): Promise<FleetWorld> => {
    const world = await worldOf(1, CHECKPOINTED);
    world.submit(submissionOf(PERSISTENT_ID, [sized(PERSISTENT_STEP, 3_000)]));
    await world.runFor(500);
    world.addWorker('worker-1');
    await world.runFor(1_500);
    world.drainWorker('worker-0', 8_000, 100);
    while (!loggedReasons(world, 'runs-stopped').includes('draining')) {
      // eslint-disable-next-line no-await-in-loop -- polls while virtual time advances
      await world.runFor(10);
    }
    return world;
  };

  it('is not taken by a batch task that arrives during the move', async () => {
    const world = await worldWithMove();
    world.submit(submissionOf(BACKLOG_ID, [sized(STEP, 2_000)]));
    await world.runFor(MOVE_LIMIT_MS);
    expect(world.workersRunning(PERSISTENT_TASK)).toEqual(['worker-1']);
    expect(world.invariants.startCounts.get(BACKLOG_TASK)).toBeUndefined();
    expect(world.invariants.broken).toEqual([]);
  });

  it('is released before the leases of an unreachable draining worker expire', async () => {
    const world = await worldWithMove();
    world.removeWorker('worker-0');
    world.submit(submissionOf(BACKLOG_ID, [sized(STEP, 2_000)]));
    await world.runFor(3_500);
    expect(world.invariants.startCounts.get(BACKLOG_TASK)).toBe(1);
    expect(world.workersRunning(PERSISTENT_TASK)).toEqual([]);
  });

  it('is released if the submission of the task is cancelled', async () => {
    const world = await worldWithMove();
    world.cancel(PERSISTENT_ID);
    world.submit(submissionOf(BACKLOG_ID, [sized(STEP, 2_000)]));
    await world.runFor(STOP_MS / 2);
    expect(world.invariants.startCounts.get(BACKLOG_TASK)).toBe(1);
    await world.runFor(STOP_MS);
    expect(world.workersRunning(PERSISTENT_TASK)).toEqual([]);
  });

  it('is reserved on another worker if the chosen worker starts to drain as well', async () => {
    const world = await worldWithMove();
    world.drainWorker('worker-1', 8_000, 100);
    world.addWorker('worker-2');
    await world.runFor(2_000 + MOVE_LIMIT_MS);
    expect(world.workersRunning(PERSISTENT_TASK)).toEqual(['worker-2']);
    expect(world.invariants.broken).toEqual([]);
  });

  it('is reserved for at most one filler on each worker', async () => {
    const world = await worldOf(2, CHECKPOINTED);
    const filler = { ...sized(CHECKPOINTED_STEP, 4_000, 2), isFiller: true };
    world.submit(submissionOf(BATCH_ID, [filler]));
    await world.runFor(500);
    world.addWorker('worker-2');
    world.drainWorker('worker-0', 3_000, 8_000);
    world.drainWorker('worker-1', 3_000, 8_000);
    await world.runFor(4_500);
    const names = [0, 1].map((index) => `${BATCH_ID}.0.0.${index}`);
    expect(names.map((name) => world.invariants.startCounts.get(name)).sort()).toEqual([1, 2]);
    expect(names.flatMap((name) => world.workersRunning(name))).toHaveLength(2);
  });
});

describe('persistent tasks on a draining worker', () => {
  const names = Array.from({ length: 7 }, (_, index) => `${PERSISTENT_ID}.0.0.${index}`);

  /** Runs until all tasks run on workers that stay, and returns how long that took. */
  const runUntilMovedMs = async (world: FleetWorld): Promise<number> => {
    const sinceMs = world.nowMs;
    const isMoved = (name: string): boolean => {
      const [workerId] = world.workersRunning(name);
      return workerId !== undefined && !world.drainingWorkers.has(workerId);
    };
    while (!names.every(isMoved) && world.nowMs - sinceMs < 20_000) {
      // eslint-disable-next-line no-await-in-loop -- polls while virtual time advances
      await world.runFor(50);
    }
    return world.nowMs - sinceMs;
  };

  it('move at the same time if one worker has room for all of them', async () => {
    const world = await worldOf(1, UNSAVED);
    world.submit(submissionOf(PERSISTENT_ID, [sized(PERSISTENT_STEP, 500, 7)]));
    await world.runFor(1_000);
    world.addWorker('worker-1');
    await world.runFor(1_000);
    world.drainWorker('worker-0', 4_000, 100);
    expect(await runUntilMovedMs(world)).toBeLessThan(1_000 + 2 * MOVE_LIMIT_MS);
    expect(world.invariants.broken).toEqual([]);
  });

  it('are not stopped if the maximum per worker of their step leaves no room', async () => {
    const world = await worldOf(2, UNSAVED);
    const step = { ...sized(PERSISTENT_STEP, 500, 4), maximumPerWorker: 2 };
    world.submit(submissionOf(PERSISTENT_ID, [step]));
    await world.runFor(1_000);
    world.addWorker('worker-2');
    await world.runFor(1_000);
    world.drainWorker('worker-0', 8_000, 100);
    world.drainWorker('worker-1', 8_000, 100);
    await world.runFor(3_000);
    expect(names.slice(0, 4).map((name) => world.workersRunning(name).length)).toEqual([
      1, 1, 1, 1,
    ]);
    expect(world.invariants.broken).toEqual([]);
  });

  it('get the room that becomes free before waiting batch tasks do', async () => {
    const world = await worldOf(1, UNSAVED);
    world.submit(submissionOf(PERSISTENT_ID, [sized(PERSISTENT_STEP, 500, 7)]));
    await world.runFor(1_000);
    world.addWorker('worker-1');
    world.addWorker('worker-2');
    world.submit(submissionOf(BACKLOG_ID, [sized(STEP, 1_000, 150)]));
    await world.runFor(1_500);
    world.drainWorker('worker-0', 4_000, 100);
    expect(await runUntilMovedMs(world)).toBeLessThan(4_000);
    expect(loggedReasons(world, 'runs-lost')).toEqual([]);
    expect(world.invariants.broken).toEqual([]);
  });
});
