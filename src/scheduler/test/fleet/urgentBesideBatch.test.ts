import { afterEach, describe, expect, it, vi } from 'vitest';

import { BusyFleet, type Costs } from './busyFleet.js';
import { CONFIGURATION, STEP, submissionOf } from './fleetFixtures.js';

const WORKERS = 60;
const SECONDS = 20;
const URGENT_PER_S = 4;
/** Batch tasks per second, which cause ten times as many calls as the processor can handle. */
const BATCH_PER_S = 900;
/** With these costs, the calls for ninety starts a second take two thirds of the processor. */
const SMALL: Costs = { sendMs: 2, answerMs: 2, connectMs: 3, stepMs: 6, rowMs: 0.2 };
const URGENT_MS = 400;
const BATCH_MS = 200;
const STEP_COUNT = 2;
const ID_DIGITS = 15;

const [QUEUE] = CONFIGURATION.queues as [(typeof CONFIGURATION.queues)[number]];
const URGENT = {
  ...QUEUE,
  ...{ name: 'urgent', pathPrefix: '/urgent/', objectiveStretch: 1.5, objectiveMs: 250 },
};
const BATCH = { ...QUEUE, name: 'batch', pathPrefix: '/batch/', priority: 1 };
const OBJECTIVE_MS = URGENT.objectiveStretch * STEP_COUNT * URGENT_MS + URGENT.objectiveMs;

const idOf = (kind: number, index: number): string =>
  `${kind}${index.toString(16).padStart(ID_DIGITS, '0')}`;
const URGENT_KIND = 1;
const BATCH_KIND = 2;

/** Returns the share of urgent submissions that end within their objective. */
const shareInTime = async (batchPerS: number): Promise<number> => {
  const configuration = { ...CONFIGURATION, queues: [URGENT, BATCH] };
  const workMs = (taskName: string): number =>
    taskName.startsWith(`${URGENT_KIND}`) ? URGENT_MS : BATCH_MS;
  const fleet = new BusyFleet(WORKERS, workMs, configuration);
  const { simulator } = fleet;
  simulator.stubTimers();
  fleet.addDaemon('small', SMALL);
  await simulator.runUntil(3_000);
  const sentAtMs = new Map<string, number>();
  const tookMs = new Map<string, number>();
  const submitUrgent = (index: number): void => {
    const id = idOf(URGENT_KIND, index);
    const steps = Array.from({ length: STEP_COUNT }, (_, step) => ({
      ...{ ...STEP, taskCount: 3, estimateMs: URGENT_MS },
      after: step === 0 ? [] : [step - 1],
    }));
    sentAtMs.set(id, simulator.outside.nowMs());
    fleet.submit({ ...submissionOf(id, steps), queueName: 'urgent' });
  };
  const submitBatch = (index: number): void => {
    const step = { ...STEP, taskCount: batchPerS / 10, estimateMs: BATCH_MS };
    fleet.submit({ ...submissionOf(idOf(BATCH_KIND, index), [step]), queueName: 'batch' });
  };
  const noteEnds = (): void =>
    sentAtMs.forEach((atMs, id) => {
      if (tookMs.has(id) || fleet.progress(id)?.state !== 'complete') return;
      tookMs.set(id, simulator.outside.nowMs() - atMs);
    });
  for (let index = 0; index < SECONDS * 20; index += 1) {
    if (batchPerS > 0 && index % 2 === 0) submitBatch(index);
    if (index % (20 / URGENT_PER_S) === 0) submitUrgent(index);
    // eslint-disable-next-line no-await-in-loop -- virtual time advances step by step
    await simulator.runUntil(3_000 + (index + 1) * 50);
    noteEnds();
  }
  const dueIds = [...sentAtMs.keys()].slice(0, -URGENT_PER_S * 2);
  const inTimeIds = dueIds.filter((id) => (tookMs.get(id) ?? Infinity) <= OBJECTIVE_MS);
  return inTimeIds.length / dueIds.length;
};

describe('urgent work of an owner whose processor is short', () => {
  afterEach(() => vi.unstubAllGlobals());

  it('is in time without batch work of lower priority', async () => {
    expect(await shareInTime(0)).toBeGreaterThan(0.95);
  });

  it('is in time beside batch work of lower priority', async () => {
    expect(await shareInTime(BATCH_PER_S)).toBeGreaterThan(0.95);
  });
});
