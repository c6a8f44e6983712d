import { describe, expect, it } from 'vitest';

import { ReportMirror } from '../common/reportMirror.js';
import { RevisionedWorker } from '../common/revisionedWorker.js';
import { type WorkerReport, WorkerTaskState } from '../common/workerClient.js';
import { wireCommandSchema } from '../common/workerExchange.js';
import {
  commandOf,
  ExchangeComparison,
  LEASE_MS,
  RandomOwners,
  SIZE,
  startOf,
  statesOf,
} from './exchangeComparison.js';

const STEP_COUNT = 120;
const SEED_COUNT = 150;

const attemptOf = (taskId: string) => ({ taskId, attempt: 1 });

/** Creates a worker with the tasks `a`, `b` and `c`, and an owner that knows them. */
const withThreeTasks = () => {
  const comparison = new ExchangeComparison();
  const mirror = new ReportMirror();
  comparison.call(mirror, commandOf({ incarnation: '' }));
  const starts = ['a', 'b', 'c'].map((taskId) => startOf(taskId, 0));
  const report = comparison.call(mirror, commandOf({ starts }));
  return { comparison, mirror, report };
};

const renewalsOf = (taskIds: readonly string[], nowMs: number) =>
  taskIds.map((taskId) => ({ ...attemptOf(taskId), leaseUntilWorkerMs: nowMs + LEASE_MS }));

describe('short messages between an owner and a worker', () => {
  // Guards against a task in two places, because a lease was renewed that the owner no longer
  // renews, and against a repeated task, because a lease was not renewed. Random commands meet lost
  // and late answers, late commands, restarts, takeovers and paused owners. After each step the
  // worker must have the same state as a worker that receives full lists.
  it('have the same effect on the worker as full lists, even under faults', () => {
    Array.from({ length: SEED_COUNT }, (_, seed) => {
      const owners = new RandomOwners(seed + 1);
      const faults = Array.from({ length: STEP_COUNT }, (__, step) => {
        const fault = owners.step();
        return fault === '' ? '' : `seed ${seed + 1}, step ${step}: ${fault}`;
      });
      return expect(faults.filter((fault) => fault !== '')).toEqual([]);
    });
  });

  it('name no task while no task changes', () => {
    const { comparison, mirror } = withThreeTasks();
    const bytes = comparison.messageBytes.length;
    comparison.call(mirror, commandOf({ renewals: renewalsOf(['a', 'b', 'c'], 0) }));
    expect(comparison.messageBytes[bytes]).toBeLessThan(200);
  });

  // A running transaction takes `b` off the worker. The task starts elsewhere when its lease has
  // expired, so no message may renew it from now on, not even by the blanket renewal.
  it('do not renew an attempt that the command does not name', () => {
    const { comparison, mirror } = withThreeTasks();
    comparison.nowMs = LEASE_MS - 100;
    const kept = renewalsOf(['a', 'c'], comparison.nowMs);
    const { message } = mirror.toMessage(commandOf({ renewals: kept }));
    expect(message.blanketRenewal?.except).toEqual([attemptOf('b')]);
    comparison.call(mirror, commandOf({ renewals: kept }));
    comparison.nowMs = LEASE_MS + 100;
    const report = comparison.call(mirror, commandOf({}));
    expect(statesOf(report)).toMatchObject({
      'a#1': 'running null',
      'b#1': 'lapsed null',
      'c#1': 'running null',
    });
  });

  // The answer that reports `d` is lost, and the transaction that assigned it to this worker fails.
  // The owner renews every attempt that it knows; `d` must not be renewed with them.
  it('do not renew an attempt whose start has not been reported to the owner', () => {
    const { comparison, mirror } = withThreeTasks();
    const command = commandOf({ starts: [startOf('d', 0)] });
    comparison.deliver(mirror, { sent: mirror.toMessage(command), command });
    comparison.nowMs = LEASE_MS - 100;
    const renewals = renewalsOf(['a', 'b', 'c'], comparison.nowMs);
    expect(statesOf(comparison.call(mirror, commandOf({ renewals })))['d#1']).toBe('running null');
    comparison.nowMs = LEASE_MS + 100;
    expect(statesOf(comparison.call(mirror, commandOf({})))['d#1']).toBe('lapsed null');
  });

  // The first answer arrives after the second. It is based on a revision that the owner no longer
  // keeps, so it is dropped, and the next answer is a full report.
  it('cause an out-of-order answer to be dropped and a full report to be requested', () => {
    const { comparison, mirror } = withThreeTasks();
    const first = commandOf({ starts: [startOf('d', 0)] });
    const decodeLateAnswer = comparison.deliver(mirror, {
      sent: mirror.toMessage(first),
      command: first,
    });
    comparison.call(mirror, commandOf({ evictions: [attemptOf('a')] }));
    expect(decodeLateAnswer()).toBeUndefined();
    const report = comparison.call(mirror, commandOf({}));
    expect(statesOf(report)).toEqual(statesOf(comparison.listWorker.report(comparison.nowMs)));
  });

  // An owner is paused past its lease, another owner renews the leases for longer, and the first
  // regains the cell with a new epoch. It must learn the leases granted in between, or it would
  // consider the worker's tasks lapsed while they run.
  it('begin with a full report after a takeover, even by a previous owner', () => {
    const { comparison, mirror } = withThreeTasks();
    const interimMirror = new ReportMirror();
    comparison.call(interimMirror, commandOf({ incarnation: '', cellEpoch: 2 }));
    const renewals = renewalsOf(['a', 'b', 'c'], 5_000);
    comparison.call(interimMirror, commandOf({ cellEpoch: 2, renewals }));
    const { message } = mirror.toMessage(commandOf({ cellEpoch: 3 }));
    expect(message.knownRevision).toBeUndefined();
    const report = comparison.call(mirror, commandOf({ incarnation: '', cellEpoch: 3 }));
    expect(report?.latestLeaseUntilWorkerMs).toBe(5_000 + LEASE_MS);
  });

  it('have no effect on a restarted worker, which sends a full report', () => {
    const { comparison, mirror } = withThreeTasks();
    comparison.restart();
    const report = comparison.call(mirror, commandOf({ renewals: renewalsOf(['a'], 0) }));
    expect(report).toMatchObject({ incarnation: 'w@2', tasks: [] });
  });
});

