import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { BusyFleet, type Costs } from './busyFleet.js';
import { STEP, submissionOf } from './fleetFixtures.js';

const FREE: Costs = { sendMs: 0, answerMs: 0, connectMs: 0, stepMs: 0, rowMs: 0 };
const ID = '00000000000000e1';
const LATER_ID = '00000000000000e2';
const TASK_COUNT = 300;
const SMALL_STEP = {
  ...STEP,
  size: { processorMillis: 10, memoryBytes: 10, acceleratorCount: 0 },
  taskCount: TASK_COUNT,
};
/** How long after a cancellation tasks may be started. */
const CANCELLATION_BOUND_MS = 3_000;

// Starts waited for a connection for seconds, and were sent although their submission was cancelled.
describe('starts that wait for the answers of slow workers', () => {
  let fleet: BusyFleet;

  beforeEach(async () => {
    fleet = new BusyFleet(3, () => 8_000);
    fleet.simulator.stubTimers();
    fleet.orderAnswerMs = 250;
    fleet.orderConnections = 5;
    fleet.addDaemon('daemon', FREE);
    await fleet.simulator.runUntil(3_000);
  });

  afterEach(() => vi.unstubAllGlobals());

  const run = (durationMs: number): Promise<void> =>
    fleet.simulator.runUntil(fleet.simulator.outside.nowMs() + durationMs);

  it('are not sent after their submission has been cancelled', async () => {
    fleet.submit(submissionOf(ID, [SMALL_STEP]));
    await run(900);
    const cancelledAtMs = fleet.simulator.outside.nowMs();
    fleet.cancel(ID);
    await run(20_000);
    const lastStartAtMs = Math.max(...fleet.starts.map(({ atMs }) => atMs));
    expect(fleet.starts.length).toBeGreaterThan(0);
    expect(lastStartAtMs).toBeLessThan(cancelledAtMs + CANCELLATION_BOUND_MS);
  });

  it('do not keep the stops of a cancelled submission waiting', async () => {
    fleet.submit(submissionOf(ID, [{ ...SMALL_STEP, taskCount: 30 }]));
    await run(1_500);
    fleet.submit(submissionOf(LATER_ID, [SMALL_STEP]));
    await run(300);
    fleet.cancel(ID);
    await run(CANCELLATION_BOUND_MS);
    const running = [...fleet.workers.values()].flatMap(({ runs }) => [...runs.keys()]);
    expect(running.filter((name) => name.startsWith(ID))).toEqual([]);
  });

  it('are all sent in the end if they are still wanted', async () => {
    fleet.submit(submissionOf(ID, [SMALL_STEP]));
    await run(40_000);
    expect(fleet.progress(ID)?.state).toBe('complete');
    expect(new Set(fleet.startCounts.values())).toEqual(new Set([1]));
  });
});
