import { beforeEach, describe, expect, it } from 'vitest';

import { EMPTY_CONFIGURATION } from '../../services/configuration/common/configurationView.js';
import {
  type BatchTask,
  BatchTaskState,
  ledgerKey,
  workKey,
} from '../../services/workload/common/workRows.js';
import type { PlanService } from '../node/planService.js';
import { parseOpenShards } from '../node/shardParsing.js';
import { ServiceTotals } from '../common/serviceTotals.js';
import { OperatorHarness, service, SIZE, worker } from './operatorHarness.js';

const RACK_COUNT = 40;
const LIMIT = { processorMillis: 100_000, memoryBytes: 2 ** 50, acceleratorCount: 0 };

const task = (index: number, state: BatchTaskState): BatchTask => ({
  ...{ index, state, attempt: 1, checkpoint: null, evictionCount: 0, failureWeight: 0 },
});

const shard = (team: string, states: readonly BatchTaskState[]) => ({
  ...{ shardId: `${team}.k~zone-a`, jobId: `${team}.k`, team, size: SIZE, urgency: 'normal' },
  workMs: 1,
  tasks: states.map((state, index) => task(index, state)),
});

const assignment = (workerId: string, team: string, index: number) => ({
  ...{ taskId: `${team}.k/${index}`, attempt: 1, workerId, incarnation: 'i', taskClass: 'batch' },
  ...{ serviceName: '', shardId: `${team}.k~zone-a`, taskIndex: index, size: SIZE, workMs: 1 },
  checkpoint: null,
});

describe('planning on a large fleet', () => {
  let harness: OperatorHarness;
  let plans: PlanService;
  beforeEach(async () => {
    harness = new OperatorHarness(1);
    plans = harness.daemon();
    harness.instances = Array.from({ length: RACK_COUNT }, (_, index) => ({
      ...worker(`w${index}`, 'zone-a'),
      rack: `rack-${index}`,
    }));
    await harness.planAndConfirm(plans, { intent: 'use-zone', zone: 'zone-a', region: 'r' });
    await harness.planAndConfirm(plans, { intent: 'create-service', service: service('rounds') });
    const { Assigned, Done, Queued } = BatchTaskState;
    harness.table.truth.transact({
      operationId: 'work',
      conditions: [],
      writes: [
        { key: workKey('zone-a', 'kitchen.k~zone-a'), value: shard('kitchen', [Assigned, Done]) },
        { key: workKey('zone-a', 'bakers.k~zone-a'), value: shard('bakers', [Assigned, Queued]) },
        ...Array.from({ length: RACK_COUNT }, (_, index) => ({
          key: ledgerKey('zone-a', `rack-${index}`),
          value: { assignments: [assignment(`w${index}`, index === 0 ? 'kitchen' : 'other', 0)] },
        })),
      ],
    });
  });

  // An operator sets the quota of one team. The plan once searched every rack's row for the team's
  // tasks: the daemon parsed megabytes and blocked the requests of its callers.
  it('reads the running tasks of one team without reading the whole ledger', async () => {
    const before = harness.table.truth.counts.readRowCount;
    const plan = await harness.plan(plans, { intent: 'set-quota', team: 'bakers', limit: LIMIT });
    expect(harness.table.truth.counts.readRowCount - before).toBeLessThan(10);
    expect(plan.steps).toHaveLength(1);
  });

  // Tasks that have ended or are queued use no resources, and tasks of other teams do not count.
  it('counts only the running tasks of the team', async () => {
    const tooLow = { ...LIMIT, processorMillis: 1_999 };
    const refused = await harness.refusal(plans, {
      intent: 'set-quota',
      team: 'bakers',
      limit: tooLow,
    });
    expect(refused?.message).toContain('bakers uses 2 processors');
    const enough = { ...LIMIT, processorMillis: 2_000 };
    const plan = await harness.plan(plans, { intent: 'set-quota', team: 'bakers', limit: enough });
    expect(plan.steps).toHaveLength(1);
    const kitchen = await harness.refusal(plans, {
      intent: 'set-quota',
      team: 'kitchen',
      limit: { ...LIMIT, processorMillis: 13_999 },
    });
    expect(kitchen?.message).toContain('kitchen uses 14 processors');
  });

  // An operator cancels or watches large jobs. When all their shards were parsed in one go, callers
  // of the same daemon waited for tens of milliseconds.
  it('yields to the event loop before each shard', async () => {
    const rows = Array.from({ length: 5 }, (_, index) => ({
      ...{ key: `work/zone-a/${index}`, version: 1, operationId: 'o', value: shard('kitchen', []) },
    }));
    let isDone = false;
    let turnCount = 0;
    const count = (): void => {
      turnCount += 1;
      if (!isDone) setImmediate(count);
    };
    setImmediate(count);
    expect(await parseOpenShards(rows)).toHaveLength(rows.length);
    isDone = true;
    expect(turnCount).toBeGreaterThanOrEqual(rows.length);
  });

  // All plans of one version need the same sums over all services.
  it('computes the sums over services once per version', () => {
    const view = { ...EMPTY_CONFIGURATION, version: 1 };
    expect(ServiceTotals.of(view)).toBe(ServiceTotals.of(view));
    expect(ServiceTotals.of({ ...view, version: 2 })).not.toBe(ServiceTotals.of(view));
  });
});
