import { describe, expect, it } from 'vitest';

import { DEFAULT_POLICY, POLICY_KEY } from '../../services/configuration/common/documents.js';
import type { Resources } from '../../services/worker/common/resources.js';
import {
  type Assignment,
  ledgerPrefix,
  ledgerRowSchema,
} from '../../services/workload/common/workRows.js';
import { LearntSizes, type UsageSample } from '../common/learntSizes.js';
import { CAPACITY, expectNoHarm, shard, SIZE, startCell, submit } from './cellFixtures.js';
import { CELL, GIBIBYTE, type VirtualCell, type VirtualDaemon } from './virtualCell.js';

const setUsage = (cell: VirtualCell, usage: Resources): void =>
  cell.workers.forEach((worker) => {
    // The record is the harness's own.
    // eslint-disable-next-line no-param-reassign
    worker.usageOf = () => usage;
  });

const assignments = (cell: VirtualCell): readonly Assignment[] =>
  cell.table
    .read({ keys: [], prefixes: [ledgerPrefix(CELL)] })
    .rows.flatMap(({ value }) => ledgerRowSchema.parse(value).assignments);

const maximumTasksOnOneWorker = (cell: VirtualCell): number =>
  Math.max(
    ...[...cell.workers.keys()].map(
      (id) => assignments(cell).filter(({ workerId }) => workerId === id).length,
    ),
  );

