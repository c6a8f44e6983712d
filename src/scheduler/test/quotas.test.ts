import { describe, expect, it, vi } from 'vitest';

import { SeededRandom } from '../../base/common/random.js';
import { quotaKey } from '../../services/configuration/common/documents.js';
import { addResources, fitsInto, type Resources } from '../../services/worker/common/resources.js';
import { cancellationKey, exchangeKey } from '../../services/workload/common/workRows.js';
import { TeamUsage } from '../common/queueOrder.js';
import {
  expectNoViolations,
  setZone,
  shard,
  SIZE,
  startCells,
  submit,
  workRowsOf,
} from './cellFixtures.js';
import { CELL, GIBIBYTE, type VirtualCell } from './virtualCell.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
const LIMIT: Resources = {
  processorMillis: 24_000,
  memoryBytes: 48 * GIBIBYTE,
  acceleratorCount: 0,
};
const LARGE: Resources = { ...LIMIT, processorMillis: 20_000 };

const setQuota = (cell: VirtualCell, limit = LIMIT): void =>
  cell.writeRow(quotaKey('kitchen'), { team: 'kitchen', limit });

const shardIn = (zone: string, job: string, taskCount: number, workMs: number, size = SIZE) => ({
  ...shard(taskCount, workMs, `kitchen.${job}`, size),
  shardId: `kitchen.${job}~${zone}`,
});

/** Resources that the team's tasks hold in all cells together. */
const usedOf = (cell: VirtualCell): Resources =>
  workRowsOf(cell, 'work/')
    .filter(({ team }) => team === 'kitchen')
    .flatMap((row) => row.tasks.filter(({ state }) => state === 'assigned').map(() => row.size))
    .reduce(addResources, { processorMillis: 0, memoryBytes: 0, acceleratorCount: 0 });

/** Runs the cells and checks ten times per second that together they do not exceed the quota. */
const runAndCheckQuota = (cell: VirtualCell, durationMs: number, limit = LIMIT): void => {
  const endMs = cell.nowMs + durationMs;
  while (cell.nowMs < endMs) {
    cell.runFor(100);
    const used = usedOf(cell);
    if (!fitsInto(used, limit)) expect([cell.nowMs, used]).toEqual([cell.nowMs, limit]);
  }
};

