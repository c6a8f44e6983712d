import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import type { Step } from '../../../services/submissions/common/submission.js';
import { FaultyWorkers } from './faultyWorkers.js';
import { STEP, submissionOf, WORKER_CAPACITY } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const WORKER_COUNT = 12;
/** The share of tripped workers stays below the one from which on none is avoided. */
const RARE_IDS = ['worker-0', 'worker-1'];
const SOUND_ID = 'worker-2';
const LABEL = 'rare';
const OTHER_LABEL = 'common';
const WORK_MS = 800;
const FAULT_MS = 6_500;
/** Callers may ask for a submission this long after the traffic has ended. */
const SETTLE_MS = 14_000;
const FILLING_ID = 'f'.repeat(16);

interface Constraint {
  readonly what: string;
  readonly step: Step;
  /** Whether the other workers are full for the whole time. */
  readonly areOthersFull?: boolean;
  /** Whether a sound worker has the label as well. */
  readonly isOneSound?: boolean;
  readonly intervalMs?: number;
}

const CONSTRAINTS: readonly Constraint[] = [
  { what: 'by a label', step: { ...STEP, requiredLabel: LABEL } },
  { what: 'one after the other', step: { ...STEP, requiredLabel: LABEL }, intervalMs: 700 },
  { what: 'as a gang', step: { ...STEP, requiredLabel: LABEL, isGang: true, taskCount: 4 } },
  {
    what: 'as a gang that is too large for the others',
    step: { ...STEP, requiredLabel: LABEL, isGang: true, taskCount: 6 },
    isOneSound: true,
  },
  {
    what: 'with one task a worker',
    step: { ...STEP, requiredLabel: LABEL, taskCount: 2, maximumPerWorker: 1 },
  },
  { what: 'as all others are full', step: STEP, areOthersFull: true },
];

const idOf = (index: number): string => (0xd000 + index).toString(16).padStart(16, '0');
const IDS = Array.from({ length: 4 }, (_, index) => idOf(index));

const newWorld = async ({ areOthersFull, isOneSound }: Constraint): Promise<FleetWorld> => {
  const world = new FleetWorld(1, (taskName) => ({
    workMs: taskName.startsWith(FILLING_ID) ? 600_000 : WORK_MS,
    end: RunEnd.Done,
  }));
  for (let index = 0; index < WORKER_COUNT; index += 1) {
    const id = `worker-${index}`;
    world.addWorker(id);
    const isRare = RARE_IDS.includes(id) || (isOneSound === true && id === SOUND_ID);
    world.labels.set(id, [isRare ? LABEL : OTHER_LABEL]);
  }
  world.addScheduler();
  await world.runFor(1_500);
  if (areOthersFull === true) {
    const step = { ...STEP, size: WORKER_CAPACITY, requiredLabel: OTHER_LABEL, isPersistent: true };
    world.submit(submissionOf(FILLING_ID, [{ ...step, taskCount: WORKER_COUNT - 2 }]));
    await world.runFor(2_000);
  }
  return world;
};

// Retries and gangs waited for a minute after the last failure on the only workers they may use.
describe('workers that fail all that they start and are sound again', () => {
  it.each(CONSTRAINTS)('soon run the tasks that are limited to them $what', async (constraint) => {
    const world = await newWorld(constraint);
    const faulty = new FaultyWorkers(world);
    RARE_IDS.forEach((id) => faulty.ids.add(id));
    const faultUntilMs = world.nowMs + FAULT_MS;
    for (let index = 0; index < IDS.length; index += 1) {
      world.submit(submissionOf(idOf(index), [constraint.step]));
      // eslint-disable-next-line no-await-in-loop -- virtual time advances step by step
      await faulty.runFor(constraint.intervalMs ?? 0);
    }
    await faulty.runFor(faultUntilMs - world.nowMs);
    expect(faulty.failed.length).toBeGreaterThan(1);
    faulty.ids.clear();
    await faulty.runFor(SETTLE_MS);
    const states = IDS.map((id) => world.progress(id)?.state);
    expect(states.filter((state) => state !== 'complete')).toEqual([]);
    expect(world.invariants.broken).toEqual([]);
  });
});
