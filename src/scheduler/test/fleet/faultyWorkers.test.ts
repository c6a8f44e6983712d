import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { WorkerHealth } from '../../common/workerHealth.js';
import { FaultyWorkers } from './faultyWorkers.js';
import { STEP, submissionOf, WORKER_CAPACITY } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const WORK_MS = 800;

/** A world in which some workers fail every run that starts on them. */
class FaultyWorld {
  readonly world: FleetWorld;

  readonly #faulty: FaultyWorkers;

  constructor(workerCount: number, task = { workMs: WORK_MS, end: RunEnd.Done as RunEnd }) {
    this.world = new FleetWorld(1, () => task);
    this.#faulty = new FaultyWorkers(this.world);
    for (let index = 0; index < workerCount; index += 1) this.world.addWorker(`worker-${index}`);
    this.world.addScheduler();
  }

  get faultyIds(): Set<string> {
    return this.#faulty.ids;
  }

  get failed(): FaultyWorkers['failed'] {
    return this.#faulty.failed;
  }

  runFor(durationMs: number): Promise<void> {
    return this.#faulty.runFor(durationMs);
  }
}

const idOf = (index: number): string => (0xd000 + index).toString(16).padStart(16, '0');

describe('a worker that fails every task it starts', () => {
  it('does not get task after task while the other workers are full', async () => {
    const faulty = new FaultyWorld(9);
    await faulty.runFor(1_500);
    const faultyIds = ['worker-0', 'worker-4', 'worker-8'];
    faultyIds.forEach((id) => faulty.faultyIds.add(id));
    for (let index = 0; index < 60; index += 1) {
      faulty.world.submit(submissionOf(idOf(index), [{ ...STEP, taskCount: 4 }]));
    }
    await faulty.runFor(6_000);
    faultyIds.forEach((id) => {
      const failedCount = faulty.failed.filter(({ workerId }) => workerId === id).length;
      // Twice the number of tasks that fit on it at once, and at most one probe per second.
      expect(failedCount).toBeLessThanOrEqual(2 * 4 + 6);
    });
    expect(faulty.failed.length).toBeGreaterThan(0);
    expect(faulty.world.invariants.broken).toEqual([]);
  });

  it('stays tripped after the success of a task that started before the failed ones', () => {
    const atMs = 10_000;
    const failed = new WorkerHealth()
      .withFailure('w1', 'a', 10, atMs, atMs - 100)
      .withFailure('w1', 'b', 10, atMs, atMs - 100);
    expect(failed.isTripped('w1', atMs)).toBe(true);
    expect(failed.withSuccess('w1', atMs - 2_000).isTripped('w1', atMs)).toBe(true);
    expect(failed.withSuccess('w1', atMs - 50).isTripped('w1', atMs)).toBe(false);
  });

  it('gets one probe at a time, with a longer delay after each further failure', () => {
    const tripped = new WorkerHealth()
      .withFailure('w1', 'a', 10, 1_000, 900)
      .withFailure('w1', 'b', 10, 1_000, 900);
    expect(tripped.isProbeDue('w1', 900, 1_400)).toBe(false);
    expect(tripped.isProbeDue('w1', 900, 1_500)).toBe(true);
    expect(tripped.isProbeDue('w1', 1_500, 1_600)).toBe(false);
    const failedAgain = tripped.withFailure('w1', 'c', 10, 1_600, 1_500);
    expect(failedAgain.isProbeDue('w1', 1_500, 2_500)).toBe(false);
    expect(failedAgain.isProbeDue('w1', 1_500, 2_600)).toBe(true);
  });
});