describe('a quota shared by cells', () => {
  // The check that holds a team's tasks back is disabled, so each cell tries to assign all of them
  // and would take the capacity of other teams. The invariant detects that more than the cell's
  // part is assigned and repeats the round without starts. The quota holds, and the tasks wait.
  it('is enforced by the invariant when the scheduling check is broken', () => {
    const cell = startCells(304, ZONES);
    setQuota(cell);
    cell.runFor(3_000);
    const isWithinQuotaMock = vi.spyOn(TeamUsage.prototype, 'isWithinQuota').mockReturnValue(true);
    submit(cell, shardIn('zone-b', 'many', 30, 2_000), 'zone-b');
    runAndCheckQuota(cell, 3_000);
    isWithinQuotaMock.mockRestore();
    expectNoViolations(cell, ['invariant_quota_exceeded']);
    runAndCheckQuota(cell, 30_000);
    expect(workRowsOf(cell, 'work/')).toEqual([]);
  });

  // A task is larger than its zone's third of the quota but not than the whole quota. Such a task
  // used to wait forever. The other cells run tasks of the team, and the large task starts once
  // these have ended.
  it.each([301, 302, 303])("lets a task larger than its cell's part start, seed %i", (seed) => {
    const cell = startCells(seed, ZONES);
    setQuota(cell);
    cell.runFor(3_000);
    submit(cell, shardIn('zone-b', 'small-b', 12, 2_000), 'zone-b');
    submit(cell, shardIn('zone-c', 'small-c', 12, 2_000), 'zone-c');
    runAndCheckQuota(cell, 2_000);
    submit(cell, shardIn('zone-a', 'large', 2, 3_000, LARGE), 'zone-a');
    runAndCheckQuota(cell, 25_000);
    expect(workRowsOf(cell, 'work/')).toEqual([]);
    expect(cell.judge.verdict().completedBatchCount).toBe(26);
    expectNoViolations(cell);
  });

  // Several cells have large tasks at the same time. Each would wait for what the others keep,
  // unless one of them goes first.
  it('lets large tasks of several cells start in turn', () => {
    const cell = startCells(304, ZONES);
    setQuota(cell);
    cell.runFor(3_000);
    ZONES.forEach((zone) => submit(cell, shardIn(zone, `large-${zone}`, 2, 2_000, LARGE), zone));
    submit(cell, shardIn('zone-a', 'small', 20, 1_000), 'zone-a');
    runAndCheckQuota(cell, 60_000);
    expect(workRowsOf(cell, 'work/')).toEqual([]);
    expect(cell.judge.verdict().completedBatchCount).toBe(26);
    // All ceded amounts are returned: no cell asks, cedes or holds too much anymore.
    ZONES.forEach((zone) => {
      const [row] = cell.table.read({ keys: [exchangeKey(zone)], prefixes: [] }).rows;
      expect(row?.value).toMatchObject({ quota: { asks: {}, ceded: {}, held: {} } });
    });
    expectNoViolations(cell);
  });

  // No worker has room for the large task, because another team's long tasks fill them all. The
  // team's small tasks in other cells must not wait for the large task all that time.
  it('does not block small tasks because of a large one that finds no worker', () => {
    const cell = startCells(305, ZONES);
    setQuota(cell);
    submit(cell, { ...shardIn('zone-a', 'full', 36, 200_000), team: 'drivers' }, 'zone-a');
    cell.runFor(3_000);
    submit(cell, shardIn('zone-a', 'large', 1, 1_000, LARGE), 'zone-a');
    cell.runFor(2_000);
    submit(cell, shardIn('zone-b', 'small', 4, 1_000), 'zone-b');
    runAndCheckQuota(cell, 45_000);
    expect(workRowsOf(cell, 'work/zone-b/')).toEqual([]);
    runAndCheckQuota(cell, 300_000);
    expect(workRowsOf(cell, 'work/')).toEqual([]);
    expectNoViolations(cell);
  });

  // A zone is withdrawn, and the other zones use the whole quota. When the zone returns, it has a
  // part again, but it must wait until enough of the others' tasks have ended.
  it('is not exceeded when a zone returns', () => {
    const cell = startCells(306, ZONES);
    setQuota(cell);
    setZone(cell, 'withdrawn', 'zone-c');
    cell.runFor(4_000);
    ZONES.slice(0, 2).forEach((zone) => submit(cell, shardIn(zone, zone, 20, 10_000), zone));
    runAndCheckQuota(cell, 4_000);
    expect(usedOf(cell).processorMillis).toBe(LIMIT.processorMillis);
    setZone(cell, 'in-use', 'zone-c');
    submit(cell, shardIn('zone-c', 'zone-c', 8, 1_000), 'zone-c');
    runAndCheckQuota(cell, 60_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(48);
    expectNoViolations(cell);
  });

  // A zone is withdrawn while checkpoints cannot be written, so its tasks continue to run. The
  // parts of the other zones grow at once; if they were used at once, the team would exceed its
  // quota.
  it('is not exceeded while a withdrawn zone still runs tasks', () => {
    const cell = startCells(307, ZONES);
    setQuota(cell);
    cell.runFor(4_000);
    ZONES.forEach((zone) => submit(cell, shardIn(zone, zone, 20, 30_000), zone));
    runAndCheckQuota(cell, 4_000);
    cell.setObjectStoreDown(true);
    setZone(cell, 'withdrawn', 'zone-c');
    runAndCheckQuota(cell, 20_000);
    cell.setObjectStoreDown(false);
    runAndCheckQuota(cell, 400_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(60);
    expectNoViolations(cell);
  });

  // A job is cancelled while checkpoints cannot be written, so its tasks continue to run and hold
  // quota that the team's next job would use. A former version no longer counted these tasks.
  it('counts the tasks of a cancelled job until they have ended', () => {
    const cell = startCells(308, ZONES);
    setQuota(cell);
    cell.runFor(4_000);
    submit(cell, shardIn('zone-a', 'first', 4, 60_000));
    runAndCheckQuota(cell, 3_000);
    cell.setObjectStoreDown(true);
    cell.writeRow(cancellationKey(CELL, 'plan'), { jobIds: ['kitchen.first'] });
    submit(cell, shardIn('zone-a', 'second', 4, 60_000));
    cell.runFor(5_000);
    expect(usedOf(cell).processorMillis).toBe(8_000);
    expectNoViolations(cell);
  });

  // Small and large tasks run in all cells while a zone leaves and returns at random, answers are
  // lost and owners pause. The cells never exceed the quota together, and all tasks complete in the
  // end.
  it.each([311, 312, 313, 314, 315, 316, 317, 318])(
    'is not exceeded under random withdrawals, lost answers and pauses, seed %i',
    (seed) => {
      const cell = startCells(seed, ZONES);
      const random = new SeededRandom(seed);
      setQuota(cell);
      cell.lostAnswerRatio = 0.05;
      cell.runFor(4_000);
      let taskCount = 0;
      for (let step = 0; step < 40; step += 1) {
        const zone = ZONES[random.nextIndex(ZONES.length)] as string;
        const isLarge = random.nextIndex(4) === 0;
        const count = isLarge ? 1 : 1 + random.nextIndex(6);
        const size = isLarge ? LARGE : SIZE;
        submit(cell, shardIn(zone, `job${step}`, count, 500 + random.nextIndex(4_000), size), zone);
        taskCount += count;
        const isWithdrawn = random.nextIndex(3) === 0;
        if (random.nextIndex(4) === 0)
          setZone(cell, isWithdrawn ? 'withdrawn' : 'in-use', 'zone-c');
        const owner = cell.owner(zone);
        const isPaused = owner !== undefined && random.nextIndex(6) === 0;
        if (isPaused) owner.isPaused = true;
        runAndCheckQuota(cell, 500 + random.nextIndex(2_500));
        if (isPaused) cell.resume(owner);
      }
      setZone(cell, 'in-use', 'zone-c');
      runAndCheckQuota(cell, 200_000);
      expect(workRowsOf(cell, 'work/')).toEqual([]);
      expect(cell.judge.verdict().completedBatchCount).toBe(taskCount);
      expectNoViolations(cell);
    },
  );
});
