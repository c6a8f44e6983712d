/** The input that plans are made from, and helpers that build the parts of a plan. */
import { type Either, left, right } from 'fp-ts/lib/Either.js';

import { canonicalJson, type JsonValue } from '../../base/common/json.js';
import type { ConfigurationView } from '../../services/configuration/common/configurationView.js';
import { ErrorKind, failure, type Failure } from '../../services/errors/common/errorKinds.js';
import type { WorkerInstance } from '../../services/instanceList/common/instanceList.js';
import { ABSENT_VERSION, type TableRow } from '../../services/table/common/table.js';
import type { Resources } from '../../services/worker/common/resources.js';
import type { PlanGuard, PlanStep } from './plan.js';

/** A task that is assigned to a worker, according to the ledger. */
export interface RunningTask {
  readonly taskId: string;
  readonly workerId: string;
  /** Empty for tasks of jobs. */
  readonly serviceName: string;
  /** Empty for tasks of services. */
  readonly jobId: string;
  readonly size: Resources;
}

export interface PlanningBasis {
  readonly view: ConfigurationView;
  /** The existing rows that the intent names, by key. They are consistent with the view. */
  readonly rows: ReadonlyMap<string, TableRow>;
  /** Workers in the platform's instance list; empty if the list has not been read. */
  readonly workers: readonly WorkerInstance[];
  /**
   * Tasks in the part of the ledger that the intent needs. They are not from the same snapshot as
   * the rows. They are used to predict effects; the only decision based on them is whether a new
   * quota is too low.
   */
  readonly running: readonly RunningTask[];
  readonly planId: string;
}

/** The steps of a plan, before their effects are computed. */
export interface PlannedSteps {
  readonly summary: string;
  readonly steps: readonly PlanStep[];
  readonly guards: readonly PlanGuard[];
  readonly notifiedCells: readonly string[];
  readonly warnings: readonly string[];
}

export type Planned = Either<Failure, PlannedSteps>;

export const impossible = (message: string): Either<Failure, never> =>
  left(failure(ErrorKind.IntentImpossible, message));

export const planned = (
  summary: string,
  steps: readonly PlanStep[],
  options: Partial<Omit<PlannedSteps, 'summary' | 'steps'>> = {},
): Planned => right({ summary, steps, guards: [], notifiedCells: [], warnings: [], ...options });

/** A step that sets a row; no step if the row already has that value. */
export const setRow = (
  basis: PlanningBasis,
  key: string,
  after: JsonValue,
): readonly PlanStep[] => {
  const row = basis.rows.get(key);
  const before = row?.value ?? null;
  // A new row always differs, so it is not compared: a job's row may hold thousands of tasks.
  const isNew = before === null && after !== null;
  if (!isNew && canonicalJson(before) === canonicalJson(after)) return [];
  return [{ key, before, after, baseRowVersion: row?.version ?? ABSENT_VERSION }];
};

/** A guard that a document has not changed since the view that the plan is made from. */
export const guardDocument = (basis: PlanningBasis, key: string): PlanGuard => ({
  key,
  baseRowVersion: basis.view.rowVersions.get(key) ?? ABSENT_VERSION,
});
