import { describe, expect, it } from 'vitest';

import type { FleetConfiguration } from '../../../services/fleet/common/fleetConfiguration.js';
import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import type { Submission } from '../../../services/submissions/common/submission.js';
import { CONFIGURATION, STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const ID = '00000000000000d1';
const TASK = `${ID}.0.0.0`;
const WORK_MS = 1_000;
const PLAYED_MS = 15_000;
const ATTEMPTS = CONFIGURATION.queues[0]?.maximumAttempts;

const [QUEUE] = CONFIGURATION.queues;
const OTHER_QUEUE = { ...QUEUE, name: 'other', maximumAttempts: 9 };
const withQueues = (queues: readonly unknown[]): FleetConfiguration => ({
  ...CONFIGURATION,
  queues: queues as FleetConfiguration['queues'],
});
const NO_SERVICE: FleetConfiguration = { ...withQueues([]), services: [] };

interface Change {
  readonly atMs: number;
  readonly configuration?: FleetConfiguration;
  readonly isOwnerKilled?: boolean;
}

const REMOVED: Change = { atMs: 500, configuration: withQueues([]) };

const PLAYS: readonly (readonly [string, readonly Change[]])[] = [
  ['is missing', [REMOVED]],
  ['is missing with its service', [{ atMs: 500, configuration: NO_SERVICE }]],
  [
    'is missing and has another one in its place',
    [{ ...REMOVED, configuration: withQueues([OTHER_QUEUE]) }],
  ],
  ['is back after some failures', [REMOVED, { atMs: 2_900, configuration: CONFIGURATION }]],
  [
    'is back after more failures than it allows',
    [REMOVED, { atMs: 7_000, configuration: CONFIGURATION }],
  ],
  ['is missing when the owner changes', [REMOVED, { atMs: 2_000, isOwnerKilled: true }]],
];

const play = async (
  changes: readonly Change[],
  submission: Submission = submissionOf(ID, [STEP]),
): Promise<FleetWorld> => {
  const world = new FleetWorld(1, () => ({ workMs: WORK_MS, end: RunEnd.Failed }));
  for (let index = 0; index < 4; index += 1) world.addWorker(`worker-${index}`);
  world.addScheduler();
  world.addScheduler();
  await world.runFor(1_500);
  world.submit(submission);
  const submittedAtMs = world.nowMs;
  const remaining = [...changes];
  while (remaining.length > 0) {
    const { atMs, configuration, isOwnerKilled } = remaining.shift() as Change;
    // eslint-disable-next-line no-await-in-loop -- virtual time advances step by step
    await world.runFor(submittedAtMs + atMs - world.nowMs);
    if (configuration !== undefined) world.configure(configuration);
    if (isOwnerKilled === true) {
      world.killScheduler(world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.isOwner));
    }
  }
  await world.runFor(PLAYED_MS);
  return world;
};

// The limit of attempts was unknown while the configuration did not name the queue.
describe('a task that always fails and whose queue', () => {
  it.each(PLAYS)('%s starts as often as its queue allows', async (_, changes) => {
    const world = await play(changes);
    expect(world.invariants.startCounts.get(TASK)).toBe(ATTEMPTS);
    expect(world.progress(ID)?.state).toBe('failed');
  });

  it('is missing starts once if an older build accepted the submission without terms', async () => {
    const { queueTerms, ...submission } = submissionOf(ID, [STEP]);
    const world = await play([REMOVED], submission);
    expect(queueTerms?.maximumAttempts).toBeGreaterThan(1);
    expect(world.invariants.startCounts.get(TASK)).toBe(1);
    expect(world.progress(ID)?.state).toBe('failed');
  });

  it('allows fewer attempts than it has had does not start again', async () => {
    const fewer = withQueues([{ ...QUEUE, maximumAttempts: 1 }]);
    const world = await play([{ atMs: 1_100, configuration: fewer }]);
    expect(world.invariants.startCounts.get(TASK)).toBe(1);
    expect(world.progress(ID)?.state).toBe('failed');
  });
});
