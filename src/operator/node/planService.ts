/** Makes plans and confirms them against the table. */
import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import type { Clock } from '../../base/common/clock.js';
import { Emitter } from '../../base/common/event.js';
import type { Disposable } from '../../base/common/lifecycle.js';
import type { RandomSource } from '../../base/common/random.js';
import { changeKeysBetween } from '../../services/configuration/common/configurationSteps.js';
import { changeRowSchema, toVersion } from '../../services/configuration/common/documents.js';
import {
  ErrorKind,
  failure,
  type Failure,
  WorkOutcome,
} from '../../services/errors/common/errorKinds.js';
import {
  ABSENT_VERSION,
  rowsByKey,
  type TableRow,
  type Transaction,
  TransactionOutcome,
} from '../../services/table/common/table.js';
import {
  confirmationViolation,
  confirmationKeys,
  type ConfirmationRequest,
  decideConfirmation,
  LostAttempts,
  firstChangedKey,
  WriteInvariant,
} from '../common/confirmation.js';
import type { Intent } from '../common/intent.js';
import { type Plan, planKey, storedPlanSchema, type PlanStep } from '../common/plan.js';
import { planDigest, PlanMaker, type PlanMakerServices } from './planMaker.js';
import { withFullSteps } from './planExpansion.js';

export interface PlanServices extends PlanMakerServices {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly delay: (delayMs: number) => Promise<void>;
  /** Returns a text that is unique for each call. */
  readonly newOperationId: () => string;
}

export interface PlanLimits {
  readonly planLifetimeMs: number;
  /** Time after which a confirmation stops retrying and reports an unknown outcome. */
  readonly confirmTimeoutMs: number;
}

/** Why a plan was not accepted. */
export interface ConfirmationRefusal extends Failure {
  /** For a stale plan, a new plan for the same intent, if it can still be carried out. */
  readonly newPlan?: Plan;
}

type ConfirmationResult = Either<ConfirmationRefusal, Plan>;

/**
 * Retry backoff. Plans for different objects conflict only on the version row, and one of the
 * concurrent confirmations succeeds in each round. With twenty operators at once, delays that
 * grow to 200 ms spread the others over a second or two. Without random jitter all of them would
 * retry at the same moment and conflict again.
 */
const INITIAL_BACKOFF_MS = 5;
const MAXIMUM_BACKOFF_MS = 200;

/** How many versions are searched for the change that made a plan stale. */
const MAXIMUM_CHANGES_SEARCHED = 100;

const isStoreFailure = ({ kind }: Failure): boolean =>
  kind === ErrorKind.StoreUnavailable || kind === ErrorKind.StoreAnswerLost;

const OUTCOME_UNKNOWN = failure(
  ErrorKind.StoreAnswerLost,
  'it is not known whether the plan was accepted; confirm it again to find out',
);

/** The transaction with the values of the steps, which have the full tasks of new shards. */
const withStepValues = (transaction: Transaction, steps: readonly PlanStep[]): Transaction => {
  const values = new Map(steps.map(({ key, after }) => [key, after]));
  const writes = transaction.writes.map(({ key, value }) => ({
    key,
    value: values.has(key) ? (values.get(key) ?? null) : value,
  }));
  return { ...transaction, writes };
};

export class PlanService implements Disposable {
  readonly #services: PlanServices;

  readonly #limits: PlanLimits;

  readonly #maker: PlanMaker;

  readonly #didAccept = new Emitter<Plan>();

  constructor(services: PlanServices, limits: PlanLimits) {
    this.#services = services;
    this.#limits = limits;
    this.#maker = new PlanMaker(services, limits.planLifetimeMs);
  }

  /** Fires for each confirmation through this daemon that finds the plan accepted. */
  get onDidAccept(): Emitter<Plan>['event'] {
    return this.#didAccept.event;
  }

  dispose(): void {
    this.#didAccept.dispose();
  }

