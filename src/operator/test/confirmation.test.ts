import { isLeft, left, right } from 'fp-ts/lib/Either.js';
import { describe, expect, it } from 'vitest';

import { ErrorKind, errorBody, failure } from '../../services/errors/common/errorKinds.js';
import type { TableService, Transaction } from '../../services/table/common/table.js';
import type { Intent } from '../common/intent.js';
import type { Plan } from '../common/plan.js';
import type { ConfirmationRefusal } from '../node/planService.js';
import { OperatorHarness, SIZE, worker } from './operatorHarness.js';

const useZone = (zone: string): Intent => ({ intent: 'use-zone', zone, region: 'r' });

const outcomeOf = (refusal: ConfirmationRefusal): string => errorBody(refusal).workOutcome;

describe('confirming a plan', () => {
  it('makes the change only then, and only once however often it is repeated', async () => {
    const harness = new OperatorHarness(1);
    const plans = harness.daemon();
    const plan = await harness.plan(plans, useZone('zone-a'));
    expect(harness.otherRows).toEqual([]);
    const first = await harness.confirm(plans, plan);
    const second = await harness.confirm(harness.daemon(), plan);
    expect(first).toEqual(second);
    expect(first._tag).toBe('Right');
    expect(harness.history).toHaveLength(1);
  });

  // Two operators plan for the same zone from the same state. The first confirmation wins. The
  // rows of the second plan have changed by then, so it is refused as stale. The refusal names the
  // change that won and contains a new plan made from the current state.
  it('refuses the loser of a race on the same object and accepts plans for others', async () => {
    const harness = new OperatorHarness(1);
    const [first, second] = [harness.daemon(), harness.daemon()];
    const winner = await harness.plan(first, useZone('zone-a'));
    const other = await harness.plan(first, useZone('zone-b'));
    const loser = await harness.plan(second, { ...useZone('zone-a'), region: 's' } as Intent);
    expect((await harness.confirm(first, winner, 'bob'))._tag).toBe('Right');
    const refused = await harness.confirm(second, loser);
    expect((await harness.confirm(first, other))._tag).toBe('Right');
    expect(harness.history).toHaveLength(2);
    if (!isLeft(refused)) throw new Error('the loser was accepted');
    expect(refused.left.kind).toBe('plan-stale');
    expect(refused.left.message).toContain('version 1 of bob: use availability zone zone-a');
    const newPlan = refused.left.newPlan as Plan;
    expect(newPlan.baseVersion).toBe(1);
    expect((await harness.confirm(second, newPlan))._tag).toBe('Right');
  });

  // A bug or a manual edit of the table has altered the plan's row after the plan was shown. The
  // operator has not seen the altered steps, so the confirmation is refused.
  it('refuses a plan whose row was altered after it was shown', async () => {
    const harness = new OperatorHarness(1);
    const plans = harness.daemon();
    const plan = await harness.plan(plans, useZone('zone-a'));
    const [step] = plan.steps as [Plan['steps'][number]];
    const altered = {
      ...plan,
      steps: [{ ...step, after: { ...(step.after as object), region: 'x' } }],
    };
    harness.table.truth.transact({
      operationId: 'alteration',
      conditions: [],
      writes: [{ key: `plan/${plan.planId}`, value: altered }],
    });
    const refused = await harness.confirm(plans, plan);
    expect(isLeft(refused) && refused.left.kind).toBe('internal');
    expect(harness.otherRows).toEqual([]);
    expect(harness.brokenInvariants).toEqual(['invariant_only_what_was_shown']);
  });

  it('refuses a plan that has expired', async () => {
    const harness = new OperatorHarness(1);
    const plans = harness.daemon();
    const plan = await harness.plan(plans, useZone('zone-a'));
    harness.wallSkewMs = 61_000;
    const refused = await harness.confirm(plans, plan);
    expect(isLeft(refused) && refused.left.kind).toBe('plan-expired');
    expect(harness.otherRows).toEqual([]);
  });

  // A job's tasks are distributed over two zones, and one is withdrawn before the confirmation. Its
  // shard would be written to a cell that starts nothing, and wait until the zone is used again.
  it('refuses a job that was planned for a zone that has been withdrawn since', async () => {
    const harness = new OperatorHarness(1);
    const plans = harness.daemon();
    await harness.planAndConfirm(plans, useZone('zone-a'));
    await harness.planAndConfirm(plans, useZone('zone-b'));
    const size = { processorMillis: 1, memoryBytes: 1, acceleratorCount: 0 };
    const job = { team: 't', submissionKey: 'k', taskCount: 4, size, workMs: 1 };
    const submission: Intent = { intent: 'submit-job', ...job, urgency: 'normal' };
    const plan = await harness.plan(plans, submission);
    await harness.planAndConfirm(plans, { intent: 'withdraw-zone', zone: 'zone-b' });
    const refused = await harness.confirm(plans, plan);
    expect(isLeft(refused) && refused.left.kind).toBe('plan-stale');
    const newPlan = (refused as { left: ConfirmationRefusal }).left.newPlan as Plan;
    expect(newPlan.notifiedCells).toEqual(['zone-a']);
    expect(harness.rows('job/')).toEqual([]);
  });
});