describe('a worker without support for revisions', () => {
  it('receives full commands', () => {
    const mirror = new ReportMirror();
    const first = mirror.toMessage(commandOf({ incarnation: '' }));
    const task = { ...attemptOf('a'), state: WorkerTaskState.Running, size: SIZE, usage: SIZE };
    const taskReport = { ...task, checkpoint: null, leaseUntilWorkerMs: LEASE_MS };
    const whole: WorkerReport = {
      workerId: 'w',
      incarnation: 'w@1',
      workerNowMs: 0,
      tasks: [taskReport],
    };
    expect(mirror.toReport(first, whole)).toEqual(whole);
    const command = commandOf({ renewals: renewalsOf(['a'], 0) });
    expect(mirror.toMessage(command).message).toEqual(command);
  });
});

describe('the usage of a task', () => {
  it('is reported again only after a change of more than a tenth of the size', () => {
    let processorMillis = 1_000;
    const size = { ...SIZE, processorMillis: 1_000 };
    const worker = new RevisionedWorker(() => ({
      workerId: 'w',
      incarnation: 'w@1',
      workerNowMs: 0,
      tasks: [
        {
          ...attemptOf('a'),
          state: WorkerTaskState.Running,
          size,
          usage: { ...size, processorMillis },
          checkpoint: null,
          leaseUntilWorkerMs: 0,
        },
      ],
    }));
    const ask = (knownRevision: number) =>
      worker.command(wireCommandSchema.parse({ incarnation: 'w@1', cellEpoch: 1, knownRevision }));
    expect(
      worker.command(wireCommandSchema.parse({ incarnation: '', cellEpoch: 1 })),
    ).toMatchObject({ revision: 1 });
    processorMillis = 910;
    expect(ask(1)).toEqual({ baseRevision: 1, revision: 1, workerNowMs: 0 });
    processorMillis = 890;
    expect(ask(1)).toMatchObject({ revision: 2, tasks: [{ usage: { processorMillis } }] });
  });
});
