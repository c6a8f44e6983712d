import { describe, expect, it } from 'vitest';

import { serviceKey } from '../../../services/configuration/common/documents.js';
import type { LatencySample } from '../../../services/worker/common/latencySamples.js';
import {
  type WorkerTaskReport,
  WorkerTaskState,
} from '../../../services/worker/common/workerClient.js';
import { expectNoViolations, shard, startCell, submit } from '../cellFixtures.js';
import { GIBIBYTE, type VirtualCell } from '../virtualCell.js';

const BASE_MS = 20;
const WINDOW_MS = 2_000;
/** The number of windows by which samples arrive late. */
const DELAY_WINDOWS = 2;
const LARGE = { processorMillis: 8_000, memoryBytes: GIBIBYTE, acceleratorCount: 0 };
const LONG_MS = 600_000;

/** The factor by which these tasks lengthen a request on the same worker. */
type SlowdownModel = (runningTasks: readonly WorkerTaskReport[]) => number;

/** The worker's running tasks, as last reported to the owner. */
const runningTasks = (cell: VirtualCell, workerId: string): readonly WorkerTaskReport[] =>
  (cell.owner()?.state.workers.get(workerId)?.report?.tasks ?? []).filter(
    ({ state }) => state === WorkerTaskState.Running,
  );

const ofTeam = (tasks: readonly WorkerTaskReport[], team: string): readonly WorkerTaskReport[] =>
  tasks.filter(({ taskId }) => taskId.startsWith(`${team}.`));

const shareOf = (task: WorkerTaskReport): number => task.processorShare ?? 1;

/** Each unthrottled task of team `cache` makes a request take 40 % longer. */
const cacheSlowsService: SlowdownModel = (tasks) =>
  1 + ofTeam(tasks, 'cache').reduce((sum, task) => sum + 0.4 * shareOf(task), 0);

const startService = (cell: VirtualCell, replicaCount: number): void =>
  cell.writeRow(serviceKey('rounds'), {
    name: 'rounds',
    team: 'service',
    replicaCount,
    size: LARGE,
    urgency: 'urgent',
  });

const submitJob = (cell: VirtualCell, team: string, taskCount: number, workMs: number): void =>
  submit(cell, { ...shard(taskCount, workMs, `${team}.${Math.round(cell.nowMs)}`, LARGE), team });

/** Runs the cell and sends it late samples of each backend server, as entries do. */
const runWithSamples = (cell: VirtualCell, durationMs: number, slowdownOf: SlowdownModel): void => {
  const delayedSamples: (readonly LatencySample[])[] = [];
  for (let endMs = cell.nowMs + durationMs; cell.nowMs < endMs;) {
    const startedAtMs = cell.nowMs;
    cell.runFor(WINDOW_MS);
    const samples = [...cell.workers]
      .filter(([, worker]) => worker.hasService('rounds'))
      .map(([workerId]) => ({
        workerId,
        serviceName: 'rounds',
        requestCount: 60,
        meanLatencyMs: BASE_MS * slowdownOf(runningTasks(cell, workerId)),
        startedAtMs,
        endedAtMs: cell.nowMs,
      }));
    delayedSamples.push(samples);
    if (delayedSamples.length > DELAY_WINDOWS)
      cell.deliverLatencySamples(delayedSamples.shift() ?? []);
  }
};

const processorSharesOf = (cell: VirtualCell, team: string): readonly number[] =>
  [...cell.workers.keys()].flatMap((id) => ofTeam(runningTasks(cell, id), team)).map(shareOf);

