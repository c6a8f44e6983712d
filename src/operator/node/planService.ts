/** Makes plans and confirms them against the table. */
import { createHash, randomUUID } from 'node:crypto';

import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import { canonicalJson } from '../../base/common/json.js';
import { toConfigurationView } from '../../platform/configuration/common/configurationView.js';
import { DOCUMENT_PREFIX, VERSION_KEY } from '../../platform/configuration/common/documents.js';
import { ErrorKind, failure, type Failure } from '../../platform/errors/common/errorKinds.js';
import {
  ABSENT_VERSION,
  rowsByKey,
  type TableService,
  TransactionOutcome,
} from '../../platform/table/common/table.js';
import {
  confirmationKeys,
  type ConfirmationRequest,
  decideConfirmation,
} from '../common/confirmation.js';
import type { Intent } from '../common/intent.js';
import { type Plan, planKey, planSchema, PlanState } from '../common/plan.js';
import { planIntent, rowsToRead } from '../common/planner.js';

/**
 * Plans on different things conflict only on the version row and are tried again. With twenty
 * operators at once each try lets one through, so the last needs twenty.
 */
const MAXIMUM_CONFIRMATION_TRIES = 40;

/**
 * Failures of a later try that say nothing about an earlier one whose answer was lost: its
 * transaction may have taken effect or may still do so. Passed on as they are they would tell
 * the operator "not run" of a plan that is in force. A stale plan is no such case: the row that
 * has changed stops the earlier transaction too.
 */
const MAY_STILL_RUN: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.StoreUnavailable,
  ErrorKind.PlanExpired,
]);

export class PlanService {
  readonly #table: TableService;

  readonly #planLifetimeMs: number;

  constructor(table: TableService, planLifetimeMs: number) {
    this.#table = table;
    this.#planLifetimeMs = planLifetimeMs;
  }

  /** Makes a plan and keeps it; nothing else changes. */
  async plan(intent: Intent, author: string): Promise<Either<Failure, Plan>> {
    const read = await this.#table.read({
      keys: [VERSION_KEY, ...rowsToRead(intent)],
      prefixes: [DOCUMENT_PREFIX],
    })();
    if (isLeft(read)) return read;
    const view = toConfigurationView(read.right.rows);
    const planId = randomUUID();
    const planned = planIntent({ view, rows: rowsByKey(read.right.rows), planId }, intent);
    if (isLeft(planned)) return planned;
    const plan = this.#toPlan(planId, intent, author, view.version, planned.right);
    const kept = await this.#table.transact({
      operationId: planId,
      conditions: [{ key: planKey(planId), version: ABSENT_VERSION }],
      writes: [{ key: planKey(planId), value: plan }],
    })();
    return isLeft(kept) ? kept : right(plan);
  }

  async find(planId: string): Promise<Either<Failure, Plan>> {
    const read = await this.#table.read({ keys: [planKey(planId)], prefixes: [] })();
    if (isLeft(read)) return read;
    const row = read.right.rows[0];
    if (row === undefined) return left(failure(ErrorKind.UnknownObject, `no plan ${planId}`));
    return right(planSchema.parse(row.value));
  }

  /**
   * Confirms a plan. After a lost answer the plan's row tells whether the confirmation took
   * effect, so the next try finds it confirmed instead of accepting it twice.
   */
  async confirm(request: ConfirmationRequest): Promise<Either<Failure, Plan>> {
    const found = await this.find(request.planId);
    if (isLeft(found)) return found;
    let lastFailure = failure(ErrorKind.PlanConflict, 'too many plans are confirmed at once');
    let isAnswerLost = false;
    for (let tryCount = 0; tryCount < MAXIMUM_CONFIRMATION_TRIES; tryCount += 1) {
      // Each try depends on what the one before has found.
      // eslint-disable-next-line no-await-in-loop
      const result = await this.#tryConfirm(request, found.right);
      if (result !== undefined && !isLeft(result)) return result;
      if (result !== undefined && result.left.kind !== ErrorKind.StoreAnswerLost) {
        return isAnswerLost && MAY_STILL_RUN.has(result.left.kind) ? left(lastFailure) : result;
      }
      if (result !== undefined) {
        isAnswerLost = true;
        lastFailure = result.left;
      }
    }
    return left(lastFailure);
  }

  /** Undefined when another plan was quicker and this one should be tried again. */
  async #tryConfirm(
    request: ConfirmationRequest,
    known: Plan,
  ): Promise<Either<Failure, Plan> | undefined> {
    const read = await this.#table.read({ keys: confirmationKeys(known), prefixes: [] })();
    if (isLeft(read)) return read;
    const rows = rowsByKey(read.right.rows);
    const nowAt = new Date().toISOString();
    const step = decideConfirmation(request, rows, randomUUID(), nowAt);
    if (isLeft(step)) return step;
    if (step.right.kind === 'accepted') return right(step.right.plan);
    const written = await this.#table.transact(step.right.transaction)();
    if (isLeft(written)) return written;
    if (written.right.outcome === TransactionOutcome.Conflict) return undefined;
    return right(step.right.plan);
  }

  #toPlan(
    planId: string,
    intent: Intent,
    author: string,
    baseVersion: number,
    planned: Pick<Plan, 'summary'> & {
      readonly steps: readonly Plan['steps'][number][];
      readonly notifiedCells: readonly string[];
      readonly warnings: readonly string[];
    },
  ): Plan {
    const createdAt = new Date();
    const contents = { planId, intent, baseVersion, steps: planned.steps };
    const digest = createHash('sha256').update(canonicalJson(contents)).digest('hex');
    return {
      planId,
      intent,
      author,
      baseVersion,
      summary: planned.summary,
      steps: [...planned.steps],
      notifiedCells: [...planned.notifiedCells],
      warnings: [...planned.warnings],
      createdAt: createdAt.toISOString(),
      expiresAt: new Date(createdAt.getTime() + this.#planLifetimeMs).toISOString(),
      digest,
      state: PlanState.Pending,
      acceptedVersion: 0,
    };
  }
}
