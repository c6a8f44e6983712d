import { right } from 'fp-ts/lib/Either.js';
import { describe, expect, it } from 'vitest';

import { NO_OPERATOR_STATE } from '../../../services/fleet/common/fleetConfiguration.js';
import { type HoldAnswer, StartOutcome } from '../../../services/fleet/common/fleetWorker.js';
import { WorkerHealth } from '../../common/workerHealth.js';
import { DecisionLog } from '../../common/fleet/decisionLog.js';
import { FleetWorkerView } from '../../common/fleet/fleetWorkerView.js';
import { newRun, RunTracker } from '../../common/fleet/runTracker.js';
import { SubmissionRegistry } from '../../common/fleet/submissionRegistry.js';
import { NO_ASSIGNMENTS, RunState } from '../../common/fleet/taskRecords.js';
import { DONE_AFTER_500_MS, STEP, submissionOf, WORKER_CAPACITY } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';
import { ZoneCut } from './zoneCut.js';

const EPOCH = 4;
const ID = '00000000000000c3';

const answerOf = (incarnation: number): HoldAnswer => ({
  workerClockMs: 1_000,
  incarnation,
  running: [],
  finished: [],
  isFinishedTruncated: false,
  acknowledgedSequence: 0,
});

const newView = (): FleetWorkerView =>
  new FleetWorkerView(
    {
      id: 'worker',
      address: 'worker',
      serviceName: 'service',
      availabilityZone: 'zone',
      isDraining: false,
      capacity: WORKER_CAPACITY,
      labels: [],
      rack: '',
      incarnation: 1,
    },
    0,
    0,
  );

const worldOf = async (): Promise<FleetWorld> => {
  const world = new FleetWorld(5, DONE_AFTER_500_MS);
  world.addWorker('worker-0');
  world.addScheduler();
  await world.runFor(1_500);
  return world;
};

const restart = async (world: FleetWorld, downMs: number): Promise<void> => {
  world.workers.get('worker-0')?.crash();
  await world.runFor(downMs);
  world.workers.get('worker-0')?.restart(world.nowMs);
};

describe('a worker whose process has restarted under its id', () => {
  it('is fenced before its tasks are started elsewhere', () => {
    // A start is in flight when the process dies and restarts under the same id. The new process has
    // seen no fence and would execute the start while the task already runs elsewhere. The owner
    // therefore raises the fence, and the run counts as lost only after a list under the new fence.
    const registry = new SubmissionRegistry();
    const view = newView();
    const views = new Map([[view.id, view]]);
    const runTracker = new RunTracker(
      registry,
      views,
      () => NO_OPERATOR_STATE,
      new WorkerHealth(),
      new DecisionLog(),
    );
    registry.add(submissionOf('00000000000000c1', [STEP]), undefined, NO_ASSIGNMENTS, 0);
    const [task] = [...registry.waiting];
    if (task === undefined) throw new Error('no task waits');
    runTracker.handleHoldAnswer(view, answerOf(1), 0, 10);
    const fence = view.fence(EPOCH);
    const run = newRun(task, 1, view.id, 20);
    run.state = RunState.Starting;
    view.addRun(run);
    registry.addRun(run);
    runTracker.handleStarted(run, right(StartOutcome.Started), 30);

    runTracker.handleHoldAnswer(view, answerOf(2), 40, 50);
    expect(view.fence(EPOCH)).toBeGreaterThan(fence);
    expect(view.fence(EPOCH)).toBeLessThan(view.fence(EPOCH + 1));
    expect(registry.waiting.size).toBe(0);

    runTracker.handleHoldAnswer(view, answerOf(2), 60, 70);
    expect(registry.waiting.size).toBe(1);
    expect(view.runs.size).toBe(0);
  });

  it("gets no acknowledgement of the former process's ends", async () => {
    const world = await worldOf();
    world.submit(submissionOf('00000000000000c2', [{ ...STEP, taskCount: 4 }]));
    await world.runFor(3_000);
    await restart(world, 800);
    await world.runFor(1_500);
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(3_000);
    expect(world.invariants.broken).toEqual([]);
    expect(world.invariants.startCounts.get(`${ID}.0.0.0`)).toBe(1);
    expect(world.progress(ID)?.state).toBe('complete');
  });

  it('gets no tasks after an acknowledgement of ends whose numbers it reuses', async () => {
    const world = await worldOf();
    world.submit(submissionOf('00000000000000c2', [{ ...STEP, taskCount: 4 }]));
    await world.runFor(3_000);
    // No call is in flight while the next end waits to be recorded.
    world.faults.transactionMs = 600;
    world.submit(submissionOf('00000000000000c4', [STEP]));
    while (world.invariants.startCounts.get('00000000000000c4.0.0.0') === undefined) {
      // eslint-disable-next-line no-await-in-loop -- waits for the start
      await world.runFor(10);
    }
    await world.runFor(530);
    await restart(world, 0);
    await world.runFor(2_000);
    world.addWorker('worker-1');
    world.submit(submissionOf(ID, [{ ...STEP, taskCount: 2 }]));
    await world.runFor(6_000);
    expect(world.invariants.broken).toEqual([]);
    expect(world.progress(ID)?.state).toBe('complete');
  });

  it('gets no tasks before the table lists its capacity', async () => {
    const world = await worldOf();
    // The owner has just read the list of workers.
    await world.runFor(2_550);
    await restart(world, 400);
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(500);
    expect(world.invariants.startCounts.get(`${ID}.0.0.0`)).toBeUndefined();
    await world.runFor(1_000);
    expect(world.invariants.startCounts.get(`${ID}.0.0.0`)).toBe(1);
  });

  it('is not called under a lower fence after it was unlisted for a while', async () => {
    const world = await worldOf();
    await restart(world, 400);
    await world.runFor(2_000);
    const cut = new ZoneCut(world, ['worker-0']);
    cut.expireEntries();
    await world.runFor(8_000);
    cut.heal();
    await world.runFor(2_000);
    expect(world.logged.filter(({ event }) => event === 'fleet-lost')).toEqual([]);
    expect(world.owners[0]?.epoch).toBe(1);
  });
});
