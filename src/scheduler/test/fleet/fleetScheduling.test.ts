import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { DONE_AFTER_500_MS, STEP, submissionOf, WORKER_CAPACITY } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const ID = '00000000000000a1';
const taskNameOf = (step: number, index: number): string => `${ID}.0.${step}.${index}`;

const worldOf = async (
  workerCount: number,
  taskOf = DONE_AFTER_500_MS as (taskName: string) => { workMs: number; end: RunEnd },
): Promise<FleetWorld> => {
  const world = new FleetWorld(1, taskOf);
  for (let index = 0; index < workerCount; index += 1) world.addWorker(`worker-${index}`);
  world.addScheduler();
  await world.runFor(1_500);
  return world;
};

describe('the scheduler of a fleet', () => {
  it('runs the steps of a submission in their order and stores that it is complete', async () => {
    const world = await worldOf(2);
    world.submit(
      submissionOf(ID, [
        { ...STEP, taskCount: 3 },
        { ...STEP, after: [0] },
      ]),
    );
    await world.runFor(400);
    expect(world.runsOf(taskNameOf(0, 0))).toHaveLength(1);
    expect(world.runsOf(taskNameOf(1, 0))).toHaveLength(0);
    await world.runFor(1_500);
    expect(world.progress(ID)?.state).toBe('complete');
    expect(world.judge.broken).toEqual([]);
  });

  it('never gives a worker more than its room, also by what is being stopped', async () => {
    // Workers start whatever they are told to. Tasks that are stopped keep their room for the time
    // of the stop; a scheduler that gave it away at once would overload the worker meanwhile.
    const world = await worldOf(1, () => ({ workMs: 60_000, end: RunEnd.Done }));
    world.submit(submissionOf(ID, [{ ...STEP, taskCount: 4 }]));
    await world.runFor(500);
    world.submit(submissionOf('00000000000000a2', [{ ...STEP, taskCount: 4 }]));
    world.cancel(ID);
    await world.runFor(1_500);
    expect(world.runsOf('00000000000000a2.0.0.0')).toHaveLength(1);
    expect(world.judge.broken).toEqual([]);
  });

  it('fails a submission whose task has failed as often as its queue allows', async () => {
    const world = await worldOf(2, () => ({ workMs: 100, end: RunEnd.Failed }));
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(5_000);
    expect(world.judge.startsOf.get(taskNameOf(0, 0))).toBe(3);
    expect(world.progress(ID)?.state).toBe('failed');
  });

  it('starts a task that lasts again however it ends', async () => {
    const world = await worldOf(2, () => ({ workMs: 300, end: RunEnd.Failed }));
    world.submit(submissionOf(ID, [{ ...STEP, isPersistent: true }]));
    await world.runFor(4_000);
    expect(world.judge.startsOf.get(taskNameOf(0, 0))).toBeGreaterThan(4);
    expect(world.progress(ID)?.state).toBe('running');
  });

  it('starts the members of a gang together or not at all', async () => {
    const world = await worldOf(1);
    const gang = { ...STEP, isGang: true, taskCount: 5 };
    world.submit(submissionOf(ID, [gang]));
    await world.runFor(1_000);
    expect(world.judge.startsOf.size).toBe(0);
    world.addWorker('worker-9');
    await world.runFor(2_500);
    expect(world.judge.startsOf.size).toBe(5);
  });

  it('keeps to the number of tasks of a step that one worker may run', async () => {
    const world = await worldOf(2, () => ({ workMs: 60_000, end: RunEnd.Done }));
    world.submit(submissionOf(ID, [{ ...STEP, taskCount: 4, maximumPerWorker: 1 }]));
    await world.runFor(1_000);
    expect(world.judge.startsOf.size).toBe(2);
  });

  it('stops a submission that is cancelled and stores that it is', async () => {
    const world = await worldOf(1, () => ({ workMs: 60_000, end: RunEnd.Done }));
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(500);
    world.cancel(ID);
    await world.runFor(1_500);
    expect(world.runsOf(taskNameOf(0, 0))).toEqual([]);
    expect(world.progress(ID)?.state).toBe('cancelled');
  });

  it('starts nothing of a submission that was cancelled before it came', async () => {
    // The caller gives up on a submission whose answer is lost and cancels it; the submission
    // lands seconds later and must not run, since its caller was told that it never will.
    const world = await worldOf(1);
    world.cancel(ID);
    await world.runFor(200);
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(1_500);
    expect(world.judge.startsOf.size).toBe(0);
  });

  it('gives a task that lasts the room of a worker that is set aside, when there is no other', async () => {
    // Three workers are full. The fourth fails the tasks of three submissions and is set aside for
    // half a minute, though it recovers at once. Users of a task that lasts and comes then wait for
    // nothing all that time, though there is room for it.
    const world = await worldOf(4, (taskName) =>
      taskName.startsWith('00000000000000e')
        ? { workMs: 100, end: RunEnd.Failed }
        : { workMs: 60_000, end: RunEnd.Done },
    );
    const wholeWorker = { ...STEP, taskCount: 3, size: WORKER_CAPACITY };
    world.submit(submissionOf('00000000000000f1', [wholeWorker]));
    await world.runFor(500);
    ['00000000000000e1', '00000000000000e2', '00000000000000e3'].forEach((id) =>
      world.submit(submissionOf(id, [STEP])),
    );
    await world.runFor(3_000);
    world.submit(submissionOf(ID, [{ ...STEP, isPersistent: true }]));
    await world.runFor(2_500);
    expect(world.runsOf(taskNameOf(0, 0))).toHaveLength(1);
  });
});

describe('a burst that exceeds the room', () => {
  it('does not make the work after it late', async () => {
    // Forty submissions come at once to a worker that ends eight a second, then six a second for
    // twenty seconds. In the order of arrival the backlog lasts all that time, and nothing is done
    // within its objective of two seconds. What is late already has to stand back.
    const OBJECTIVE_MS = 2_000;
    const world = await worldOf(1);
    const sentAtMs = new Map<string, number>();
    const submit = (): void => {
      const id = (0xb000 + sentAtMs.size).toString(16).padStart(16, '0');
      sentAtMs.set(id, world.nowMs);
      world.submit(submissionOf(id, [STEP]));
    };
    for (let count = 0; count < 40; count += 1) submit();
    const inTime = new Set<string>();
    const countCompletedInTime = (): void =>
      sentAtMs.forEach((atMs, id) => {
        const isDone = world.progress(id)?.state === 'complete';
        if (isDone && world.nowMs - atMs <= OBJECTIVE_MS + 200) inTime.add(id);
      });
    for (let tick = 0; tick < 200; tick += 1) {
      if ((tick * 6) % 10 < 6) submit();
      // eslint-disable-next-line no-await-in-loop -- virtual time goes on step by step
      await world.runFor(100);
      countCompletedInTime();
    }
    expect(sentAtMs.size).toBe(160);
    expect(inTime.size).toBeGreaterThan(110);
    await world.runFor(20_000);
    const states = [...sentAtMs.keys()].map((id) => world.progress(id)?.state);
    expect(states.every((state) => state === 'complete')).toBe(true);
  });
});
