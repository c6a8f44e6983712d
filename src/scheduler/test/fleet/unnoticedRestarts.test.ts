import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';
import type { WorldFaults } from './worldFaults.js';

const WORKER_COUNT = 6;
const WORK_MS = 60;
const DOWN_MS = 60;
const SLOW_TRANSACTION_MS = 240;
const PLAYED_MS = 20_000;
const CRASH_INTERVAL_MS = 500;
const SUBMISSION_INTERVAL_MS = 100;
const OWNER_INTERVAL_MS = 5_000;

const restartWorker = (world: FleetWorld, id: string): void => {
  world.workers.get(id)?.crash();
  world.time.later(DOWN_MS, () => world.workers.get(id)?.restart(world.nowMs));
};

const replaceOwner = (world: FleetWorld): void => {
  const index = world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.epoch !== undefined);
  if (index < 0) return;
  world.killScheduler(index);
  world.startScheduler(index);
};

interface Disturbance {
  readonly what: string;
  readonly seed: number;
  readonly faults?: Partial<WorldFaults>;
  readonly areOwnersReplaced?: boolean;
}

const DISTURBANCES: readonly Disturbance[] = [
  { what: 'nothing else', seed: 1 },
  { what: 'nothing else', seed: 2 },
  { what: 'nothing else', seed: 3 },
  { what: 'lost answers of workers', seed: 4, faults: { lostOrderAnswerShare: 0.1 } },
  { what: 'lost answers of the store', seed: 5, faults: { lostAnswerShare: 0.1 } },
  { what: 'owners that are replaced', seed: 6, areOwnersReplaced: true },
];

const play = async ({ seed, faults, areOwnersReplaced }: Disturbance): Promise<FleetWorld> => {
  const world = new FleetWorld(seed, () => ({ workMs: WORK_MS, end: RunEnd.Done }));
  for (let index = 0; index < WORKER_COUNT; index += 1) world.addWorker(`worker-${index}`);
  world.addScheduler();
  world.addScheduler();
  await world.runFor(1_500);
  Object.assign(world.faults, faults, { transactionMs: SLOW_TRANSACTION_MS });
  for (let playedMs = 0; playedMs < PLAYED_MS; playedMs += SUBMISSION_INTERVAL_MS) {
    const id = (0xa0000 + playedMs).toString(16).padStart(16, '0');
    world.submit(submissionOf(id, [{ ...STEP, taskCount: 4 }]));
    if (playedMs % CRASH_INTERVAL_MS === 0) {
      restartWorker(world, `worker-${world.random.nextIndex(WORKER_COUNT)}`);
    }
    if (areOwnersReplaced === true && playedMs % OWNER_INTERVAL_MS === 0) replaceOwner(world);
    // eslint-disable-next-line no-await-in-loop -- virtual time advances step by step
    await world.runFor(SUBMISSION_INTERVAL_MS);
  }
  await world.runFor(10_000);
  return world;
};

// Ends of the new process were acknowledged by the numbers of the former one, and lost.
describe('a worker that restarts between two calls while the store is slow', () => {
  it.each(DISTURBANCES)(
    'keeps the ends of its runs until they are handled, beside $what, seed $seed',
    async (disturbance) => {
      const world = await play(disturbance);
      expect(world.invariants.broken).toEqual([]);
      expect(world.invariants.startCounts.size).toBeGreaterThan(200);
    },
  );
});
