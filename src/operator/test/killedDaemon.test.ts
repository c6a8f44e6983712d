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
const CALL_NUMBERS = Array.from({ length: MAXIMUM_CALLS }, (_, index) => index + 1);

/** Whether the daemon is killed before or after its last call takes effect in the table. */
const KillPoint = { BeforeEffect: 'before', AfterEffect: 'after' } as const;
type KillPoint = (typeof KillPoint)[keyof typeof KillPoint];

const INTENTS: readonly Intent[] = [
  { intent: 'withdraw-zone', zone: 'zone-a' },
  { intent: 'change-service', service: service('rounds', 'kitchen', 4) },
  {
    intent: 'submit-job',
    ...{ team: 'kitchen', submissionKey: 'k', taskCount: 3, size: SIZE, urgency: 'normal' },
    workMs: 1,
  },
];

const CASES = INTENTS.flatMap((intent) =>
  Object.values(KillPoint).map((killPoint): readonly [string, KillPoint, Intent] => [
    intent.intent,
    killPoint,
    intent,
  ]),
);

/** A table for a daemon that is killed during call `lastCall`: no answer arrives from then on. */
const killedDuringCall = (harness: OperatorHarness, lastCall: number, killPoint: KillPoint) => {
  let callCount = 0;
  const call = <T>(run: () => Promise<T>): Promise<T> => {
    callCount += 1;
    if (callCount < lastCall) return run();
    if (callCount === lastCall && killPoint === KillPoint.AfterEffect) void run();
    return new Promise(() => {});
  };
  const table: TableService = {
    read: (request) => () => call(harness.table.read(request)),
    transact: (transaction) => () => call(harness.table.transact(transaction)),
  };
  return { table, isKilled: () => callCount >= lastCall };
};

const setUp = async (): Promise<OperatorHarness> => {
  const harness = new OperatorHarness(1);
  const plans = harness.daemon();
  await harness.planAndConfirm(plans, { intent: 'use-zone', zone: 'zone-a', region: 'r' });
  await harness.planAndConfirm(plans, { intent: 'use-zone', zone: 'zone-b', region: 'r' });
  await harness.planAndConfirm(plans, { intent: 'create-service', service: service('rounds') });
  return harness;
};

/** Runs until the daemon has answered or 20 s have passed, and then for 20 s to let calls end. */
const runUntilIdle = async (harness: OperatorHarness, work: Promise<unknown>): Promise<void> => {
  await harness.time.runUntil(harness.time.nowMs() + 20_000, work);
  await harness.time.runUntil(harness.time.nowMs() + 20_000);
};

describe('a daemon that is killed', () => {
  // The operator's call breaks off, and the operator does not know how far the daemon got. At
  // whatever call the daemon is killed, only rows of plans may have changed.
  it.each(CASES)(
    'while planning %s changes nothing (%s the effect)',
    async (_n, killPoint, intent) => {
      const kills = await Promise.all(
        CALL_NUMBERS.map(async (lastCall) => {
          const harness = await setUp();
          const before = canonicalJson(harness.otherRows);
          const { table, isKilled } = killedDuringCall(harness, lastCall, killPoint);
          await runUntilIdle(harness, harness.daemon(table).plan(intent, 'ann'));
          expect(canonicalJson(harness.otherRows)).toBe(before);
          return isKilled();
        }),
      );
      // The test covers every call only if the daemon with the highest number was never killed.
      expect(kills[0]).toBe(true);
      expect(kills.at(-1)).toBe(false);
    },
  );

  // The daemon is killed at any single table call of a confirmation. The change is then made
  // completely or not at all. After the operator has confirmed the same plan through another
  // daemon, the change is made once and history has one entry for it.
  it.each(CASES)('while confirming %s changes all or nothing (%s the effect)', async (...row) => {
    const [, killPoint, intent] = row;
    const outcomes = await Promise.all(
      CALL_NUMBERS.map(async (lastCall) => {
        const harness = await setUp();
        const plan: Plan = await harness.plan(harness.daemon(), intent);
        const before = canonicalJson(harness.otherRows);
        const { table, isKilled } = killedDuringCall(harness, lastCall, killPoint);
        const { planId, digest } = plan;
        const confirmation = harness.daemon(table).confirm({ planId, digest, author: 'ann' });
        await runUntilIdle(harness, confirmation);
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
        return { isKilled: isKilled(), isUnchanged };
      }),
    );
    expect(outcomes[0]).toEqual({ isKilled: true, isUnchanged: true });
    expect(outcomes.at(-1)).toEqual({ isKilled: false, isUnchanged: false });
  });

  // The daemon survives, but the store refuses any single one of its calls. The outcome that the
  // operator is told must agree with the table.
  it.each(INTENTS)(
    'or refused by the store at any one call reports a true outcome ($intent)',
    async (intent) => {
      await Promise.all(
        CALL_NUMBERS.map(async (failingCall) => {
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
