import { left } from 'fp-ts/lib/Either.js';
import { describe, expect, it } from 'vitest';

import { ErrorKind, failure } from '../../../services/errors/common/errorKinds.js';
import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { LeaseStepKind } from '../../common/cellLease.js';
import type { FleetScheduler } from '../../common/fleet/fleetScheduler.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const ID = '00000000000000a1';
const TASK = `${ID}.0.0.0`;
const SHORT_ID = '00000000000000a2';
const LOST_AFTER_MS = 700;

/**
 * Loses the answer to the scheduler's first acquisition. The returned function reports the loss to
 * the scheduler.
 */
const loseAcquisition = (world: FleetWorld, scheduler: FleetScheduler): (() => void) => {
  const handle = scheduler.handleLeaseWritten.bind(scheduler);
  let sentAtMs: number | undefined;
  scheduler.handleLeaseWritten = (step, result, atMs, nowMs) => {
    if (step !== LeaseStepKind.Acquire || sentAtMs !== undefined) {
      handle(step, result, atMs, nowMs);
      return;
    }
    sentAtMs = atMs;
  };
  return () => {
    const lost = left(failure(ErrorKind.StoreAnswerLost, 'no answer'));
    handle(LeaseStepKind.Acquire, lost, sentAtMs as number, world.nowMs);
  };
};

describe('an owner that learns from a read that its unanswered acquisition is stored', () => {
  it('grants no leases that end after its successor stops waiting for them', async () => {
    const world = new FleetWorld(5, (taskName) => ({
      workMs: taskName.startsWith(ID) ? 90_000 : 600,
      end: RunEnd.Done,
    }));
    world.addWorker('worker-0');
    const slot = world.schedulerSlots[world.addScheduler()];
    const reportLoss = loseAcquisition(world, slot?.scheduler as FleetScheduler);
    await world.runFor(480);
    // The second scheduler sees the heartbeat that the acquisition has written.
    world.addScheduler();
    world.schedulerSlots[1]?.unreachableWorkers.add('worker-0');
    slot?.unreachableWorkers.add('worker-1');
    await world.runFor(LOST_AFTER_MS);
    reportLoss();
    world.submit(submissionOf(ID, [{ ...STEP, isPersistent: true }]));
    // The worker lists the end of this task again and again while it cannot be stored.
    world.submit(submissionOf(SHORT_ID, [STEP]));
    while (world.workersRunning(TASK).length === 0 && world.nowMs < 5_000) {
      // eslint-disable-next-line no-await-in-loop -- polls in virtual time
      await world.runFor(10);
    }
    Object.assign(slot ?? {}, { isCutFromTable: true });
    world.addWorker('worker-1');
    await world.runFor(15_000);
    expect(world.invariants.startCounts.get(TASK)).toBe(2);
    expect(world.invariants.broken).toEqual([]);
  });
});