describe('a task that has failed', () => {
  it('does not use up its attempts on two faulty workers in a row', async () => {
    const faulty = new FaultyWorld(6);
    await faulty.runFor(1_500);
    faulty.faultyIds.add('worker-0').add('worker-1');
    for (let index = 0; index < 16; index += 1) {
      faulty.world.submit(submissionOf(idOf(index), [{ ...STEP, taskCount: 4 }]));
    }
    await faulty.runFor(12_000);
    const counts = new Map<string, number>();
    faulty.failed.forEach(({ taskName }) => {
      counts.set(taskName, (counts.get(taskName) ?? 0) + 1);
    });
    expect(counts.size).toBeGreaterThan(0);
    expect([...counts.values()].filter((count) => count > 1)).toEqual([]);
    const states = Array.from({ length: 16 }, (_, index) => faulty.world.progress(idOf(index)));
    expect(states.filter((progress) => progress?.state !== 'complete')).toEqual([]);
  });

  it('does not wait for another worker if there is none', async () => {
    const faulty = new FaultyWorld(1, { workMs: 100, end: RunEnd.Failed });
    await faulty.runFor(1_500);
    faulty.world.submit(submissionOf(idOf(0), [STEP]));
    await faulty.runFor(3_000);
    expect(faulty.world.progress(idOf(0))?.state).toBe('failed');
  });

  it('soon retries on the worker where it failed if all other workers stay full', async () => {
    const faulty = new FaultyWorld(2);
    await faulty.runFor(1_500);
    const wholeWorkerStep = { ...STEP, size: WORKER_CAPACITY, isPersistent: true };
    faulty.world.submit(submissionOf(idOf(0), [wholeWorkerStep]));
    await faulty.runFor(300);
    const freeIndex = faulty.world.workersRunning(`${idOf(0)}.0.0.0`)[0] === 'worker-0' ? 1 : 0;
    const freeId = `worker-${freeIndex}`;
    faulty.faultyIds.add(freeId);
    faulty.world.submit(submissionOf(idOf(1), [STEP]));
    await faulty.runFor(200);
    faulty.faultyIds.delete(freeId);
    expect(faulty.failed).toHaveLength(1);
    await faulty.runFor(4_000);
    expect(faulty.world.progress(idOf(1))?.state).toBe('complete');
  });
});

describe('a worker that has recovered', () => {
  const runCountAfterFault = async (faultMs: number): Promise<number | undefined> => {
    const faulty = new FaultyWorld(4);
    await faulty.runFor(1_500);
    faulty.faultyIds.add('worker-1');
    for (let index = 0; index < 40; index += 1) {
      faulty.world.submit(submissionOf(idOf(index), [{ ...STEP, taskCount: 4 }]));
    }
    await faulty.runFor(faultMs);
    expect(faulty.failed.length).toBeGreaterThan(1);
    faulty.faultyIds.clear();
    await faulty.runFor(4_000);
    return faulty.world.workers.get('worker-1')?.runs.size;
  };

  it('is fully used again within seconds', async () => {
    expect(await runCountAfterFault(300)).toBe(4);
  });

  it('is fully used again within seconds, even after failures of many submissions', async () => {
    expect(await runCountAfterFault(3_000)).toBe(4);
  });
});

describe('submissions that fail on every worker', () => {
  it('do not count against further workers once other tasks succeed where they failed', () => {
    const health = new WorkerHealth()
      .withFailure('w1', 'bad', 10, 1_000)
      .withSuccess('w1', 1_100)
      .withFailure('w2', 'bad', 10, 1_200)
      .withFailure('w2', 'other', 10, 1_300);
    expect(health.isTripped('w2', 1_300)).toBe(false);
  });

  it('do not take workers away from other submissions', async () => {
    const world = new FleetWorld(1, (taskName) =>
      Number.parseInt(taskName.slice(0, 16), 16) >= 0xe000
        ? { workMs: 100, end: RunEnd.Failed }
        : { workMs: WORK_MS, end: RunEnd.Done },
    );
    for (let index = 0; index < 8; index += 1) world.addWorker(`worker-${index}`);
    world.addScheduler();
    await world.runFor(1_500);
    // Good submissions need 26 of the 32 slots. Each second adds about two that always fail.
    for (let tick = 0; tick < 80; tick += 1) {
      const step = { ...STEP, taskCount: 4 };
      world.submit(submissionOf(idOf(tick), [step]));
      if (tick % 5 === 4) {
        world.submit(submissionOf((0xe000 + tick).toString(16).padStart(16, '0'), [step]));
      }
      // eslint-disable-next-line no-await-in-loop -- virtual time advances step by step
      await world.runFor(125);
    }
    await world.runFor(1_500);
    const isComplete = (index: number): boolean =>
      world.progress(idOf(index))?.state === 'complete';
    const incomplete = Array.from({ length: 80 }, (_, index) => index).filter(
      (index) => !isComplete(index),
    );
    expect(incomplete).toEqual([]);
    expect(world.invariants.broken).toEqual([]);
  });
});