describe('a cell whose jobs declare wrong sizes', () => {
  // Tasks declare twice the processors that they use. Sixteen of them fill a worker in the ledger,
  // half of which idles while others of the kind wait.
  it('runs more of them at a time than were declared to fit', () => {
    const cell = startCell(601);
    setUsage(cell, { ...SIZE, processorMillis: 1_000 });
    for (let job = 0; job < 12; job += 1) submit(cell, shard(25, 25_000, `kitchen.job${job}`));
    cell.runFor(10_000);
    expect(assignments(cell).length).toBe(64);
    cell.runFor(30_000);
    expect(assignments(cell).length).toBeGreaterThan(100);
    cell.runFor(90_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(300);
    expectNoHarm(cell);
  });

  // Tasks use half as much again as they declare. Sixteen fit a worker by what they declare, ten
  // by what they use; the rest only slows all of them, and the services beside them, down.
  it('puts no more of them on a worker than it can run', () => {
    const cell = startCell(602);
    setUsage(cell, { ...SIZE, processorMillis: 3_000 });
    for (let job = 0; job < 12; job += 1) submit(cell, shard(25, 20_000, `kitchen.job${job}`));
    cell.runFor(24_000);
    expect(maximumTasksOnOneWorker(cell)).toBeLessThanOrEqual(16);
    cell.runFor(30_000);
    expect(maximumTasksOnOneWorker(cell)).toBeLessThanOrEqual(10);
    cell.runFor(300_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(300);
    expectNoHarm(cell);
  });

  // Tasks grow to ten times the memory that they declare. A worker would kill some of them, and
  // what they have done since their checkpoints would be lost. Some leave in time, with a
  // checkpoint, and no more of the kind come than there is memory for.
  it('has tasks leave a worker before its memory runs out', () => {
    const cell = startCell(603);
    submit(cell, shard(40, 90_000));
    cell.runFor(20_000);
    expect(cell.judge.verdict().evictionCount).toBe(0);
    setUsage(cell, { ...SIZE, memoryBytes: 20 * GIBIBYTE });
    cell.runFor(10_000);
    const { evictionCount } = cell.judge.verdict();
    expect(evictionCount).toBeGreaterThan(0);
    expect(maximumTasksOnOneWorker(cell) * 20 * GIBIBYTE).toBeLessThanOrEqual(CAPACITY.memoryBytes);
    cell.runFor(900_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(40);
    expect(cell.judge.verdict().evictionCount).toBeLessThan(2 * 40);
    expectNoHarm(cell);
  });

  // The owner that has learnt dies. The next one knows nothing, finds tasks committed at learnt
  // sizes and must commit no worker beyond its capacity on top of them.
  it('is taken over by an owner that learns anew', () => {
    const cell = startCell(604);
    setUsage(cell, { ...SIZE, processorMillis: 1_000 });
    for (let job = 0; job < 12; job += 1) submit(cell, shard(25, 25_000, `kitchen.job${job}`));
    cell.runFor(40_000);
    (cell.owner() as VirtualDaemon).isAlive = false;
    for (let job = 0; job < 12; job += 1) submit(cell, shard(25, 25_000, `kitchen.more${job}`));
    cell.runFor(300_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(600);
    expectNoHarm(cell);
  });

  it('goes by the declared sizes when the policy says so', () => {
    const cell = startCell(605);
    cell.writeRow(POLICY_KEY, { ...DEFAULT_POLICY, isSizeLearnt: false });
    setUsage(cell, { ...SIZE, processorMillis: 1_000 });
    for (let job = 0; job < 12; job += 1) submit(cell, shard(25, 25_000, `kitchen.job${job}`));
    cell.runFor(40_000);
    expect(new Set(assignments(cell).map(({ size }) => size.processorMillis))).toEqual(
      new Set([SIZE.processorMillis]),
    );
  });
});

describe('a learnt size', () => {
  const sample = (index: number, change: Partial<UsageSample>): UsageSample => ({
    workerId: 'w0',
    attemptKey: `task/${index}#1`,
    kind: 'kind',
    isService: false,
    declared: SIZE,
    committed: SIZE,
    usage: SIZE,
    ...change,
  });
  const sizesAfter = (change: Partial<UsageSample>): LearntSizes => {
    const samples = Array.from({ length: 6 }, (_, index) => sample(index, change));
    return [0, 5_000, 10_000, 15_000, 20_000, 25_000].reduce(
      (learnt, atMs) => learnt.withSamples(samples, atMs),
      new LearntSizes(),
    );
  };
  const withProcessorMillis = (processorMillis: number): Resources => ({
    ...SIZE,
    processorMillis,
  });

  // Reports lag: what a task used in its first seconds, or before, says nothing of its size.
  it('does not go by tasks that have just started', () => {
    const samples = Array.from({ length: 50 }, (_, index) =>
      sample(index, { usage: withProcessorMillis(10) }),
    );
    const learnt = new LearntSizes().withSamples(samples, 0).withSamples(samples, 5_000);
    expect(learnt.size('kind', false, SIZE)).toEqual(SIZE);
  });

  it('has a margin, of memory a larger one, and keeps accelerators', () => {
    const usage = { processorMillis: 1_000, memoryBytes: 1.4 * GIBIBYTE, acceleratorCount: 0 };
    const declared = { ...SIZE, acceleratorCount: 2 };
    const sizes = sizesAfter({ usage: { ...usage, memoryBytes: Math.round(usage.memoryBytes) } });
    const learnt = sizes.size('kind', false, declared);
    expect(learnt.processorMillis).toBe(1_100);
    expect(learnt.memoryBytes / GIBIBYTE).toBeCloseTo(1.75, 2);
    expect(learnt.acceleratorCount).toBe(2);
  });

  // A service uses little in a quiet hour. Were its room given away, it would be missing later.
  it('of a service only grows', () => {
    const low = sizesAfter({ usage: withProcessorMillis(200), isService: true });
    expect(low.size('kind', true, SIZE)).toEqual(SIZE);
    const high = sizesAfter({ usage: withProcessorMillis(3_000), isService: true });
    expect(high.size('kind', true, SIZE).processorMillis).toBe(3_000);
  });

  // A task that was given a learnt size uses all of it: the worker may have held it there, so
  // what it would use is not known, and the size must not stay small for ever.
  it('grows when tasks use all that they were given', () => {
    const committed = withProcessorMillis(1_000);
    const learnt = sizesAfter({ committed, usage: committed });
    expect(learnt.size('kind', false, SIZE).processorMillis).toBeGreaterThan(1_500);
  });

  // A throttle holds a task far below what it would use. Taken for one that uses all that it was
  // given, its kind would be committed larger each time, and others wait beside idle processors.
  it('does not go by throttled tasks until they have run without the throttle for a while', () => {
    const committed = withProcessorMillis(1_000);
    const throttled = sizesAfter({ committed, usage: committed, isThrottled: true });
    expect(throttled.size('kind', false, SIZE)).toEqual(SIZE);
    const known = sizesAfter({ usage: withProcessorMillis(1_000) });
    const samples = Array.from({ length: 6 }, (_, index) =>
      sample(index, { usage: withProcessorMillis(250) }),
    );
    const throttledSamples = samples.map((one) => ({ ...one, isThrottled: true }));
    const released = known.withSamples(throttledSamples, 30_000).withSamples(samples, 35_000);
    expect(released.size('kind', false, SIZE)).toEqual(known.size('kind', false, SIZE));
  });

  it('is forgotten when the kind is not seen, and bounded in number', () => {
    const learnt = sizesAfter({ usage: withProcessorMillis(1_000) });
    expect(learnt.withSamples([], 60_000).size('kind', false, SIZE)).not.toEqual(SIZE);
    expect(learnt.withSamples([], 2_000_000).size('kind', false, SIZE)).toEqual(SIZE);
    const many = Array.from({ length: 3_000 }, (_, index) =>
      sample(index, { kind: `kind${index}` }),
    );
    const full = new LearntSizes().withSamples(many, 0).withSamples(many, 20_000);
    expect(full.kindCount).toBe(2_000);
  });
});
