import { type Either, isLeft } from 'fp-ts/lib/Either.js';
import { beforeEach, describe, expect, it } from 'vitest';

import { ConfigurationFollower } from '../../services/configuration/node/configurationFollower.js';
import type { Failure } from '../../services/errors/common/errorKinds.js';
import { silentLog } from '../../services/log/common/log.js';
import { silentMetrics } from '../../services/metrics/common/metrics.js';
import { ledgerKey, workKey } from '../../services/workload/common/workRows.js';
import type { Intent } from '../common/intent.js';
import type { Plan } from '../common/plan.js';
import { type PlanProgress, PlanProgressReader } from '../node/planProgress.js';
import type { PlanService } from '../node/planService.js';
import { OperatorHarness, service, SIZE, worker } from './operatorHarness.js';

const assignment = (taskId: string, workerId: string, serviceName = '') => ({
  ...{ taskId, attempt: 1, workerId, incarnation: 'i', taskClass: 'batch', serviceName },
  ...{ shardId: serviceName === '' ? 'kitchen.k~zone-a' : '', taskIndex: 0, size: SIZE, workMs: 1 },
  checkpoint: null,
});

const OPEN_SHARD = {
  ...{ shardId: 'kitchen.k~zone-a', jobId: 'kitchen.k', team: 'kitchen', size: SIZE, workMs: 1 },
  urgency: 'normal',
  tasks: ['queued', 'assigned', 'done'].map((state, index) => ({
    ...{ index, state, attempt: 1, checkpoint: null, evictionCount: 0, failureWeight: 0 },
  })),
};

describe('the progress of a plan', () => {
  let harness: OperatorHarness;
  let plans: PlanService;
  let reader: PlanProgressReader;
  const write = (key: string, value: unknown): void => {
    const writes = [{ key, value: value as never }];
    harness.table.truth.transact({ operationId: 'test', conditions: [], writes });
  };
  const setLedger = (assignments: readonly unknown[]): void =>
    write(ledgerKey('zone-a', 'zone-a-rack'), { assignments });
  const progressOf = (plan: Plan): Promise<Either<Failure, PlanProgress>> =>
    harness.settle(reader.of(plan));
  const remaining = async (plan: Plan): Promise<unknown> => {
    const progress = await progressOf(plan);
    return isLeft(progress)
      ? progress.left.kind
      : [progress.right.remainingTaskCount, progress.right.isDone];
  };

  beforeEach(async () => {
    harness = new OperatorHarness(1);
    plans = harness.daemon();
    harness.instances = [worker('w1', 'zone-a'), worker('w2', 'zone-a'), worker('w3', 'zone-b')];
    const follower = new ConfigurationFollower(
      harness.table,
      harness.time,
      silentLog,
      silentMetrics,
    );
    const wallNowMs = () => Date.parse('2026-01-01T00:00:00Z') + harness.wallSkewMs;
    reader = new PlanProgressReader(harness.table, follower, harness, wallNowMs);
    await harness.planAndConfirm(plans, { intent: 'use-zone', zone: 'zone-a', region: 'r' });
    await harness.planAndConfirm(plans, { intent: 'use-zone', zone: 'zone-b', region: 'r' });
    await harness.planAndConfirm(plans, { intent: 'create-service', service: service('rounds') });
    setLedger([assignment('t1', 'w1'), assignment('t2', 'w2'), assignment('r', 'w2', 'rounds')]);
    await harness.settle(follower.refresh());
  });

  // An operator withdraws a zone for maintenance and must not power it off while tasks run there.
  // Watching the plan used to end when the plan was accepted, which is too early.
  it('is done for a withdrawn zone when no task is left in the zone', async () => {
    const plan = await harness.planAndConfirm(plans, { intent: 'withdraw-zone', zone: 'zone-a' });
    expect(await remaining(plan)).toEqual([3, false]);
    setLedger([assignment('t1', 'w1')]);
    expect(await remaining(plan)).toEqual([1, false]);
    setLedger([]);
    expect(await remaining(plan)).toEqual([0, true]);
  });

  it.each<readonly [string, Intent, number, number]>([
    ['a drained worker', { intent: 'drain-worker', workerId: 'w2' }, 2, 0],
    [
      'a service with fewer replicas',
      { intent: 'change-service', service: service('rounds', 'kitchen', 4) },
      3,
      4,
    ],
    ['a removed service', { intent: 'remove-service', name: 'rounds' }, 1, 0],
    ['a quota', { intent: 'set-quota', team: 'other', limit: SIZE }, 0, 0],
  ])(
    'counts the tasks that still have to start or end for %s',
    async (_name, intent, before, after) => {
      const plan = await harness.planAndConfirm(plans, intent);
      expect(await remaining(plan)).toEqual([before, before === 0]);
      setLedger([]);
      expect(await remaining(plan)).toEqual([after, after === 0]);
    },
  );

  it('is done for a cancellation when no task of the jobs is left', async () => {
    write(workKey('zone-a', 'kitchen.k~zone-a'), OPEN_SHARD);
    write('job/kitchen.k', {});
    const plan = await harness.planAndConfirm(plans, {
      intent: 'cancel-jobs',
      jobIds: ['kitchen.k'],
    });
    expect(await remaining(plan)).toEqual([2, false]);
    write(workKey('zone-a', 'kitchen.k~zone-a'), null);
    expect(await remaining(plan)).toEqual([0, true]);
  });

  // Nobody confirmed the plan in time. Without the failure, watching it would never end.
  it('fails for a plan that has expired', async () => {
    const plan = await harness.plan(plans, { intent: 'withdraw-zone', zone: 'zone-a' });
    expect(await remaining(plan)).toEqual([0, false]);
    harness.wallSkewMs = 120_000;
    expect(await remaining(plan)).toBe('plan-expired');
  });
});
