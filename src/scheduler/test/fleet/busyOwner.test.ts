import { afterEach, describe, expect, it, vi } from 'vitest';

import { BusyFleet, type Costs } from './busyFleet.js';
import { STEP, submissionOf, TIMING } from './fleetFixtures.js';

/** The costs on a fifth of a core. */
const WEAK: Costs = { sendMs: 1, answerMs: 1, connectMs: 1.7, stepMs: 60, rowMs: 0.4 };
const STRONG: Costs = { sendMs: 0.15, answerMs: 0.15, connectMs: 0.3, stepMs: 8, rowMs: 0.05 };
const FREE: Costs = { sendMs: 0, answerMs: 0, connectMs: 0, stepMs: 0, rowMs: 0 };
const WORKERS = 300;
const ID = '00000000000000d4';

/** Submits tasks at a steady rate, twenty at a time. */
const submitFor = async (fleet: BusyFleet, seconds: number, tasksPerS: number): Promise<void> => {
  const { simulator: world } = fleet;
  const perSecond = tasksPerS / 20;
  const fromMs = world.outside.nowMs();
  for (let index = 0; index < seconds * perSecond; index += 1) {
    const id = (Math.round(fromMs) * 1_000 + index).toString(16).padStart(16, '0');
    fleet.submit(submissionOf(id, [{ ...STEP, taskCount: 20 }]));
    // eslint-disable-next-line no-await-in-loop
    await world.runUntil(fromMs + ((index + 1) * 1_000) / perSecond);
  }
};

/**
 * Returns a busy fleet that the named daemon has taken over from a dead owner. A rival without
 * costs takes over as soon as that daemon loses its lease.
 */
const takenOverFleet = async (
  name: string,
  costs: Costs,
  tasksPerS: number,
): Promise<BusyFleet> => {
  const fleet = new BusyFleet(WORKERS, () => 2_000);
  fleet.simulator.stubTimers();
  const first = fleet.addDaemon('first', FREE);
  await submitFor(fleet, 4, tasksPerS);
  const next = fleet.addDaemon(name, costs);
  await submitFor(fleet, 1, tasksPerS);
  first.task.dispose();
  while (!next.task.isOwner) {
    // eslint-disable-next-line no-await-in-loop
    await submitFor(fleet, 0.2, tasksPerS);
  }
  fleet.addDaemon('rival', FREE);
  return fleet;
};

const ownersOf = (fleet: BusyFleet): readonly string[] => fleet.owners.map(({ daemon }) => daemon);

describe('a busy owner', () => {
  afterEach(() => vi.unstubAllGlobals());

  it('limits the share of its time that it spends on steps', async () => {
    const fleet = await takenOverFleet('strong', STRONG, 300);
    const before = fleet.stepCount;
    await submitFor(fleet, 5, 300);
    const stepShare = ((fleet.stepCount - before) * STRONG.stepMs) / 5_000;
    expect(stepShare).toBeLessThan(0.36);
  });

  it('keeps its lease on a fifth of a core while it calls three hundred workers for the first time', async () => {
    const fleet = await takenOverFleet('weak', WEAK, 100);
    await submitFor(fleet, 15, 100);
    expect(ownersOf(fleet)).toEqual(['first', 'weak']);
  });
});

describe('an owner to which the answers of the feed come late', () => {
  afterEach(() => {
    vi.unstubAllGlobals();
  });

  it.each([
    ['starts no task if they are older than it may go by', TIMING.feedFreshnessMs, 0],
    ['starts tasks if they are recent enough', TIMING.feedFreshnessMs / 2, 1],
  ])('%s', async (_what, delayMs, startCount) => {
    const fleet = new BusyFleet(2, () => 500);
    fleet.simulator.stubTimers();
    fleet.feedDelayMs = delayMs;
    fleet.submit(submissionOf(ID, [STEP]));
    fleet.addDaemon('owner', FREE);
    await fleet.simulator.runUntil(8_000);
    expect(fleet.startCounts.get(`${ID}.0.0.0`) ?? 0).toBe(startCount);
  });
});
