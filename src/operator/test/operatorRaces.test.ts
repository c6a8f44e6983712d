import { isLeft } from 'fp-ts/lib/Either.js';
import { describe, expect, it } from 'vitest';

import { errorBody } from '../../services/errors/common/errorKinds.js';
import type { Intent } from '../common/intent.js';
import { type Plan, planKey, storedPlanSchema, PlanState } from '../common/plan.js';
import type { PlanService } from '../node/planService.js';
import { OperatorHarness, service, SIZE } from './operatorHarness.js';

const OPERATOR_COUNT = 20;
const ROUND_COUNT = 4;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8, 9, 10];
/** Longer than any transaction can be delayed in the network. */
const SETTLING_MS = 60_000;

/** The outcome of one call of `confirm` as reported to its operator. */
interface ReportedOutcome {
  readonly planId: string;
  readonly outcome: 'accepted' | 'not-run' | 'unknown';
  readonly acceptedVersion: number;
}

/** Picks from few objects, so that many intents conflict with each other and some do not. */
const randomIntent = (harness: OperatorHarness, operator: number): Intent => {
  const kindIndex = harness.random.nextIndex(6);
  const name = `s${harness.random.nextIndex(3)}`;
  const replicaCount = 1 + harness.random.nextIndex(9);
  const team = `t${harness.random.nextIndex(2)}`;
  switch (kindIndex) {
    case 0:
      return { intent: 'change-service', service: service(name, 'kitchen', replicaCount) };
    case 1:
      return { intent: 'withdraw-zone', zone: `zone-${harness.random.nextIndex(3)}` };
    case 2:
      return { intent: 'use-zone', zone: `zone-${harness.random.nextIndex(3)}`, region: 'r' };
    case 3: {
      const limit = { ...SIZE, memoryBytes: harness.random.nextIndex(5) };
      return { intent: 'set-quota', team, limit };
    }
    case 4: {
      const job = { team, submissionKey: `k${operator}`, taskCount: 3, size: SIZE, workMs: 1 };
      return { intent: 'submit-job', ...job, urgency: 'normal' };
    }
    default:
      return { intent: 'set-policy', policy: { maximumReplicaCount: 10 + replicaCount } };
  }
};

const runOperator = async (
  harness: OperatorHarness,
  plans: PlanService,
  operator: number,
): Promise<readonly ReportedOutcome[]> => {
  const reported: ReportedOutcome[] = [];
  const author = `operator-${operator}`;
  const confirm = async (plan: Plan): Promise<void> => {
    const { planId, digest } = plan;
    const result = await plans.confirm({ planId, digest, author });
    if (!isLeft(result)) {
      reported.push({ planId, outcome: 'accepted', acceptedVersion: result.right.acceptedVersion });
      return;
    }
    const outcome = errorBody(result.left).workOutcome;
    if (outcome === 'ran') throw new Error('a refusal cannot have run');
    reported.push({ planId, outcome, acceptedVersion: 0 });
  };
  for (let round = 0; round < ROUND_COUNT; round += 1) {
    // An operator makes and confirms one plan at a time.
    // eslint-disable-next-line no-await-in-loop
    await harness.time.delay(harness.random.nextFraction() * 50);
    // eslint-disable-next-line no-await-in-loop
    const plan = await plans.plan(randomIntent(harness, operator), author);
    // Some operators confirm the same plan twice at the same time.
    const isTwice = harness.random.nextFraction() < 0.3;
    if (!isLeft(plan) && plan.right.steps.length > 0) {
      // eslint-disable-next-line no-await-in-loop
      await Promise.all([confirm(plan.right), ...(isTwice ? [confirm(plan.right)] : [])]);
    }
  }
  return reported;
};

const run = async (seed: number): Promise<[OperatorHarness, readonly ReportedOutcome[]]> => {
  const harness = new OperatorHarness(seed);
  const daemons = Array.from({ length: 7 }, () => harness.daemon());
  const first = daemons[0] as PlanService;
  const setUp: readonly Intent[] = [0, 1, 2].flatMap((index): Intent[] => [
    { intent: 'use-zone', zone: `zone-${index}`, region: 'r' },
    { intent: 'create-service', service: service(`s${index}`) },
  ]);
  await setUp.reduce(async (before, intent) => {
    await before;
    await harness.planAndConfirm(first, intent);
  }, Promise.resolve());
  Object.assign(harness.table.behaviour, {
    maximumDelayMs: 40,
    lostAnswerRatio: 0.15,
    lateEffectRatio: 0.1,
  });
  const operators = Array.from({ length: OPERATOR_COUNT }, (_, operator) =>
    runOperator(harness, daemons[operator % daemons.length] as PlanService, operator),
  );
  const reported = (await harness.settle(Promise.all(operators))).flat();
  await harness.time.runUntil(harness.time.nowMs() + SETTLING_MS);
  return [harness, reported];
};