/** Wraps the harness's table. The test decides how each transaction is answered. */
const scriptedTable = (
  harness: OperatorHarness,
  transact: (transaction: Transaction, applied: () => void) => 'lost' | 'down' | 'pass',
): TableService => ({
  read: (request) => harness.table.read(request),
  transact: (transaction) => {
    const answer = transact(transaction, () => harness.table.truth.transact(transaction));
    if (answer === 'pass') return harness.table.transact(transaction);
    const kind = answer === 'lost' ? ErrorKind.StoreAnswerLost : ErrorKind.StoreUnavailable;
    return () => Promise.resolve(left(failure(kind, answer)));
  },
});

const isConfirmation = (transaction: Transaction): boolean =>
  transaction.writes.some(({ key }) => key.startsWith('configuration/'));

describe('a transaction whose answer is lost', () => {
  // The transaction takes effect, its answer is lost, and then the store becomes unavailable. If
  // the answer were "not run", the operator would start over and make the change twice.
  it('has an unknown outcome while the store is down and is found on a retry', async () => {
    const harness = new OperatorHarness(1);
    let isStoreDown = false;
    const table = scriptedTable(harness, (transaction, apply) => {
      if (isStoreDown) return 'down';
      if (!isConfirmation(transaction)) return 'pass';
      apply();
      isStoreDown = true;
      harness.table.behaviour.isDown = true;
      return 'lost';
    });
    const plans = harness.daemon(table);
    const plan = await harness.plan(plans, useZone('zone-a'));
    const first = await harness.confirm(plans, plan);
    expect(isLeft(first) && outcomeOf(first.left)).toBe('unknown');
    const second = await harness.confirm(plans, plan);
    expect(isLeft(second) && outcomeOf(second.left)).toBe('unknown');
    isStoreDown = false;
    harness.table.behaviour.isDown = false;
    expect((await harness.confirm(plans, plan))._tag).toBe('Right');
    expect(harness.history).toHaveLength(1);
  });

  // The transaction is delayed in the network. Meanwhile the plan expires and the operator is told
  // that it was not run. When the transaction arrives, it must not take effect.
  it('cannot take effect after a refusal that says not-run', async () => {
    const harness = new OperatorHarness(1);
    let applyLate = (): void => {};
    const table = scriptedTable(harness, (transaction, apply) => {
      if (!isConfirmation(transaction)) return 'pass';
      applyLate = apply;
      harness.wallSkewMs = 61_000;
      return 'lost';
    });
    const plans = harness.daemon(table);
    const plan = await harness.plan(plans, useZone('zone-a'));
    const refused = await harness.confirm(plans, plan);
    expect(isLeft(refused) && refused.left.kind).toBe('plan-expired');
    expect(isLeft(refused) && outcomeOf(refused.left)).toBe('not-run');
    applyLate();
    expect(harness.otherRows).toEqual([]);
  });

  // The plan was stored but the answer was lost. A second write under the same id finds the plan.
  it('is repeated if it stores a plan, and the plan is returned', async () => {
    const harness = new OperatorHarness(1);
    let lostCount = 0;
    const table = scriptedTable(harness, (transaction, apply) => {
      if (lostCount > 0 || !transaction.writes.some(({ key }) => key.startsWith('plan/'))) {
        return 'pass';
      }
      lostCount += 1;
      apply();
      return 'lost';
    });
    const plans = harness.daemon(table);
    const plan = await harness.plan(plans, useZone('zone-a'));
    expect(lostCount).toBe(1);
    expect(await harness.settle(plans.find(plan.planId))).toEqual(right(plan));
  });
});

