import { describe, expect, it } from 'vitest';

import { DEFAULT_POLICY, POLICY_KEY } from '../../services/configuration/common/documents.js';
import type { Resources } from '../../services/worker/common/resources.js';
import {
  type Assignment,
  ledgerPrefix,
  ledgerRowSchema,
} from '../../services/workload/common/workRows.js';
import { LearntSizes, type UsageSample } from '../common/learntSizes.js';
import { CAPACITY, expectNoViolations, shard, SIZE, startCell, submit } from './cellFixtures.js';
import { CELL, GIBIBYTE, type VirtualCell, type VirtualDaemon } from './virtualCell.js';

const setUsage = (cell: VirtualCell, usage: Resources): void =>
  cell.workers.forEach((worker) => {
    // The worker record belongs to the test harness.
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
  // Tasks declare twice the processors that they use. Sixteen of them fill a worker according to
  // the ledger, and half of the worker stays idle while other tasks of the kind are queued.
  it('runs more tasks at a time than their declared sizes allow', () => {
    const cell = startCell(601);
    setUsage(cell, { ...SIZE, processorMillis: 1_000 });
    for (let job = 0; job < 12; job += 1) submit(cell, shard(25, 25_000, `kitchen.job${job}`));
    cell.runFor(10_000);
    expect(assignments(cell).length).toBe(64);
    cell.runFor(30_000);
    expect(assignments(cell).length).toBeGreaterThan(100);
    cell.runFor(90_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(300);
    expectNoViolations(cell);
  });

  // Tasks use one and a half times the processors that they declare. Sixteen fit a worker by
  // declared size and ten by usage. More than ten slow each other and the services beside them.
  it('places no more tasks on a worker than it can run', () => {
    const cell = startCell(602);
    setUsage(cell, { ...SIZE, processorMillis: 3_000 });
    for (let job = 0; job < 12; job += 1) submit(cell, shard(25, 20_000, `kitchen.job${job}`));
    cell.runFor(24_000);
    expect(maximumTasksOnOneWorker(cell)).toBeLessThanOrEqual(16);
    cell.runFor(30_000);
    expect(maximumTasksOnOneWorker(cell)).toBeLessThanOrEqual(10);
    cell.runFor(300_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(300);
    expectNoViolations(cell);
  });

  // Tasks grow to ten times the memory that they declare. A worker would kill some of them, and
  // they would lose their work since the last checkpoint. Instead, some are evicted in time with a
  // checkpoint, and no more tasks of the kind are placed than the memory allows.
  it('evicts tasks from a worker before its memory runs out', () => {
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
    expectNoViolations(cell);
  });

  // The owner dies with its learnt sizes. The next owner knows none, finds tasks committed at
  // learnt sizes, and must not commit any worker beyond its capacity when it adds tasks.
  it('completes its work after a takeover by an owner that learns anew', () => {
    const cell = startCell(604);
    setUsage(cell, { ...SIZE, processorMillis: 1_000 });
    for (let job = 0; job < 12; job += 1) submit(cell, shard(25, 25_000, `kitchen.job${job}`));
    cell.runFor(40_000);
    (cell.owner() as VirtualDaemon).isAlive = false;
    for (let job = 0; job < 12; job += 1) submit(cell, shard(25, 25_000, `kitchen.more${job}`));
    cell.runFor(300_000);
    expect(cell.judge.verdict().completedBatchCount).toBe(600);
    expectNoViolations(cell);
  });

  it('uses the declared sizes when the policy disables learning', () => {
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

  // Reports lag: the first reports of a task cover its start or an earlier time and do not show its
  // size.
  it('ignores tasks that have just started', () => {
    const samples = Array.from({ length: 50 }, (_, index) =>
      sample(index, { usage: withProcessorMillis(10) }),
    );
    const learnt = new LearntSizes().withSamples(samples, 0).withSamples(samples, 5_000);
    expect(learnt.size('kind', false, SIZE)).toEqual(SIZE);
  });

  it('has a margin, a larger one for memory, and keeps accelerators as declared', () => {
    const usage = { processorMillis: 1_000, memoryBytes: 1.4 * GIBIBYTE, acceleratorCount: 0 };
    const declared = { ...SIZE, acceleratorCount: 2 };
    const sizes = sizesAfter({ usage: { ...usage, memoryBytes: Math.round(usage.memoryBytes) } });
    const learnt = sizes.size('kind', false, declared);
    expect(learnt.processorMillis).toBe(1_100);
    expect(learnt.memoryBytes / GIBIBYTE).toBeCloseTo(1.75, 2);
    expect(learnt.acceleratorCount).toBe(2);
  });

  // A service uses little in a quiet hour. If its capacity were given to other tasks, it would be
  // missing later.
  it('only grows for a service', () => {
    const low = sizesAfter({ usage: withProcessorMillis(200), isService: true });
    expect(low.size('kind', true, SIZE)).toEqual(SIZE);
    const high = sizesAfter({ usage: withProcessorMillis(3_000), isService: true });
    expect(high.size('kind', true, SIZE).processorMillis).toBe(3_000);
  });

  // A task with a learnt size uses all of it. The worker may have held the task back, so its real
  // usage is unknown, and the learnt size must not stay too small forever.
  it('grows when tasks use all of their committed processors', () => {
    const committed = withProcessorMillis(1_000);
    const learnt = sizesAfter({ committed, usage: committed });
    expect(learnt.size('kind', false, SIZE).processorMillis).toBeGreaterThan(1_500);
  });

  // A throttle holds a task far below what it would use. If the task counted as using all of its
  // size, its kind would be committed at larger sizes each time, and other tasks would wait beside
  // idle processors.
  it('ignores throttled tasks until they have run unthrottled for a while', () => {
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

  it('is forgotten when its kind is no longer seen, and the number of kinds is bounded', () => {
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
