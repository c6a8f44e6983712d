/** Decides whether a plan can be confirmed against the current rows, and what to write. */
import { type Either, left, right } from 'fp-ts/lib/Either.js';

import { canonicalJson } from '../../base/common/json.js';
import {
  changeKey,
  type ChangeRow,
  changeRowSchema,
  DOCUMENT_PREFIX,
  toVersion,
  VERSION_KEY,
} from '../../services/configuration/common/documents.js';
import { ErrorKind, failure, type Failure } from '../../services/errors/common/errorKinds.js';
import {
  ABSENT_VERSION,
  type TableRow,
  type Transaction,
  unchangedSince,
} from '../../services/table/common/table.js';
import { nextInboxValue } from '../../services/workload/common/inbox.js';
import {
  cancellationPrefix,
  cellInboxKey,
  workPrefix,
} from '../../services/workload/common/workRows.js';
import {
  isEmptyPlan,
  type Plan,
  PLAN_PREFIX,
  planKey,
  storedPlanSchema,
  PlanState,
} from './plan.js';

export interface ConfirmationRequest {
  readonly planId: string;
  readonly digest: string;
  /** Name of the operator who confirms. */
  readonly author: string;
}

/** The next step of an attempt to confirm a plan. */
export type ConfirmationStep =
  | { readonly kind: 'accepted'; readonly plan: Plan }
  | {
      readonly kind: 'write';
      /** The plan as read. */
      readonly pending: Plan;
      /** The plan once the transaction has committed. */
      readonly plan: Plan;
      readonly transaction: Transaction;
    };

/** Keys of the rows that `decideConfirmation` needs for a plan. */
export const confirmationKeys = (plan: Plan): readonly string[] => [
  planKey(plan.planId),
  VERSION_KEY,
  ...plan.steps.map(({ key }) => key),
  ...plan.guards.map(({ key }) => key),
  ...plan.notifiedCells.map(cellInboxKey),
];

/** The first key that has changed since the plan was made; undefined if none has. */
export const firstChangedKey = (
  plan: Plan,
  rows: ReadonlyMap<string, TableRow>,
): string | undefined =>
  [...plan.steps, ...plan.guards].find(
    ({ key, baseRowVersion }) => (rows.get(key)?.version ?? ABSENT_VERSION) !== baseRowVersion,
  )?.key;

const toChangeRow = (
  plan: Plan,
  request: ConfirmationRequest,
  version: number,
  acceptedAt: string,
): ChangeRow =>
  changeRowSchema.parse({
    version,
    planId: plan.planId,
    author: request.author,
    acceptedAt,
    summary: plan.summary,
    keys: plan.steps.map(({ key }) => key),
    documents: plan.steps
      .filter(({ key }) => key.startsWith(DOCUMENT_PREFIX))
      .map(({ key, before, after }) => ({ key, before, after })),
  });

/** Keys of the rows written by a plan that the owner of a cell has to read. */
const keysForCell = (plan: Plan, cell: string): readonly string[] =>
  plan.steps
    .map(({ key }) => key)
    .filter((key) =>
      [workPrefix(cell), cancellationPrefix(cell)].some((one) => key.startsWith(one)),
    );

/**
 * Builds the transaction that accepts a plan. It increments the version row, writes a change row
 * that lists what was changed, and requires every row that the plan shows or relies on to be
 * unchanged. The plan's own row is a condition too, so a plan is accepted at most once, however
 * often it is confirmed. The change row must not exist, so history has one entry per version.
 */
const toTransaction = (
  plan: Plan,
  request: ConfirmationRequest,
  rows: ReadonlyMap<string, TableRow>,
  operationId: string,
  acceptedAt: string,
): { readonly plan: Plan; readonly transaction: Transaction } => {
  const version = toVersion([...rows.values()]) + 1;
  const accepted: Plan = { ...plan, state: PlanState.Confirmed, acceptedVersion: version };
  const transaction: Transaction = {
    operationId,
    conditions: [
      unchangedSince(planKey(plan.planId), rows),
      unchangedSince(VERSION_KEY, rows),
      { key: changeKey(version), version: ABSENT_VERSION },
      ...[...plan.steps, ...plan.guards].map(({ key, baseRowVersion }) => ({
        key,
        version: baseRowVersion,
      })),
      ...plan.notifiedCells.map((cell) => unchangedSince(cellInboxKey(cell), rows)),
    ],
    writes: [
      { key: planKey(plan.planId), value: accepted },
      { key: VERSION_KEY, value: { version } },
      { key: changeKey(version), value: toChangeRow(plan, request, version, acceptedAt) },
      ...plan.steps.map(({ key, after }) => ({ key, value: after })),
      ...plan.notifiedCells.map((cell) => ({
        key: cellInboxKey(cell),
        value: nextInboxValue(rows.get(cellInboxKey(cell)), operationId, keysForCell(plan, cell)),
      })),
    ],
  };
  return { plan: accepted, transaction };
};

