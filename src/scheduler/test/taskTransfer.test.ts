import { describe, expect, it } from 'vitest';

import { SeededRandom } from '../../base/common/random.js';
import { cancellationKey } from '../../services/workload/common/workRows.js';
import { expectNoHarm, setZone, shard, startCells, submit, workRowsOf } from './cellFixtures.js';
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
  // A job of 140 tasks has come to one cell that has room for 48, running for minutes, while the
  // other cells idle. Shards used to stay where they were. What waits has to run in the others.
  it('is handed on to cells with room, while what runs stays', () => {
    const cell = startCells(401, ZONES);
    cell.runFor(8_000);
    submit(cell, shardIn('zone-a', 'plan', 140, 60_000), 'zone-a');
    cell.runFor(30_000);
    ZONES.forEach((zone) => expect([zone, countIn(cell, zone, 'queued')]).toEqual([zone, 0]));
    expect(cell.judge.verdict().startCount).toBe(140);
    cell.runFor(80_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(140);
    expect(cell.judge.verdict().evictionCount).toBe(0);
    expectNoHarm(cell);
  });

  // All cells have more than they can run. Nothing may be sent about, which would cost writes and
  // bring nothing.
  it('stays where it is when the other cells are full too', () => {
    const cell = startCells(402, ZONES);
    cell.runFor(8_000);
    ZONES.forEach((zone) => submit(cell, shardIn(zone, `plan-${zone}`, 100, 20_000), zone));
    cell.runFor(15_000);
    expect(cell.count('tasks_handed_on')).toBe(0);
    cell.runFor(90_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(300);
    expectNoHarm(cell);
  });

  // A cell fills up and two others hand their work on to it at the same moment, from the same
  // picture of its room. It must not get more than it has room for, nor send it back.
  it('is not sent in a stampede, nor to and fro', () => {
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
    // 48 find room; a few more may have been sent when little was left.
    expect(cell.count('tasks_handed_on')).toBeLessThan(56);
    expectNoHarm(cell);
  });

  // Jobs come to random cells, some are cancelled while they are handed on, answers are lost,
  // workers are cut off and a zone leaves and returns. Each task runs to its end once.
  it.each([411, 412, 413, 414, 415, 416])('ends once whatever happens, seed %i', (seed) => {
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
    expectNoHarm(cell);
  });
});
