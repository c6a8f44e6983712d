import { isLeft, left } from 'fp-ts/lib/Either.js';
import { describe, expect, it } from 'vitest';

import { canonicalJson } from '../../base/common/json.js';
import { ErrorKind, failure } from '../../services/errors/common/errorKinds.js';
import type { TableService } from '../../services/table/common/table.js';
import type { Intent } from '../common/intent.js';
import type { Plan } from '../common/plan.js';
import { OperatorHarness, service, SIZE } from './operatorHarness.js';

/** More table calls than planning or confirming any of these intents makes. */
const MAXIMUM_CALLS = 12;
const STEPS = Array.from({ length: MAXIMUM_CALLS }, (_, index) => index + 1);

/** Whether the daemon is killed before or after its last call takes effect in the table. */
const Death = { BeforeEffect: 'before', AfterEffect: 'after' } as const;
type Death = (typeof Death)[keyof typeof Death];

const INTENTS: readonly Intent[] = [
  { intent: 'withdraw-zone', zone: 'zone-a' },
  { intent: 'change-service', service: service('rounds', 'kitchen', 4) },
  {
    intent: 'submit-job',
    ...{ team: 'kitchen', submissionKey: 'k', taskCount: 3, size: SIZE, urgency: 'normal' },
    workMs: 1,
  },
];

const WALK = INTENTS.flatMap((intent) =>
  Object.values(Death).map((death): readonly [string, Death, Intent] => [
    intent.intent,
    death,
    intent,
  ]),
);

/** A table for a daemon that is killed during call `lastCall`: no answer arrives from then on. */
const mortal = (harness: OperatorHarness, lastCall: number, death: Death) => {
  let callCount = 0;
  const call = <T>(run: () => Promise<T>): Promise<T> => {
    callCount += 1;
    if (callCount < lastCall) return run();
    if (callCount === lastCall && death === Death.AfterEffect) void run();
    return new Promise(() => {});
  };
  const table: TableService = {
    read: (request) => () => call(harness.table.read(request)),
    transact: (transaction) => () => call(harness.table.transact(transaction)),
  };
  return { table, isDead: () => callCount >= lastCall };
};

const setUp = async (): Promise<OperatorHarness> => {
  const harness = new OperatorHarness(1);
  const plans = harness.daemon();
  await harness.carryOut(plans, { intent: 'use-zone', zone: 'zone-a', region: 'r' });
  await harness.carryOut(plans, { intent: 'use-zone', zone: 'zone-b', region: 'r' });
  await harness.carryOut(plans, { intent: 'create-service', service: service('rounds') });
  return harness;
};

/** Runs until the daemon has answered or 20 s have passed, and then for 20 s to let calls end. */
const runUntilStill = async (harness: OperatorHarness, work: Promise<unknown>): Promise<void> => {
  await harness.time.runUntil(harness.time.nowMs() + 20_000, work);
  await harness.time.runUntil(harness.time.nowMs() + 20_000);
};

describe('a daemon that is killed', () => {
  // The operator's call breaks off, and the operator does not know how far the daemon got. At
  // whatever call the daemon is killed, only rows of plans may have changed.
  it.each(WALK)('while planning %s changes nothing (%s the effect)', async (_n, death, intent) => {
    const deaths = await Promise.all(
      STEPS.map(async (lastCall) => {
        const harness = await setUp();
        const before = canonicalJson(harness.otherRows);
        const { table, isDead } = mortal(harness, lastCall, death);
        await runUntilStill(harness, harness.daemon(table).plan(intent, 'ann'));
        expect(canonicalJson(harness.otherRows)).toBe(before);
        return isDead();
      }),
    );
    // The test covers every call only if the daemon with the highest number was never killed.
    expect(deaths[0]).toBe(true);
    expect(deaths.at(-1)).toBe(false);
  });

  // The daemon is killed at any single table call of a confirmation. The change is then made
  // completely or not at all. After the operator has confirmed the same plan through another
  // daemon, the change is made once and history has one entry for it.
  it.each(WALK)('while confirming %s changes all or nothing (%s the effect)', async (...row) => {
    const [, death, intent] = row;
    const outcomes = await Promise.all(
      STEPS.map(async (lastCall) => {
        const harness = await setUp();
        const plan: Plan = await harness.plan(harness.daemon(), intent);
        const before = canonicalJson(harness.otherRows);
        const { table, isDead } = mortal(harness, lastCall, death);
        const { planId, digest } = plan;
        const confirmation = harness.daemon(table).confirm({ planId, digest, author: 'ann' });
        await runUntilStill(harness, confirmation);
        const isUnchanged = canonicalJson(harness.otherRows) === before;
        const after = new Map(harness.rows('').map(({ key, value }) => [key, value]));
        const isWhole = plan.steps.every(
          (step) => canonicalJson(after.get(step.key) ?? null) === canonicalJson(step.after),
        );
        expect(isUnchanged || (isWhole && harness.history.length === 4)).toBe(true);
        const again = await harness.confirm(harness.daemon(), plan);
        expect(isLeft(again) ? again.left.message : again.right.acceptedVersion).toBe(4);
        expect(harness.history.filter((change) => change.planId === planId)).toHaveLength(1);
        expect(harness.brokenInvariants).toEqual([]);
        return { isDead: isDead(), isUnchanged };
      }),
    );
    expect(outcomes[0]).toEqual({ isDead: true, isUnchanged: true });
    expect(outcomes.at(-1)).toEqual({ isDead: false, isUnchanged: false });
  });

  // The daemon survives, but the store refuses any single one of its calls. The outcome that the
  // operator is told must agree with the table.
  it.each(INTENTS)(
    'or refused by the store at any one call reports a true outcome ($intent)',
    async (intent) => {
      await Promise.all(
        STEPS.map(async (failingCall) => {
          const harness = await setUp();
          const plan = await harness.plan(harness.daemon(), intent);
          let callCount = 0;
          const failing = <T>(run: () => Promise<T>) => {
            callCount += 1;
            if (callCount !== failingCall) return run();
            return Promise.resolve(left(failure(ErrorKind.StoreUnavailable, 'out')) as T);
          };
          const table: TableService = {
            read: (request) => () => failing(harness.table.read(request)),
            transact: (transaction) => () => failing(harness.table.transact(transaction)),
          };
          const confirmed = await harness.confirm(harness.daemon(table), plan);
          const isMade = harness.history.length === 4;
          if (!isLeft(confirmed)) expect(isMade).toBe(true);
          else if (confirmed.left.workOutcome === 'not-run') expect(isMade).toBe(false);
          const again = await harness.confirm(harness.daemon(), plan);
          expect(isLeft(again)).toBe(false);
          expect(harness.history).toHaveLength(4);
        }),
      );
    },
  );
});