describe('confirming a large job', () => {
  const GOLDEN_DIGEST = '4f8ba3e2c06101d4b9721f707c661d245154f537fda3fb1de4dcf6e9ff327353';
  const ZONES = ['zone-a', 'zone-b', 'zone-c'];
  const JOB: Intent = {
    ...{ intent: 'submit-job', team: 'kitchen', submissionKey: 'k', taskCount: 5_000, size: SIZE },
    ...{ urgency: 'normal', workMs: 1 },
  };

  const setUpPlan = async () => {
    const harness = new OperatorHarness(1);
    const plans = harness.daemon();
    harness.instances = ZONES.map((zone, index) => worker(`w${index}`, zone));
    for (let index = 0; index < ZONES.length; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- versions follow one another
      await harness.planAndConfirm(plans, useZone(ZONES[index] as string));
    }
    return { harness, plan: await harness.plan(plans, JOB) };
  };

  const rewritePlan = (harness: OperatorHarness, plan: object, key: string): void => {
    const write = { key, value: plan as never };
    harness.table.truth.transact({ operationId: 'rewrite', conditions: [], writes: [write] });
  };

  // An operator submits a job of thousands of tasks and confirms it through another daemon. When
  // the plan's row held every task, its readers parsed a megabyte while requests waited. The
  // compact form must mean the same: the digest covers the full tasks, and the written rows are
  // those that were shown. Rows that were stored with the full tasks must still work.
  it.each([false, true])(
    'writes the steps that were shown (full tasks stored: %s)',
    async (isStoredInFull) => {
      const { harness, plan } = await setUpPlan();
      const key = `plan/${plan.planId}`;
      expect(plan.digest).toBe(GOLDEN_DIGEST);
      expect(JSON.stringify(harness.rows(key)).length).toBeLessThan(5_000);
      if (isStoredInFull) rewritePlan(harness, plan, key);
      expect(await harness.settle(harness.daemon().find(plan.planId))).toEqual(right(plan));
      const confirmed = await harness.confirm(harness.daemon(), plan);
      expect(confirmed).toMatchObject(right({ steps: plan.steps, state: 'confirmed' }));
      const shown = plan.steps.map(({ key: stepKey, after }) => ({ key: stepKey, value: after }));
      const written = harness.otherRows.map(({ key: rowKey, value }) => ({ key: rowKey, value }));
      expect(written).toEqual(expect.arrayContaining(shown));
      expect(harness.brokenInvariants).toEqual([]);
    },
  );

  // The stored tasks differ from those that the operator saw, so the confirmation is refused.
  it('refuses a plan whose compact tasks were altered in its row', async () => {
    const { harness, plan } = await setUpPlan();
    const key = `plan/${plan.planId}`;
    const text = JSON.stringify(harness.rows(key)[0]?.value);
    rewritePlan(harness, JSON.parse(text.replace('"firstIndex":0', '"firstIndex":1')), key);
    const refused = await harness.confirm(harness.daemon(), plan);
    expect(refused).toMatchObject(left({ kind: 'internal', workOutcome: 'not-run' }));
    expect(harness.rows('work/')).toEqual([]);
  });
});
