/** Makes plans: reads the rows that an intent needs, computes the plan and stores it. */
import { createHash } from 'node:crypto';
import { setImmediate as nextTurn } from 'node:timers/promises';

import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import { JsonForm } from '../../base/common/json.js';
import { jsonText } from '../../base/node/jsonText.js';
import type { ConfigurationService } from '../../services/configuration/common/configurationService.js';
import type { ConfigurationView } from '../../services/configuration/common/configurationView.js';
import { DOCUMENT_PREFIX } from '../../services/configuration/common/documents.js';
import { ErrorKind, failure, type Failure } from '../../services/errors/common/errorKinds.js';
import type { InstanceDirectory } from '../../services/instanceList/common/instanceDirectory.js';
import { isWorker, type WorkerInstance } from '../../services/instanceList/common/instanceList.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import {
  ABSENT_VERSION,
  rowsByKey,
  type TableRow,
  type TableService,
  type Transaction,
  TransactionOutcome,
} from '../../services/table/common/table.js';
import {
  type Assignment,
  workPrefix,
  type WorkRow,
} from '../../services/workload/common/workRows.js';
import { planningViolation } from '../common/confirmation.js';
import { type Intent, IntentKind } from '../common/intent.js';
import {
  type DigestedPlan,
  digestParts,
  type Plan,
  type PlanEffects,
  planKey,
  PlanState,
  toPlanId,
} from '../common/plan.js';
import { effectsOfPlan, type PlannedChange, planIntent } from '../common/planner.js';
import type { RunningTask } from '../common/planningBasis.js';
import { furtherKeysToRead, keysToRead } from '../common/planningKeys.js';
import { racksOf, readAssignments, toRunningTask } from './ledgerAssignments.js';
import { parseOpenShards } from './shardParsing.js';
import { withFullSteps } from './planExpansion.js';
import { readRunningTasksOfTeam } from './teamTasks.js';

export interface PlanMakerServices {
  readonly table: TableService;
  readonly configuration: ConfigurationService;
  readonly directory: Pick<InstanceDirectory, 'instances'>;
  readonly metrics: Metrics;
  /** The wall clock, in milliseconds since 1970. Only used for plan ids, expiry and history. */
  readonly wallNowMs: () => number;
  /** Returns a short text that is unique for each call. */
  readonly newSuffix: () => string;
}

/** How often the view and the rows are read until they are consistent. */
const MAXIMUM_READ_TRIES = 5;
/** How many jobs of a cancellation have their shards read to predict which tasks end. */
const MAXIMUM_PREDICTED_JOBS = 20;

/** A configuration view and rows that are consistent with it. */
interface ConsistentRead {
  readonly view: ConfigurationView;
  readonly rows: ReadonlyMap<string, TableRow>;
}

const isConsistent = (
  view: ConfigurationView,
  keys: readonly string[],
  rows: ReadonlyMap<string, TableRow>,
): boolean =>
  keys
    .filter((key) => key.startsWith(DOCUMENT_PREFIX))
    .every((key) => rows.get(key)?.version === view.rowVersions.get(key));

/** Digest of everything that a plan would change. It does not depend on the order of JSON keys. */
export const planDigest = async (plan: DigestedPlan): Promise<string> => {
  const hash = createHash('sha256');
  await digestParts(plan).reduce(async (before, part) => {
    await before;
    const text = await jsonText(part, JsonForm.Canonical);
    hash.update(`${text.length}:`).update(text);
  }, Promise.resolve());
  return hash.digest('hex');
};

export class PlanMaker {
  readonly #services: PlanMakerServices;

  readonly #planLifetimeMs: number;

  constructor(services: PlanMakerServices, planLifetimeMs: number) {
    this.#services = services;
    this.#planLifetimeMs = planLifetimeMs;
  }

  /** Makes a plan and stores it; nothing else is written. */
  async plan(intent: Intent, author: string): Promise<Either<Failure, Plan>> {
    const basisRead = await this.#readBasis(intent);
    if (isLeft(basisRead)) return basisRead;
    const { view, rows } = basisRead.right;
    const workers = this.#services.directory.instances.filter(isWorker);
    const running = await this.#readRunningTasks(view, intent, workers);
    if (isLeft(running)) return running;
    const ending = await this.#readEndingShards(view, intent);
    if (isLeft(ending)) return ending;
    const planId = toPlanId(this.#services.wallNowMs(), this.#services.newSuffix());
    const basis = { view, rows, workers, running: running.right, planId };
    // The sums over all services take milliseconds each, so other requests run in between.
    await nextTurn();
    const planned = planIntent(basis, intent);
    if (isLeft(planned)) return planned;
    await nextTurn();
    const effects = effectsOfPlan(basis, intent, planned.right, ending.right);
    await nextTurn();
    const plannedWithEffects = { ...planned.right, effects };
    const plans = await this.#toPlan(planId, intent, author, view.version, plannedWithEffects);
    return this.#store(plans.compact, plans.full);
  }

  /**
   * Refreshes this daemon's configuration view and reads only the rows that the intent names.
   * Reading every document for each of 11,000 plans a day would cost more than all daemons
   * together spend on following the configuration. The view and the rows need not have the same
   * version, which is rare during a burst of confirmations, but the documents that are in both
   * must be equal. Everything else that the plan relies on is a condition of its confirmation.
   */
  async #readBasis(intent: Intent): Promise<Either<Failure, ConsistentRead>> {
    const { configuration, table } = this.#services;
    const keys = new Set(keysToRead(intent));
    for (let tryCount = 0; tryCount < MAXIMUM_READ_TRIES; tryCount += 1) {
      // Each try depends on the keys that the previous one found.
      // eslint-disable-next-line no-await-in-loop
      await configuration.refresh();
      // eslint-disable-next-line no-await-in-loop
      const read = await table.read({ keys: [...keys], prefixes: [] })();
      if (isLeft(read)) return read;
      const rows = rowsByKey(read.right.rows);
      const knownKeyCount = keys.size;
      furtherKeysToRead(intent, rows).forEach((key) => keys.add(key));
      const view = configuration.current;
      const hasReadAllKeys = view !== undefined && keys.size === knownKeyCount;
      if (hasReadAllKeys && isConsistent(view, [...keys], rows)) return right({ view, rows });
    }
    const message = 'the configuration in force could not be read';
    return left(failure(ErrorKind.ConfigurationUnknown, message));
  }

