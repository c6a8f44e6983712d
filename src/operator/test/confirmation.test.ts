import { isLeft, right } from 'fp-ts/lib/Either.js';
import { fromEither } from 'fp-ts/lib/TaskEither.js';
import { describe, expect, it } from 'vitest';

import { TableStandIn } from '../../../standIns/platform/tableStandIn.js';
import { CHANGE_PREFIX } from '../../platform/configuration/common/documents.js';
import type { TableService } from '../../platform/table/common/table.js';
import type { Plan } from '../common/plan.js';
import { PlanService } from '../node/planService.js';

const PLAN_LIFETIME_MS = 60_000;

const serviceOver = (table: TableStandIn): TableService => ({
  read: (request) => fromEither(right(table.read(request))),
  transact: (transaction) => fromEither(right(table.transact(transaction))),
});

const planZone = async (plans: PlanService, zone: string): Promise<Plan> => {
  const plan = await plans.plan({ intent: 'use-zone', zone, region: 'r' }, 'ann');
  if (isLeft(plan)) throw new Error(plan.left.message);
  return plan.right;
};

const historyLength = (table: TableStandIn): number =>
  table.read({ keys: [], prefixes: [CHANGE_PREFIX] }).rows.length;

describe('confirming a plan', () => {
  it('changes nothing before, and changes once however often it is confirmed', async () => {
    const table = new TableStandIn();
    const plans = new PlanService(serviceOver(table), PLAN_LIFETIME_MS);
    const plan = await planZone(plans, 'zone-a');
    expect(historyLength(table)).toBe(0);
    const request = { planId: plan.planId, digest: plan.digest, author: 'ann' };
    const first = await plans.confirm(request);
    const second = await plans.confirm(request);
    expect(first).toEqual(second);
    expect(historyLength(table)).toBe(1);
  });

  // Two operators plan for the same zone from the same state. The first confirmation wins; the
  // second plan was made from rows that have changed since, so it is refused as stale.
  it('refuses the loser of a race on the same object and lets others through', async () => {
    const table = new TableStandIn();
    const plans = new PlanService(serviceOver(table), PLAN_LIFETIME_MS);
    const [winner, loser, other] = await Promise.all([
      planZone(plans, 'zone-a'),
      planZone(plans, 'zone-a'),
      planZone(plans, 'zone-b'),
    ]);
    const confirm = ({ planId, digest }: Plan) => plans.confirm({ planId, digest, author: 'ann' });
    expect((await confirm(winner))._tag).toBe('Right');
    const refused = await confirm(loser);
    expect(isLeft(refused) && refused.left.kind).toBe('plan-stale');
    expect((await confirm(other))._tag).toBe('Right');
    expect(historyLength(table)).toBe(2);
  });
});