describe('interference in a cell', () => {
  it('throttles only the kind that slows a service and evicts nothing', () => {
    const cell = startCell(21);
    startService(cell, 4);
    submitJob(cell, 'quiet', 4, LONG_MS);
    cell.runFor(3_000);
    submitJob(cell, 'cache', 1, LONG_MS);
    runWithSamples(cell, 60_000, cacheSlowsService);
    expect(processorSharesOf(cell, 'quiet')).toEqual([1, 1, 1, 1]);
    expect(processorSharesOf(cell, 'cache')).toEqual([0.25]);
    expect(cell.count('assignments_evicted')).toBe(0);
    expectNoViolations(cell);
  });

  // A worker releases a throttle by itself. Nothing else about the worker changes, so the owner
  // would repeat its unchanged renewal, and callers would keep waiting beside the unthrottled task.
  it('throttles a task again after its worker has released the throttle', () => {
    const cell = startCell(26);
    startService(cell, 4);
    submitJob(cell, 'cache', 1, LONG_MS);
    runWithSamples(cell, 60_000, cacheSlowsService);
    const before = processorSharesOf(cell, 'cache');
    expect(before[0]).toBeLessThan(1);
    const views = [...(cell.owner()?.state.workers.values() ?? [])];
    const view = views.find(({ report }) => report?.tasks.some((task) => shareOf(task) < 1));
    const throttled = view?.report?.tasks.find((task) => shareOf(task) < 1);
    const worker = cell.workers.get(view?.instance.id ?? '');
    const { taskId = '', attempt = 0 } = throttled ?? {};
    const release = {
      incarnation: worker?.incarnation ?? '',
      cellEpoch: cell.owner()?.state.lease.epoch ?? 0,
      throttles: [{ taskId, attempt, processorShare: 1 }],
      ...{ renewals: [], starts: [], evictions: [], acknowledgements: [] },
    };
    worker?.command(release, view?.report?.workerNowMs ?? 0);
    cell.runFor(1_100);
    expect(processorSharesOf(cell, 'cache')).toEqual([1]);
    cell.runFor(3_000);
    expect(processorSharesOf(cell, 'cache')).toEqual(before);
    expectNoViolations(cell);
  });

  // The owner dies, and its estimates are lost. The throttles must stay, because callers would feel
  // all of them being released at each takeover. The next owner finds them in the workers' reports,
  // keeps them until it knows the service, and releases them once the task no longer slows it.
  it('keeps throttles when the owner changes and learns anew', () => {
    const cell = startCell(22);
    startService(cell, 4);
    submitJob(cell, 'cache', 1, LONG_MS);
    runWithSamples(cell, 60_000, cacheSlowsService);
    expect(processorSharesOf(cell, 'cache')).toEqual([0.25]);
    const owner = cell.owner();
    if (owner !== undefined) owner.isAlive = false;
    cell.runFor(20_000);
    expect(cell.owner()?.id).not.toBe(owner?.id);
    expect(processorSharesOf(cell, 'cache')).toEqual([0.25]);
    runWithSamples(cell, 60_000, () => 1);
    expect(processorSharesOf(cell, 'cache')).toEqual([1]);
    expectNoViolations(cell);
  });

  // A harmful task ends and a task of another kind takes its place at once. For some seconds,
  // samples still arrive that were measured beside the first task. Learning from them would
  // throttle the second task, although it never slowed the service.
  it('does not attribute samples to a task that started after them', () => {
    const cell = startCell(23, { workerCount: 2 });
    startService(cell, 2);
    submitJob(cell, 'cache', 6, 30_000);
    cell.runFor(5_000);
    submitJob(cell, 'quiet', 6, LONG_MS);
    runWithSamples(cell, 20_000, cacheSlowsService);
    const changesBefore = cell.count('interference_throttle_changes');
    cell.runFor(10_000);
    expect(processorSharesOf(cell, 'cache')).toEqual([]);
    const startedAtMs = cell.nowMs - 20_000;
    const stale = ['w0', 'w1'].map((workerId) => ({
      workerId,
      serviceName: 'rounds',
      requestCount: 60,
      meanLatencyMs: 3 * BASE_MS,
      startedAtMs,
      endedAtMs: startedAtMs + WINDOW_MS,
    }));
    for (let count = 0; count < 20; count += 1) {
      cell.deliverLatencySamples(stale);
      cell.runFor(1_000);
    }
    expect(processorSharesOf(cell, 'quiet')).toEqual([1, 1, 1, 1, 1, 1]);
    expect(cell.count('interference_throttle_changes')).toBe(changesBefore);
    expect(cell.count('interference_samples_stale')).toBeGreaterThanOrEqual(40);
    expectNoViolations(cell);
  });

  it('places a harmful kind apart from the service once its effect is known', () => {
    const cell = startCell(24, { workerCount: 3 });
    startService(cell, 1);
    cell.runFor(3_000);
    submitJob(cell, 'cache', 1, 40_000);
    runWithSamples(cell, 20_000, cacheSlowsService);
    const [servingWorkerId] = [...cell.workers].find(([, worker]) =>
      worker.hasService('rounds'),
    ) ?? [''];
    expect(ofTeam(runningTasks(cell, servingWorkerId), 'cache')).toHaveLength(1);
    // A second worker shows the latency of the service without batch work.
    startService(cell, 2);
    runWithSamples(cell, 120_000, cacheSlowsService);
    expect(processorSharesOf(cell, 'cache')).toEqual([]);
    submitJob(cell, 'cache', 3, LONG_MS);
    cell.runFor(5_000);
    const workersWithoutService = [...cell.workers].filter(
      ([, worker]) => !worker.hasService('rounds'),
    );
    expect(
      workersWithoutService.flatMap(([id]) => ofTeam(runningTasks(cell, id), 'cache')),
    ).toHaveLength(3);
    expectNoViolations(cell);
  });

  it('throttles nothing when interference control is disabled', () => {
    const timing = startCell(25).timing.interference;
    const cell = startCell(25, { timing: { interference: { ...timing, isEnabled: false } } });
    startService(cell, 4);
    submitJob(cell, 'cache', 1, LONG_MS);
    runWithSamples(cell, 60_000, cacheSlowsService);
    expect(processorSharesOf(cell, 'cache')).toEqual([1]);
  });
});