  async #readRunningTasks(
    view: ConfigurationView,
    intent: Intent,
    workers: readonly WorkerInstance[],
  ): Promise<Either<Failure, readonly RunningTask[]>> {
    if (intent.intent === IntentKind.SetQuota) {
      const zones = [...view.zones.keys()];
      return readRunningTasksOfTeam(this.#services.table, zones, intent.team);
    }
    const assignments = await this.#readAssignments(intent, workers);
    return isLeft(assignments) ? assignments : right(assignments.right.map(toRunningTask));
  }

  /** Reads the part of the ledger that an intent needs; most intents need none. */
  async #readAssignments(
    intent: Intent,
    workers: readonly WorkerInstance[],
  ): Promise<Either<Failure, readonly Assignment[]>> {
    const { table } = this.#services;
    switch (intent.intent) {
      case IntentKind.WithdrawZone: {
        const racks = racksOf(workers, (worker) => worker.availabilityZone === intent.zone);
        return readAssignments(table, racks, () => true);
      }
      case IntentKind.DrainWorker: {
        const racks = racksOf(workers, (worker) => worker.id === intent.workerId);
        return readAssignments(table, racks, ({ workerId }) => workerId === intent.workerId);
      }
      default:
        return right([]);
    }
  }

  /** Open shards of the jobs that a cancellation names; only the first of many jobs are read. */
  async #readEndingShards(
    view: ConfigurationView,
    intent: Intent,
  ): Promise<Either<Failure, readonly WorkRow[]>> {
    if (intent.intent !== IntentKind.CancelJobs) return right([]);
    const zones = [...view.zones.keys()];
    const prefixes = intent.jobIds
      .slice(0, MAXIMUM_PREDICTED_JOBS)
      .flatMap((jobId) => zones.map((zone) => `${workPrefix(zone)}${jobId}~`));
    const read = await this.#services.table.read({ keys: [], prefixes })();
    if (isLeft(read)) return read;
    return right(await parseOpenShards(read.right.rows));
  }

  /**
   * Stores a plan in compact form. The plan's id is new, so writing the row a second time after a
   * lost answer is idempotent: the second try either finds the row or writes it.
   */
  async #store(compact: Plan, plan: Plan): Promise<Either<Failure, Plan>> {
    const { table, metrics } = this.#services;
    const key = planKey(plan.planId);
    const transaction: Transaction = {
      operationId: plan.planId,
      conditions: [{ key, version: ABSENT_VERSION }],
      writes: [{ key, value: compact }],
    };
    const violation = planningViolation(transaction);
    if (violation !== undefined) {
      metrics.count(violation);
      return left(failure(ErrorKind.Internal, 'a plan would have changed more than plans'));
    }
    const first = await table.transact(transaction)();
    if (!isLeft(first)) {
      if (first.right.outcome === TransactionOutcome.Committed) return right(plan);
      return left(failure(ErrorKind.Internal, `the plan id ${plan.planId} is taken`));
    }
    if (first.left.kind !== ErrorKind.StoreAnswerLost) return first;
    const second = await table.transact(transaction)();
    return isLeft(second) ? first : right(plan);
  }

  async #toPlan(
    planId: string,
    intent: Intent,
    author: string,
    baseVersion: number,
    planned: PlannedChange & { readonly effects: PlanEffects },
  ): Promise<{ readonly compact: Plan; readonly full: Plan }> {
    const createdAtMs = this.#services.wallNowMs();
    const contents = {
      planId,
      intent,
      baseVersion,
      steps: [...planned.steps],
      guards: [...planned.guards],
      notifiedCells: [...planned.notifiedCells],
    };
    const fullContents = await withFullSteps(contents);
    const otherFields = {
      author,
      summary: planned.summary,
      effects: planned.effects,
      warnings: [...planned.warnings],
      createdAt: new Date(createdAtMs).toISOString(),
      expiresAt: new Date(createdAtMs + this.#planLifetimeMs).toISOString(),
      digest: await planDigest(fullContents),
      state: PlanState.Pending,
      acceptedVersion: 0,
    };
    return { compact: { ...contents, ...otherFields }, full: { ...fullContents, ...otherFields } };
  }
}
