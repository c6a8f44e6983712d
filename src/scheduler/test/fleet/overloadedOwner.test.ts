import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { BusyFleet, type Costs } from './busyFleet.js';
import { CONFIGURATION, STEP, submissionOf } from './fleetFixtures.js';

const WORKERS = 60;
const SECONDS = 20;
const URGENT_PER_S = 2;
/** Batch tasks per second, which cause ten times as many calls as the processor can handle. */
const BATCH_PER_S = 900;
/** With these costs, the calls for ninety starts a second take two thirds of the processor. */
const SMALL: Costs = { sendMs: 2, answerMs: 2, connectMs: 3, stepMs: 6, rowMs: 0.2 };
const TASK_MS = 200;
/** Longer than the test, but short enough that a task's percentage changes within a second. */
const FOREVER_MS = 60_000;

const [QUEUE] = CONFIGURATION.queues as [(typeof CONFIGURATION.queues)[number]];
const URGENT = { ...QUEUE, name: 'urgent', pathPrefix: '/urgent/' };
const BATCH = { ...QUEUE, name: 'batch', pathPrefix: '/batch/', priority: 1 };

const idOf = (kind: number, index: number): string =>
  `${kind}${index.toString(16).padStart(15, '0')}`;
const URGENT_ID = 1;
const BATCH_ID = 2;
const SERVICE_ID = idOf(3, 0);

describe('an owner that is asked for ten times as much work as its processor can handle', () => {
  let fleet: BusyFleet;
  const urgentSentAtMs = new Map<string, number>();
  const urgentDoneAtMs = new Map<string, number>();

  const submitUrgent = (index: number): void => {
    const id = idOf(URGENT_ID, index);
    urgentSentAtMs.set(id, fleet.simulator.outside.nowMs());
    fleet.submit({ ...submissionOf(id, [{ ...STEP, estimateMs: TASK_MS }]), queueName: 'urgent' });
  };

  const submitBatch = (index: number): void => {
    const steps = [{ ...STEP, taskCount: BATCH_PER_S / 10, estimateMs: TASK_MS }];
    fleet.submit({ ...submissionOf(idOf(BATCH_ID, index), steps), queueName: 'batch' });
  };

  const noteUrgentDone = (): void =>
    urgentSentAtMs.forEach((_, id) => {
      if (urgentDoneAtMs.has(id) || fleet.progress(id)?.state !== 'complete') return;
      urgentDoneAtMs.set(id, fleet.simulator.outside.nowMs());
    });

  const runLoad = async (): Promise<void> => {
    const { simulator: world } = fleet;
    const fromMs = world.outside.nowMs();
    for (let tenth = 0; tenth < SECONDS * 10; tenth += 1) {
      submitBatch(tenth);
      if (tenth % (10 / URGENT_PER_S) === 0) submitUrgent(tenth);
      // eslint-disable-next-line no-await-in-loop -- virtual time advances step by step
      await world.runUntil(fromMs + (tenth + 1) * 100);
      noteUrgentDone();
    }
  };

  beforeEach(async () => {
    urgentSentAtMs.clear();
    urgentDoneAtMs.clear();
    const configuration = { ...CONFIGURATION, queues: [URGENT, BATCH] };
    const workMs = (taskName: string): number =>
      taskName.startsWith(SERVICE_ID) ? FOREVER_MS : TASK_MS;
    fleet = new BusyFleet(WORKERS, workMs, configuration);
    fleet.simulator.stubTimers();
    fleet.addDaemon('small', SMALL);
    await fleet.simulator.runUntil(3_000);
    const service = { ...STEP, taskCount: 20, isPersistent: true };
    fleet.submit({ ...submissionOf(SERVICE_ID, [service]), queueName: 'urgent' });
    await fleet.simulator.runUntil(6_000);
    // The rival takes over the fleet as soon as the owner fails to renew its lease.
    fleet.addDaemon('rival', { ...SMALL, sendMs: 0, answerMs: 0, stepMs: 0 });
    await runLoad();
  });
  afterEach(() => vi.unstubAllGlobals());

  it("keeps its own and the workers' leases, and completes urgent tasks within their objective", () => {
    expect(fleet.owners.map(({ daemon }) => daemon)).toEqual(['small']);
    expect(fleet.lapseCount).toBe(0);
    const serviceStarts = [...fleet.startCounts].filter(([name]) => name.startsWith(SERVICE_ID));
    expect(serviceStarts.map(([, count]) => count)).toEqual(Array(20).fill(1));
    const objectiveMs = URGENT.objectiveStretch * TASK_MS + URGENT.objectiveMs;
    const judged = [...urgentSentAtMs].filter(
      ([, atMs]) => atMs + objectiveMs < fleet.simulator.outside.nowMs(),
    );
    const inTime = judged.filter(
      ([id, atMs]) => (urgentDoneAtMs.get(id) ?? FOREVER_MS) - atMs <= objectiveMs,
    );
    expect(inTime.length / judged.length).toBeGreaterThan(0.95);
  });
});
