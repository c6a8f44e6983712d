import { isLeft } from 'fp-ts/lib/Either.js';
import { beforeEach, describe, expect, it } from 'vitest';

import { silentMetrics } from '../../services/metrics/common/metrics.js';
import { ledgerKey } from '../../services/workload/common/workRows.js';
import type { Plan } from '../common/plan.js';
import type { PlanService } from '../node/planService.js';
import { PlanSweep } from '../node/planSweeper.js';
import { OperatorHarness, service, SIZE, worker } from './operatorHarness.js';

const ZONES = ['zone-a', 'zone-b'] as const;
const DAY_MS = 86_400_000;
const WALL_START_MS = Date.parse('2026-01-01T00:00:00Z');

const batchAssignment = (workerId: string, index: number) => ({
  ...{ taskId: `kitchen.k/${index}`, attempt: 1, workerId, incarnation: 'i', taskClass: 'batch' },
  ...{ serviceName: '', shardId: 'kitchen.k~zone-a', taskIndex: index, size: SIZE, workMs: 1 },
  checkpoint: null,
});

describe('a plan', () => {
  let harness: OperatorHarness;
  let plans: PlanService;
  beforeEach(async () => {
    harness = new OperatorHarness(1);
    plans = harness.daemon();
    harness.instances = ZONES.flatMap((zone) => [
      worker(`${zone}-1`, zone),
      worker(`${zone}-2`, zone),
    ]);
    await harness.planAndConfirm(plans, { intent: 'use-zone', zone: 'zone-a', region: 'r' });
    await harness.planAndConfirm(plans, { intent: 'use-zone', zone: 'zone-b', region: 'r' });
    await harness.planAndConfirm(plans, { intent: 'create-service', service: service('rounds') });
    harness.table.truth.transact({
      operationId: 'ledger',
      conditions: [],
      writes: [
        {
          key: ledgerKey('zone-a', 'zone-a-rack'),
          value: { assignments: [batchAssignment('zone-a-1', 0), batchAssignment('zone-a-2', 1)] },
        },
      ],
    });
  });

  it('to withdraw a zone lists moved replicas, evicted tasks and missing capacity', async () => {
    const { effects } = await harness.plan(plans, { intent: 'withdraw-zone', zone: 'zone-a' });
    expect(effects.moving.count).toBe(3);
    expect(effects.evicted).toEqual({
      count: 2,
      largest: [
        { taskId: 'kitchen.k/0', size: SIZE },
        { taskId: 'kitchen.k/1', size: SIZE },
      ],
    });
    expect(
      effects.capacity.map(({ zone, totalAfter }) => [zone, totalAfter.processorMillis]),
    ).toEqual([
      ['zone-a', 0],
      ['zone-b', 16_000],
    ]);
    const grown = { ...service('rounds'), replicaCount: 12 };
    await harness.planAndConfirm(plans, { intent: 'change-service', service: grown });
    const again = await harness.plan(plans, { intent: 'withdraw-zone', zone: 'zone-a' });
    expect(again.effects.notDone.join()).toContain('zone-b lacks capacity for at least 4 tasks');
  });

  it('to drain a worker lists only the tasks of that worker', async () => {
    const plan = await harness.plan(plans, { intent: 'drain-worker', workerId: 'zone-a-1' });
    expect(plan.effects.evicted.count).toBe(1);
    expect(plan.effects.capacity.map(({ totalAfter }) => totalAfter.processorMillis)).toEqual([
      8_000,
    ]);
  });

  // A zone has been withdrawn and its tasks are about to leave, and then a worker in it is drained
  // as well. The plan once listed the same tasks again, as if the drain evicted them.
  it('does not list tasks that are leaving for another reason', async () => {
    await harness.planAndConfirm(plans, { intent: 'withdraw-zone', zone: 'zone-a' });
    const plan = await harness.plan(plans, { intent: 'drain-worker', workerId: 'zone-a-1' });
    expect(plan.effects.evicted.count).toBe(0);
  });

  it('to reduce a service lists the tasks that end and the quota use afterwards', async () => {
    const limit = { processorMillis: 12_000, memoryBytes: 2 ** 40, acceleratorCount: 0 };
    await harness.planAndConfirm(plans, {
      intent: 'set-quota',
      team: 'kitchen',
      limit: { ...limit, processorMillis: 16_000 },
    });
    const smaller = { ...service('rounds'), replicaCount: 2 };
    const plan = await harness.plan(plans, { intent: 'change-service', service: smaller });
    expect(plan.effects.ending.count).toBe(4);
    expect(plan.effects.quotas.map(({ after }) => after.processorMillis)).toEqual([4_000]);
    const larger = { ...service('rounds'), replicaCount: 9 };
    const refused = await harness.refusal(plans, { intent: 'change-service', service: larger });
    expect(refused?.message).toContain('the quota is 16 processors');
  });

  it('to submit a job lists its tasks, and is empty if the job was submitted before', async () => {
    const job = { team: 'kitchen', submissionKey: 'k2', taskCount: 5, size: SIZE, workMs: 1 };
    const submission = { intent: 'submit-job', ...job, urgency: 'normal' } as const;
    const plan = await harness.planAndConfirm(plans, submission);
    expect(plan.effects.starting.count).toBe(5);
    expect((await harness.plan(plans, submission)).steps).toEqual([]);
    const cancellation = { intent: 'cancel-jobs' as const, jobIds: ['kitchen.k2'] };
    expect((await harness.plan(plans, cancellation)).effects.ending.count).toBe(5);
  });

  // Jobs of one task each once all went to the first zone in use, whose cell filled up while the
  // others were idle. They have to go to all zones in proportion to the capacity.
  it('distributes one-task jobs over all zones by capacity', async () => {
    harness.instances = [
      ...harness.instances,
      worker('zone-b-3', 'zone-b'),
      worker('zone-b-4', 'zone-b'),
    ];
    const counts = new Map<string, number>();
    for (let index = 0; index < 300; index += 1) {
      const job = { team: 'kitchen', submissionKey: `s${index}`, taskCount: 1, size: SIZE };
      const submission = { intent: 'submit-job', ...job, workMs: 1, urgency: 'normal' } as const;
      // The plans are made one after another through one daemon.
      // eslint-disable-next-line no-await-in-loop
      const { steps } = await harness.plan(plans, submission);
      const zone = steps.map(({ key }) => key.split('/')).find(([kind]) => kind === 'work')?.[1];
      counts.set(zone ?? '', (counts.get(zone ?? '') ?? 0) + 1);
    }
    expect(counts.get('zone-a')).toBeGreaterThan(75);
    expect(counts.get('zone-b')).toBeGreaterThan(150);
  });

  // Only one zone has a worker that is large enough. Shards in other zones would wait for a minute
  // in each zone before they are handed over.
  it('sends large tasks only to zones with a worker that is large enough', async () => {
    const large = worker('zone-b-3', 'zone-b');
    const capacity = { ...large.capacity, acceleratorCount: 8 };
    harness.instances = [...harness.instances, { ...large, capacity }];
    const size = { ...SIZE, acceleratorCount: 1 };
    const job = { team: 'kitchen', submissionKey: 'large', taskCount: 9, size, workMs: 1 };
    const plan = await harness.plan(plans, { intent: 'submit-job', ...job, urgency: 'normal' });
    const shards = plan.steps.filter(({ key }) => key.startsWith('work/'));
    expect(shards.map(({ key }) => key)).toEqual(['work/zone-b/kitchen.large~zone-b']);
  });

  // Each zone has two workers with room for four tasks each. Three tasks of the service run there,
  // so there is room for five more.
  it('to submit a job lists the quota use and the tasks that have to wait for room', async () => {
    const limit = { processorMillis: 80_000, memoryBytes: 2 ** 40, acceleratorCount: 0 };
    await harness.planAndConfirm(plans, { intent: 'set-quota', team: 'kitchen', limit });
    const job = { team: 'kitchen', submissionKey: 'k2', taskCount: 14, size: SIZE, workMs: 1 };
    const submission = { intent: 'submit-job', ...job, urgency: 'normal' } as const;
    const { effects } = await harness.planAndConfirm(plans, submission);
    const quotas = effects.quotas.map(({ team, before, after }) => [
      ...[team, before.processorMillis, after.processorMillis],
    ]);
    expect(quotas).toEqual([['kitchen', 12_000, 40_000]]);
    expect(effects.notDone).toEqual([
      'zone-a has room for 5 of the 7 tasks of kitchen.k2 at a time',
      'zone-b has room for 5 of the 7 tasks of kitchen.k2 at a time',
    ]);
    const cancellation = { intent: 'cancel-jobs' as const, jobIds: ['kitchen.k2'] };
    const cancelled = await harness.plan(plans, cancellation);
    expect(cancelled.effects.quotas.map(({ after }) => after.processorMillis)).toEqual([12_000]);
  });

  // If one of many jobs were refused and the others accepted, the operator would have to find out
  // which one is missing, and its work could be skipped unnoticed.
  it('to submit several jobs submits all of them or none', async () => {
    const terms = { team: 'kitchen', taskCount: 3, size: SIZE, workMs: 1, urgency: 'low' as const };
    const jobs = ['a', 'b'].map((submissionKey) => ({ ...terms, submissionKey }));
    const plan = await harness.planAndConfirm(plans, { intent: 'submit-jobs', jobs });
    expect(plan.effects.starting.count).toBe(6);
    expect(harness.rows('job/').map(({ key }) => key)).toEqual(['job/kitchen.a', 'job/kitchen.b']);
    expect((await harness.plan(plans, { intent: 'submit-jobs', jobs })).steps).toEqual([]);
    const other = { ...terms, submissionKey: 'c' };
    const altered = { ...terms, submissionKey: 'b', taskCount: 4 };
    const refused = await harness.refusal(plans, { intent: 'submit-jobs', jobs: [other, altered] });
    expect(refused?.message).toBe('kitchen.b: job kitchen.b was submitted with other contents');
    expect(harness.rows('job/')).toHaveLength(2);
  });

  it('has no steps if the intent is already fulfilled', async () => {
    const plan = await harness.plan(plans, { intent: 'use-zone', zone: 'zone-a', region: 'r' });
    expect(plan.steps).toEqual([]);
  });

  it('is refused if it violates the policy', async () => {
    const policy = { isSubmissionOpen: false, maximumReplicaCount: 6 };
    await harness.planAndConfirm(plans, { intent: 'set-policy', policy });
    const job = { team: 'kitchen', submissionKey: 'k2', taskCount: 5, size: SIZE, workMs: 1 };
    const closed = await harness.refusal(plans, { intent: 'submit-job', ...job, urgency: 'low' });
    expect(closed?.message).toContain('no new jobs');
    const larger = { ...service('rounds'), replicaCount: 7 };
    const many = await harness.refusal(plans, { intent: 'change-service', service: larger });
    expect(many?.message).toContain('the policy allows a service 6 replicas');
  });
});

