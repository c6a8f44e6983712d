import { beforeEach, describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import type { Step, Submission } from '../../../services/submissions/common/submission.js';
import {
  assignmentsKey,
  submissionSchema,
  specKey,
  TASK_PAGE_PREFIX,
} from '../../../services/submissions/common/submissionRows.js';
import { DEFAULT_FLEET_POLICY } from '../../common/fleet/fleetPolicy.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const LARGE_ID = '00000000000000a1';
const SMALL_STEP: Step = {
  ...STEP,
  size: { processorMillis: 10, memoryBytes: 10, acceleratorCount: 0 },
};
const MAXIMUM_ROW_BYTES = 4_096;
/** One row for all of its runs would be three times as large as the table stores. */
const LARGE_TASK_COUNT = 1_000;
const LARGE_WORK_MS = 4_000;

const smallIdOf = (index: number): string => `b${index.toString(16).padStart(15, '0')}`;

// The store refused each transaction with the large row, and nothing else was stored any more.
describe('a submission whose runs no row can hold', () => {
  let world: FleetWorld;
  /** Whether the first run of each task of the large submission fails. */
  let doFirstRunsFail: boolean;

  beforeEach(async () => {
    doFirstRunsFail = false;
    const failed = new Set<string>();
    world = new FleetWorld(7, (taskName) => {
      if (!taskName.startsWith(LARGE_ID)) return { workMs: 300, end: RunEnd.Done };
      const isFailing = doFirstRunsFail && !failed.has(taskName);
      failed.add(taskName);
      return { workMs: LARGE_WORK_MS, end: isFailing ? RunEnd.Failed : RunEnd.Done };
    });
    world.policy = {
      ...DEFAULT_FLEET_POLICY,
      storeLimits: { maximumRowBytes: MAXIMUM_ROW_BYTES },
    };
    for (let index = 0; index < 6; index += 1) world.addWorker(`worker-${index}`);
    [0, 1].forEach(() => world.addScheduler());
    await world.runFor(1_500);
  });

  const largeSubmission = (steps: readonly Partial<Step>[] = [{}]): Submission =>
    submissionOf(
      LARGE_ID,
      steps.map((step) => ({ ...SMALL_STEP, taskCount: LARGE_TASK_COUNT, ...step })),
    );

  /** Hands in a small submission each second. */
  const runWithTraffic = async (seconds: number): Promise<readonly string[]> => {
    const ids = Array.from({ length: seconds }, (_, second) => smallIdOf(world.nowMs + second));
    for (let second = 0; second < seconds; second += 1) {
      world.submit(submissionOf(ids[second] ?? '', [{ ...SMALL_STEP, taskCount: 3 }]));
      // eslint-disable-next-line no-await-in-loop -- virtual time
      await world.runFor(1_000);
    }
    return ids;
  };

  const statesOf = (ids: readonly string[]): ReadonlySet<string | undefined> =>
    new Set(ids.map((id) => world.progress(id)?.state));

  const pages = () => world.table.read({ keys: [], prefixes: [TASK_PAGE_PREFIX] }).rows;

  const killOwner = async (): Promise<void> => {
    const owner = world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.epoch !== undefined);
    world.killScheduler(owner);
    await world.runFor(500);
    world.startScheduler(owner);
  };

  it('is completed, and others beside it', async () => {
    world.submit(largeSubmission());
    const ids = await runWithTraffic(20);
    await world.runFor(10_000);
    expect(statesOf([LARGE_ID, ...ids])).toEqual(new Set(['complete']));
    expect(new Set(world.invariants.startCounts.values())).toEqual(new Set([1]));
    expect(world.refusedTransactionCount).toBe(0);
    expect(world.invariants.broken).toEqual([]);
    expect(pages()).toEqual([]);
  });

  it('keeps its ends and its runs over changes of the owner', async () => {
    world.submit(largeSubmission([{}, { after: [0] }]));
    const ids = [...(await runWithTraffic(3))];
    for (let change = 0; change < 4; change += 1) {
      // eslint-disable-next-line no-await-in-loop -- virtual time
      await killOwner();
      // eslint-disable-next-line no-await-in-loop
      ids.push(...(await runWithTraffic(4)));
    }
    await world.runFor(30_000);
    expect(statesOf([LARGE_ID, ...ids])).toEqual(new Set(['complete']));
    expect(world.refusedTransactionCount).toBe(0);
    expect(world.invariants.broken).toEqual([]);
  });

  it('has failed attempts that no row can hold either', async () => {
    doFirstRunsFail = true;
    world.submit(largeSubmission());
    const ids = await runWithTraffic(20);
    await world.runFor(20_000);
    expect(statesOf([LARGE_ID, ...ids])).toEqual(new Set(['complete']));
    expect(world.refusedTransactionCount).toBe(0);
    expect(new Set(world.invariants.startCounts.values())).toEqual(new Set([1, 2]));
  });

  it('leaves nothing behind when it is cancelled', async () => {
    world.submit(largeSubmission());
    await runWithTraffic(3);
    expect(pages().length).toBeGreaterThan(0);
    world.cancel(LARGE_ID);
    await world.runFor(5_000);
    expect(world.progress(LARGE_ID)?.state).toBe('cancelled');
    expect(pages()).toEqual([]);
  });

  // A build that does not know the pages would start all of its tasks again.
  it('can not be read by a build that does not know its pages', async () => {
    world.submit(largeSubmission());
    await runWithTraffic(3);
    const [spec] = world.table.read({ keys: [specKey(LARGE_ID)], prefixes: [] }).rows;
    const formerSchema = submissionSchema.omit({ tasksPerPage: true }).strict();
    expect(submissionSchema.safeParse(spec?.value).success).toBe(true);
    expect(formerSchema.safeParse(spec?.value).success).toBe(false);
  });

  it('is taken over from a build that has stored it in one row', async () => {
    const large = largeSubmission();
    world.submit(large);
    // With this limit the submission is small enough for one row.
    world.policy = { ...world.policy, storeLimits: { maximumRowBytes: 64_000 } };
    [0, 1].forEach((index) => {
      world.killScheduler(index);
      world.startScheduler(index);
    });
    await runWithTraffic(4);
    expect(world.table.read({ keys: [assignmentsKey(LARGE_ID)], prefixes: [] }).rows).toHaveLength(
      1,
    );
    [0, 1].forEach((index) => world.killScheduler(index));
    world.policy = { ...world.policy, storeLimits: { maximumRowBytes: MAXIMUM_ROW_BYTES } };
    [0, 1].forEach((index) => world.startScheduler(index));
    const ids = await runWithTraffic(20);
    await world.runFor(10_000);
    expect(statesOf([LARGE_ID, ...ids])).toEqual(new Set(['complete']));
    expect(world.table.read({ keys: [assignmentsKey(LARGE_ID)], prefixes: [] }).rows).toEqual([]);
    expect(world.invariants.broken).toEqual([]);
  });
});
