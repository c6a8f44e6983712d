/** Decides what confirming a plan means against the rows as they stand now. */
import { type Either, left, right } from 'fp-ts/lib/Either.js';

import {
  changeKey,
  type ChangeRow,
  changeRowSchema,
  DOCUMENT_PREFIX,
  VERSION_KEY,
  versionRowSchema,
} from '../../platform/configuration/common/documents.js';
import { ErrorKind, failure, type Failure } from '../../platform/errors/common/errorKinds.js';
import {
  ABSENT_VERSION,
  type TableRow,
  type Transaction,
} from '../../platform/table/common/table.js';
import { cellInboxKey } from '../../platform/work/common/workRows.js';
import { isEmptyPlan, type Plan, planKey, planSchema, PlanState } from './plan.js';

export interface ConfirmationRequest {
  readonly planId: string;
  readonly digest: string;
  /** Who confirms. */
  readonly author: string;
}

export type ConfirmationStep =
  | { readonly kind: 'accepted'; readonly plan: Plan }
  | { readonly kind: 'write'; readonly plan: Plan; readonly transaction: Transaction };

/** Keys to read for a decision, once the plan itself is known. */
export const confirmationKeys = (plan: Plan): readonly string[] => [
  planKey(plan.planId),
  VERSION_KEY,
  ...plan.steps.map((step) => step.key),
];

const currentVersion = (rows: ReadonlyMap<string, TableRow>): number => {
  const row = rows.get(VERSION_KEY);
  return row === undefined ? 0 : versionRowSchema.parse(row.value).version;
};

/** Names what the plan lost to: the key that has changed since the plan was made. */
const staleKey = (plan: Plan, rows: ReadonlyMap<string, TableRow>): string | undefined =>
  plan.steps.find((step) => (rows.get(step.key)?.version ?? ABSENT_VERSION) !== step.baseRowVersion)
    ?.key;

/**
 * The transaction that accepts a plan: the version row moves by one, the change row tells what
 * was changed, and every step's row must still be as the plan showed it. The plan's own row is
 * a condition too, so a plan is accepted at most once, however often it is confirmed.
 */
const toTransaction = (
  plan: Plan,
  request: ConfirmationRequest,
  rows: ReadonlyMap<string, TableRow>,
  operationId: string,
  acceptedAt: string,
): { readonly plan: Plan; readonly transaction: Transaction } => {
  const version = currentVersion(rows) + 1;
  const accepted: Plan = { ...plan, state: PlanState.Confirmed, acceptedVersion: version };
  const changeRow: ChangeRow = changeRowSchema.parse({
    version,
    planId: plan.planId,
    author: request.author,
    acceptedAt,
    summary: plan.summary,
    keys: plan.steps.map((step) => step.key),
    documents: plan.steps
      .filter(({ key }) => key.startsWith(DOCUMENT_PREFIX))
      .map(({ key, before, after }) => ({ key, before, after })),
  });
  const transaction: Transaction = {
    operationId,
    conditions: [
      { key: planKey(plan.planId), version: rows.get(planKey(plan.planId))?.version ?? 0 },
      { key: VERSION_KEY, version: rows.get(VERSION_KEY)?.version ?? ABSENT_VERSION },
      ...plan.steps.map(({ key, baseRowVersion }) => ({ key, version: baseRowVersion })),
    ],
    writes: [
      { key: planKey(plan.planId), value: accepted },
      { key: VERSION_KEY, value: { version } },
      { key: changeKey(version), value: changeRow },
      ...plan.steps.map(({ key, after }) => ({ key, value: after })),
      ...plan.notifiedCells.map((cell) => ({ key: cellInboxKey(cell), value: { operationId } })),
    ],
  };
  return { plan: accepted, transaction };
};

/** What to do about a confirmation; `rows` is one snapshot of `confirmationKeys`. */
export const decideConfirmation = (
  request: ConfirmationRequest,
  rows: ReadonlyMap<string, TableRow>,
  operationId: string,
  nowAt: string,
): Either<Failure, ConfirmationStep> => {
  const row = rows.get(planKey(request.planId));
  if (row === undefined) {
    return left(failure(ErrorKind.UnknownObject, `no plan ${request.planId}`));
  }
  const plan = planSchema.parse(row.value);
  if (plan.digest !== request.digest) {
    return left(failure(ErrorKind.PlanConflict, 'the digest is not that of the plan'));
  }
  if (plan.state === PlanState.Confirmed || isEmptyPlan(plan)) {
    return right({ kind: 'accepted', plan });
  }
  if (nowAt > plan.expiresAt) {
    return left(failure(ErrorKind.PlanExpired, `plan ${plan.planId} expired ${plan.expiresAt}`));
  }
  const changedKey = staleKey(plan, rows);
  if (changedKey !== undefined) {
    const message = `${changedKey} has changed since the plan was made; plan again`;
    return left(failure(ErrorKind.PlanStale, message));
  }
  return right({ kind: 'write', ...toTransaction(plan, request, rows, operationId, nowAt) });
};
