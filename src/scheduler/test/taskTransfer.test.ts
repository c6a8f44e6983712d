import { describe, expect, it } from 'vitest';

import { SeededRandom } from '../../base/common/random.js';
import { cancellationKey } from '../../services/workload/common/workRows.js';
import {
  expectNoViolations,
  setZone,
  shard,
  startCells,
  submit,
  workRowsOf,
} from './cellFixtures.js';
import type { VirtualCell } from './virtualCell.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;

const shardIn = (zone: string, job: string, taskCount: number, workMs: number) => ({
  ...shard(taskCount, workMs, `kitchen.${job}`),
  shardId: `kitchen.${job}~${zone}`,
});

const countIn = (cell: VirtualCell, zone: string, state: string): number =>
  workRowsOf(cell, `work/${zone}/`)
    .flatMap(({ tasks }) => tasks)
    .filter((task) => task.state === state).length;

describe('queued work in a full cell', () => {
  // A job of 140 tasks, which run for minutes, arrives in a cell with room for 48 while the other
  // cells are idle. Shards used to stay in their cell. The waiting tasks have to run in other
  // cells.
  it('is transferred to cells with room while running tasks stay', () => {
    const cell = startCells(401, ZONES);
    cell.runFor(8_000);
    submit(cell, shardIn('zone-a', 'plan', 140, 60_000), 'zone-a');
    cell.runFor(30_000);
    ZONES.forEach((zone) => expect([zone, countIn(cell, zone, 'queued')]).toEqual([zone, 0]));
    expect(cell.judge.verdict().startCount).toBe(140);
    cell.runFor(80_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(140);
    expect(cell.judge.verdict().evictionCount).toBe(0);
    expectNoViolations(cell);
  });

  // All cells have more tasks than they can run. Transfers would cost writes without any benefit.
  it('stays in its cell if the other cells are full too', () => {
    const cell = startCells(402, ZONES);
    cell.runFor(8_000);
    ZONES.forEach((zone) => submit(cell, shardIn(zone, `plan-${zone}`, 100, 20_000), zone));
    cell.runFor(15_000);
    expect(cell.count('tasks_handed_on')).toBe(0);
    cell.runFor(90_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(300);
    expectNoViolations(cell);
  });

  // Two full cells transfer tasks to a third one at the same time, based on the same published
  // room. The third cell must not get more tasks than it has room for, nor send tasks back.
  it('is not transferred beyond the room of the receiving cell, nor back and forth', () => {
    const cell = startCells(403, ZONES);
    cell.runFor(8_000);
    submit(cell, shardIn('zone-a', 'plan-a', 120, 100_000), 'zone-a');
    submit(cell, shardIn('zone-b', 'plan-b', 120, 100_000), 'zone-b');
    let mostQueued = 0;
    for (let step = 0; step < 60; step += 1) {
      cell.runFor(500);
      mostQueued = Math.max(mostQueued, countIn(cell, 'zone-c', 'queued'));
    }
    expect(countIn(cell, 'zone-c', 'assigned')).toBe(48);
    expect(mostQueued).toBeLessThanOrEqual(48);
    // 48 tasks find room. A few more may have been sent when little room was left.
    expect(cell.count('tasks_handed_on')).toBeLessThan(56);
    expectNoViolations(cell);
  });

  // Jobs arrive in random cells, some are cancelled while their tasks are transferred, answers of
  // the table and of workers are lost, and a zone leaves and returns. Each task ends exactly once.
  it.each([411, 412, 413, 414, 415, 416])('ends once under random faults, seed %i', (seed) => {
    const cell = startCells(seed, ZONES);
    const random = new SeededRandom(seed);
    cell.lostAnswerRatio = 0.05;
    cell.lostCommandAnswerRatio = 0.05;
    cell.runFor(4_000);
    let taskCount = 0;
    for (let step = 0; step < 20; step += 1) {
      const zone = ZONES[random.nextIndex(2)] as string;
      const count = 1 + random.nextIndex(60);
      submit(cell, shardIn(zone, `job${step}`, count, 2_000 + random.nextIndex(8_000)), zone);
      const isCancelled = random.nextIndex(5) === 0;
      if (!isCancelled) taskCount += count;
      cell.runFor(random.nextIndex(5_000));
      if (isCancelled) {
        ZONES.forEach((otherZone) =>
          cell.writeRow(cancellationKey(otherZone, `plan${step}`), {
            jobIds: [`kitchen.job${step}`],
          }),
        );
      }
      if (random.nextIndex(6) === 0) setZone(cell, 'withdrawn', 'zone-c');
      if (random.nextIndex(6) === 0) setZone(cell, 'in-use', 'zone-c');
      cell.runFor(random.nextIndex(3_000));
    }
    setZone(cell, 'in-use', 'zone-c');
    cell.runFor(200_000);
    expect(workRowsOf(cell, 'work/')).toEqual([]);
    const ended = workRowsOf(cell, 'finished/').flatMap(({ tasks, jobId }) =>
      tasks.map(({ index, state }) => ({ id: `${jobId}/${index}`, state })),
    );
    expect(new Set(ended.map(({ id }) => id)).size).toBe(ended.length);
    const done = ended.filter(({ state }) => state === 'done');
    expect(done.length).toBeGreaterThanOrEqual(taskCount);
    expect(cell.count('tasks_handed_on')).toBeGreaterThan(0);
    expectNoViolations(cell);
  });
});