  /** Makes a plan and stores it; nothing else is written. */
  plan(intent: Intent, author: string): Promise<Either<Failure, Plan>> {
    return this.#maker.plan(intent, author);
  }

  /** Returns a plan with its full tasks. Fails with `UnknownObject` if there is no such plan. */
  async find(planId: string): Promise<Either<Failure, Plan>> {
    const plan = await this.#findStored(planId);
    return isLeft(plan) ? plan : right(await withFullSteps(plan.right));
  }

  /** The plan as stored, with new tasks in compact form. */
  async #findStored(planId: string): Promise<Either<Failure, Plan>> {
    const read = await this.#services.table.read({ keys: [planKey(planId)], prefixes: [] })();
    if (isLeft(read)) return read;
    const row = read.right.rows[0];
    if (row === undefined) return left(failure(ErrorKind.UnknownObject, `no plan ${planId}`));
    return right(storedPlanSchema.parse(row.value));
  }

  /**
   * Confirms a plan. Retries after conflicts with other plans and after lost answers, until the
   * plan's row shows the outcome or the timeout has passed.
   */
  async confirm(request: ConfirmationRequest): Promise<ConfirmationResult> {
    const { clock, delay, random } = this.#services;
    const deadlineMs = clock.nowMs() + this.#limits.confirmTimeoutMs;
    const attempts = new LostAttempts();
    for (
      let backoffMs = INITIAL_BACKOFF_MS;
      ;
      backoffMs = Math.min(backoffMs * 2, MAXIMUM_BACKOFF_MS)
    ) {
      // Each try depends on the outcome of the previous one.
      // eslint-disable-next-line no-await-in-loop
      const result = await this.#tryConfirm(request, attempts);
      if (result !== undefined) {
        if (!isLeft(result)) this.#didAccept.fire(result.right);
        return result;
      }
      if (clock.nowMs() + backoffMs > deadlineMs) return left(OUTCOME_UNKNOWN);
      // eslint-disable-next-line no-await-in-loop
      await delay(backoffMs * (1 + random.nextFraction()));
    }
  }

  /** Tries to confirm a plan once. Returns undefined if the confirmation should be retried. */
  async #tryConfirm(
    request: ConfirmationRequest,
    attempts: LostAttempts,
  ): Promise<ConfirmationResult | undefined> {
    const { table, newOperationId, wallNowMs } = this.#services;
    const stored = await this.#findStored(request.planId);
    if (isLeft(stored)) return this.#resultAfterFailure(stored.left, request, attempts, new Map());
    const read = await table.read({ keys: confirmationKeys(stored.right), prefixes: [] })();
    if (isLeft(read)) return this.#resultAfterFailure(read.left, request, attempts, new Map());
    const rows = rowsByKey(read.right.rows);
    const nowAt = new Date(wallNowMs()).toISOString();
    const step = decideConfirmation(request, rows, newOperationId(), nowAt);
    if (isLeft(step)) return this.#resultAfterFailure(step.left, request, attempts, rows);
    const accepted = await withFullSteps(step.right.plan);
    if (step.right.kind === 'accepted') return right(accepted);
    attempts.updateFromPendingPlan(rows);
    // The written steps are the same objects as the digested ones, so comparing them is cheap.
    // The digest shows whether they are the steps that the operator saw.
    const shownPlan = { ...step.right.pending, steps: accepted.steps };
    const transaction = withStepValues(step.right.transaction, accepted.steps);
    return this.#write(shownPlan, accepted, transaction, rows, attempts);
  }

  async #write(
    pending: Plan,
    accepted: Plan,
    transaction: Transaction,
    rows: ReadonlyMap<string, TableRow>,
    attempts: LostAttempts,
  ): Promise<ConfirmationResult | undefined> {
    const { table, metrics } = this.#services;
    const isAltered = (await planDigest(pending)) !== pending.digest;
    const violation = isAltered
      ? WriteInvariant.OnlyWhatWasShown
      : confirmationViolation(pending, rows, transaction);
    if (violation !== undefined) {
      metrics.count(violation);
      const workOutcome = attempts.hasAny ? WorkOutcome.Unknown : WorkOutcome.NotRun;
      return left({ ...failure(ErrorKind.Internal, 'the plan is not as shown'), workOutcome });
    }
    const written = await table.transact(transaction)();
    if (!isLeft(written)) {
      return written.right.outcome === TransactionOutcome.Committed ? right(accepted) : undefined;
    }
    if (written.left.kind === ErrorKind.StoreAnswerLost) attempts.add(transaction);
    if (!isStoreFailure(written.left)) return written;
    // The store is unavailable, so the outcome of an earlier attempt is unknown. Retry if there
    // was such an attempt, because the store may become available again.
    return attempts.hasAny ? undefined : left(OUTCOME_UNKNOWN);
  }

  /**
   * Decides the result after a failed try; undefined if the confirmation should be retried. A
   * refusal that says "not run" must stay true forever, so it is verified against the table
   * first: the read may be out of date, and an attempt whose answer was lost, by this daemon or
   * another one, may still take effect later. While the store is unavailable the outcome is
   * "unknown", because an earlier call may have been accepted.
   */
  async #resultAfterFailure(
    cause: Failure,
    request: ConfirmationRequest,
    attempts: LostAttempts,
    rows: ReadonlyMap<string, TableRow>,
  ): Promise<ConfirmationResult | undefined> {
    if (isStoreFailure(cause)) return attempts.hasAny ? undefined : left(OUTCOME_UNKNOWN);
    const row = rows.get(planKey(request.planId));
    if (!(await this.#verifyUnchanged(request.planId, row))) return undefined;
    if (cause.kind !== ErrorKind.PlanStale || row === undefined) return left(cause);
    return left(await this.#staleRefusal(cause, storedPlanSchema.parse(row.value), request, rows));
  }

  /**
   * Verifies that the plan's row is still as read, or still absent. An existing row is rewritten
   * unchanged, which increments its version. Attempts in flight require the old version, so none
   * of them can take effect any more.
   */
  async #verifyUnchanged(planId: string, row: TableRow | undefined): Promise<boolean> {
    const key = planKey(planId);
    const result = await this.#services.table.transact({
      operationId: this.#services.newOperationId(),
      conditions: [{ key, version: row?.version ?? ABSENT_VERSION }],
      writes: row === undefined ? [] : [{ key, value: row.value }],
    })();
    return !isLeft(result) && result.right.outcome === TransactionOutcome.Committed;
  }

  /** Adds to a refusal the change that made the plan stale, and a plan for the current state. */
  async #staleRefusal(
    cause: Failure,
    plan: Plan,
    request: ConfirmationRequest,
    rows: ReadonlyMap<string, TableRow>,
  ): Promise<ConfirmationRefusal> {
    const conflict = await this.#conflictingChange(plan, rows);
    const message = conflict === undefined ? cause.message : `${cause.message} by ${conflict}`;
    const replanned = await this.#maker.plan(plan.intent, request.author);
    if (isLeft(replanned)) {
      return { ...cause, message: `${message}; planned anew: ${replanned.left.message}` };
    }
    return { ...cause, message, newPlan: replanned.right };
  }

  async #conflictingChange(
    plan: Plan,
    rows: ReadonlyMap<string, TableRow>,
  ): Promise<string | undefined> {
    const key = firstChangedKey(plan, rows);
    const version = toVersion([...rows.values()]);
    const from = Math.max(plan.baseVersion, version - MAXIMUM_CHANGES_SEARCHED);
    if (key === undefined || from >= version) return undefined;
    const keys = changeKeysBetween(from, version);
    const read = await this.#services.table.read({ keys, prefixes: [] })();
    if (isLeft(read)) return undefined;
    const changes = read.right.rows.map((row) => changeRowSchema.parse(row.value));
    const latest = changes.filter((change) => change.keys.includes(key)).at(-1);
    return latest && `version ${latest.version} of ${latest.author}: ${latest.summary}`;
  }
}