/**
 * Decides the next step of a confirmation. `rows` is one snapshot of `confirmationKeys`, `nowAt`
 * an ISO 8601 time. Fails if the plan does not exist, has another digest, has expired or is stale.
 */
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
  const plan = storedPlanSchema.parse(row.value);
  if (plan.digest !== request.digest) {
    const message = `the digest is not that of plan ${plan.planId}; read the plan again`;
    return left(failure(ErrorKind.PlanConflict, message));
  }
  if (plan.state === PlanState.Confirmed || isEmptyPlan(plan)) {
    return right({ kind: 'accepted', plan });
  }
  if (nowAt > plan.expiresAt) {
    const message = `plan ${plan.planId} expired ${plan.expiresAt}; make a new one`;
    return left(failure(ErrorKind.PlanExpired, message));
  }
  const changedKey = firstChangedKey(plan, rows);
  if (changedKey !== undefined) {
    const message = `${changedKey} has changed since the plan was made`;
    return left(failure(ErrorKind.PlanStale, message));
  }
  return right({
    kind: 'write',
    pending: plan,
    ...toTransaction(plan, request, rows, operationId, nowAt),
  });
};

/** Invariants on the transactions of the operators' interface; the values name the counters. */
export const WriteInvariant = {
  OnlyPlansBeforeConfirmation: 'invariant_nothing_changes_before_confirmation',
  OnlyWhatWasShown: 'invariant_only_what_was_shown',
  HistoryIsOneLine: 'invariant_history_is_one_line',
} as const;
export type WriteInvariant = (typeof WriteInvariant)[keyof typeof WriteInvariant];

/** Checks the invariant that making or removing plans writes no rows other than plans. */
export const planningViolation = (transaction: Transaction): WriteInvariant | undefined =>
  transaction.writes.every(({ key }) => key.startsWith(PLAN_PREFIX))
    ? undefined
    : WriteInvariant.OnlyPlansBeforeConfirmation;

/**
 * Checks two invariants of a confirmation: it writes exactly the steps that the plan showed, each
 * on the condition that the row is unchanged, and it creates the version that follows the one in
 * `rows`. The check looks only at the transaction that is about to be sent, so it is independent
 * of the code that built it.
 */
export const confirmationViolation = (
  plan: Plan,
  rows: ReadonlyMap<string, TableRow>,
  { conditions, writes }: Transaction,
): WriteInvariant | undefined => {
  const version = toVersion([...rows.values()]) + 1;
  const acceptanceKeys = [planKey(plan.planId), VERSION_KEY, changeKey(version)];
  const conditionKeys = new Set(conditions.map(({ key }) => key));
  if (
    !acceptanceKeys.every(
      (key) => conditionKeys.has(key) && writes.some((write) => write.key === key),
    )
  ) {
    return WriteInvariant.HistoryIsOneLine;
  }
  const shownSteps = new Map(plan.steps.map((step) => [step.key, step]));
  const inboxes = new Set(plan.notifiedCells.map((cell) => cellInboxKey(cell)));
  const isAsShown = writes.every(({ key, value }) => {
    if (acceptanceKeys.includes(key) || inboxes.has(key)) return true;
    const after = shownSteps.get(key)?.after;
    const isEqual = after === value || canonicalJson(after) === canonicalJson(value);
    return conditionKeys.has(key) && isEqual;
  });
  const hasAllSteps = plan.steps.every(({ key }) => writes.some((write) => write.key === key));
  return isAsShown && hasAllSteps ? undefined : WriteInvariant.OnlyWhatWasShown;
};

/**
 * Tracks the transactions of one confirmation whose answers were lost. Each may have taken effect,
 * or may still take effect while the rows in its conditions are unchanged.
 */
export class LostAttempts {
  readonly #versionRowVersions = new Set<number>();

  get hasAny(): boolean {
    return this.#versionRowVersions.size > 0;
  }

  add(transaction: Transaction): void {
    const condition = transaction.conditions.find(({ key }) => key === VERSION_KEY);
    this.#versionRowVersions.add(condition?.version ?? ABSENT_VERSION);
  }

  /**
   * Updates the attempts from a snapshot in which the plan is still pending. An attempt that
   * requires an older version row did not take effect and no longer can, so it is dropped. An
   * attempt that requires a newer version row was made after the snapshot. The snapshot is then
   * out of date and says nothing about that attempt.
   */
  updateFromPendingPlan(rows: ReadonlyMap<string, TableRow>): void {
    const current = rows.get(VERSION_KEY)?.version ?? ABSENT_VERSION;
    this.#versionRowVersions.forEach((version) => {
      if (version < current) this.#versionRowVersions.delete(version);
    });
  }
}