describe('undoing a version', () => {
  it('creates a new version, and is refused if the object has been changed again', async () => {
    const harness = new OperatorHarness(1);
    const plans = harness.daemon();
    await harness.planAndConfirm(plans, { intent: 'use-zone', zone: 'zone-a', region: 'r' });
    const withdrawn = await harness.planAndConfirm(plans, {
      intent: 'withdraw-zone',
      zone: 'zone-a',
    });
    const undone = await harness.planAndConfirm(plans, {
      intent: 'revert',
      version: withdrawn.acceptedVersion,
    });
    expect(undone.acceptedVersion).toBe(3);
    expect(harness.documents[0]?.value).toMatchObject({ state: 'in-use' });
    const refused = await harness.refusal(plans, { intent: 'revert', version: 2 });
    expect(refused?.message).toContain('zone/zone-a has been changed again since version 2');
  });
});

describe('a sweep of old plans', () => {
  // Plans are kept for a day, so that repeating a confirmation returns the first outcome. A plan of
  // today must not be removed, or its confirmation would be refused.
  it('removes the plans past their retention and no other row', async () => {
    const harness = new OperatorHarness(1);
    const plans = harness.daemon();
    await harness.planAndConfirm(plans, { intent: 'use-zone', zone: 'zone-a', region: 'r' });
    harness.wallSkewMs = DAY_MS;
    const today: Plan = await harness.plan(plans, {
      intent: 'use-zone',
      zone: 'zone-b',
      region: 'r',
    });
    const others = harness.otherRows;
    const sweep = new PlanSweep(harness.table, silentMetrics, DAY_MS);
    await harness.settle(sweep.run(WALL_START_MS + DAY_MS + 3_600_000));
    expect(harness.rows('plan/').map(({ key }) => key)).toEqual([`plan/${today.planId}`]);
    expect(harness.otherRows).toEqual(others);
    expect(isLeft(await harness.confirm(plans, today))).toBe(false);
  });
});