describe('concurrent operators', () => {
  // Twenty operators of seven daemons plan and confirm random intents on the same few objects, some
  // of them twice at the same time. A quarter of the table's answers are lost: before the write,
  // after it, or with the write taking effect seconds later. The test compares history with the
  // outcomes that the operators were told. It finds changes that are made twice, missing from
  // history, or made although the operator was told that they were not run.
  it.each(SEEDS)(
    'create one linear history that agrees with their outcomes (seed %i)',
    async (seed) => {
      const [harness, reported] = await run(seed);
      const { history } = harness;
      expect(history.map(({ version }) => version)).toEqual(history.map((_, index) => index + 1));
      const versionOf = new Map(history.map(({ planId, version }) => [planId, version]));
      expect(versionOf.size).toBe(history.length);
      const accepted = reported.filter(({ outcome }) => outcome === 'accepted');
      expect(
        accepted.filter(({ planId, acceptedVersion }) => versionOf.get(planId) !== acceptedVersion),
      ).toEqual([]);
      const notRun = reported.filter(({ outcome }) => outcome === 'not-run');
      const acceptedIds = new Set(accepted.map(({ planId }) => planId));
      expect(
        notRun.filter(({ planId }) => versionOf.has(planId) && !acceptedIds.has(planId)),
      ).toEqual([]);
      const confirmed = harness
        .rows(planKey(''))
        .map(({ value }) => storedPlanSchema.parse(value))
        .filter(({ state }) => state === PlanState.Confirmed);
      expect(confirmed.map(({ planId }) => planId).sort()).toEqual([...versionOf.keys()].sort());
      expect(harness.brokenInvariants).toEqual([]);
      // The run proves something only if some plans were accepted and some were refused.
      expect(accepted.length).toBeGreaterThan(10);
      expect(notRun.length).toBeGreaterThan(2);
    },
  );

  // Twenty operators set the quotas of different teams while each confirmation is slow. None of
  // them is refused because of another one's change.
  it.each(SEEDS)('do not conflict when they change different objects (seed %i)', async (seed) => {
    const harness = new OperatorHarness(seed, { maximumDelayMs: 40 });
    const daemons = Array.from({ length: 7 }, () => harness.daemon());
    const work = Array.from({ length: OPERATOR_COUNT }, async (_, operator) => {
      const plans = daemons[operator % daemons.length] as PlanService;
      const limit = { ...SIZE, memoryBytes: operator };
      const plan = await plans.plan({ intent: 'set-quota', team: `t${operator}`, limit }, 'ann');
      if (isLeft(plan)) return plan.left.message;
      const { planId, digest } = plan.right;
      const result = await plans.confirm({ planId, digest, author: 'ann' });
      return isLeft(result) ? result.left.message : 'accepted';
    });
    const results = await harness.settle(Promise.all(work));
    expect(results).toEqual(results.map(() => 'accepted'));
  });

  // Two services of one team each fit into its quota, but not together. Both plans are made before
  // either is confirmed. If both were accepted, the team would exceed its quota.
  it('cannot exceed a quota with two plans that each keep it', async () => {
    const harness = new OperatorHarness(1);
    const plans = harness.daemon();
    await harness.planAndConfirm(plans, { intent: 'use-zone', zone: 'zone-a', region: 'r' });
    const limit = { processorMillis: 16_000, memoryBytes: 2 ** 40, acceleratorCount: 0 };
    await harness.planAndConfirm(plans, { intent: 'set-quota', team: 'kitchen', limit });
    const [one, other] = [
      await harness.plan(plans, { intent: 'create-service', service: service('one') }),
      await harness.plan(plans, { intent: 'create-service', service: service('other') }),
    ];
    expect((await harness.confirm(plans, one))._tag).toBe('Right');
    const refused = await harness.confirm(plans, other);
    expect(isLeft(refused) && refused.left.kind).toBe('plan-stale');
    expect(isLeft(refused) && refused.left.message).toContain('the quota is');
  });

  // Two operators each withdraw one of the last two zones. Neither plan contains the warning about
  // the last zone, so the second one must be refused and planned again.
  it('cannot withdraw the last two zones without a warning', async () => {
    const harness = new OperatorHarness(1);
    const plans = harness.daemon();
    await harness.planAndConfirm(plans, { intent: 'use-zone', zone: 'zone-a', region: 'r' });
    await harness.planAndConfirm(plans, { intent: 'use-zone', zone: 'zone-b', region: 'r' });
    const one = await harness.plan(plans, { intent: 'withdraw-zone', zone: 'zone-a' });
    const other = await harness.plan(plans, { intent: 'withdraw-zone', zone: 'zone-b' });
    expect((await harness.confirm(plans, one))._tag).toBe('Right');
    const refused = await harness.confirm(plans, other);
    if (!isLeft(refused)) throw new Error('both were accepted');
    expect(refused.left.newPlan?.warnings.join()).toContain('last availability zone');
  });
});
