/** Reports the progress of carrying out a confirmed plan. */
import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import type { ConfigurationService } from '../../services/configuration/common/configurationService.js';
import { ErrorKind, failure, type Failure } from '../../services/errors/common/errorKinds.js';
import type { InstanceDirectory } from '../../services/instanceList/common/instanceDirectory.js';
import { isWorker, type WorkerInstance } from '../../services/instanceList/common/instanceList.js';
import type { TableService } from '../../services/table/common/table.js';
import { type Assignment, workPrefix } from '../../services/workload/common/workRows.js';
import { IntentKind } from '../common/intent.js';
import { jobIdOfTerms, submittedJobs } from '../common/jobChanges.js';
import { type Plan, PlanState } from '../common/plan.js';
import { racksOf, readAssignments } from './ledgerAssignments.js';
import { parseOpenShards } from './shardParsing.js';

export interface PlanProgress {
  readonly state: PlanState;
  readonly acceptedVersion: number;
  /** Tasks that still have to start, move or end until the plan is carried out. */
  readonly remainingTaskCount: number;
  readonly isDone: boolean;
}

/** How many jobs' rows are read at a time. */
const JOBS_PER_READ = 20;

type TaskCountResult = Promise<Either<Failure, number>>;

export class PlanProgressReader {
  readonly #table: TableService;

  readonly #configuration: ConfigurationService;

  readonly #directory: Pick<InstanceDirectory, 'instances'>;

  readonly #wallNowMs: () => number;

  constructor(
    table: TableService,
    configuration: ConfigurationService,
    directory: Pick<InstanceDirectory, 'instances'>,
    wallNowMs: () => number,
  ) {
    this.#table = table;
    this.#configuration = configuration;
    this.#directory = directory;
    this.#wallNowMs = wallNowMs;
  }

  /** Returns a plan's progress. Fails if the plan has expired, so that no caller waits for it. */
  async of(plan: Plan): Promise<Either<Failure, PlanProgress>> {
    const { state, acceptedVersion } = plan;
    if (state === PlanState.Pending) {
      if (plan.steps.length === 0) {
        return right({ state, acceptedVersion, remainingTaskCount: 0, isDone: true });
      }
      if (new Date(this.#wallNowMs()).toISOString() > plan.expiresAt) {
        const message = `plan ${plan.planId} expired ${plan.expiresAt} and was not confirmed`;
        return left(failure(ErrorKind.PlanExpired, message));
      }
      return right({ state, acceptedVersion, remainingTaskCount: 0, isDone: false });
    }
    const remaining = await this.#remainingTaskCount(plan);
    if (isLeft(remaining)) return remaining;
    const remainingTaskCount = remaining.right;
    return right({ state, acceptedVersion, remainingTaskCount, isDone: remainingTaskCount === 0 });
  }

  #remainingTaskCount({ intent }: Plan): TaskCountResult {
    switch (intent.intent) {
      case IntentKind.SubmitJob:
      case IntentKind.SubmitJobs:
        return this.#openTaskCount(submittedJobs(intent).map(jobIdOfTerms));
      case IntentKind.CancelJobs:
        return this.#openTaskCount(intent.jobIds);
      case IntentKind.WithdrawZone:
        return this.#assignedTaskCount(({ availabilityZone }) => availabilityZone === intent.zone);
      case IntentKind.DrainWorker:
        return this.#assignedTaskCount(({ id }) => id === intent.workerId);
      case IntentKind.CreateService:
      case IntentKind.ChangeService:
        return this.#replicaDifference(intent.service.name);
      case IntentKind.RemoveService:
        return this.#replicaDifference(intent.name);
      default:
        return Promise.resolve(right(0));
    }
  }

  /** Number of tasks that are still assigned to the workers that have to become empty. */
  async #assignedTaskCount(isWanted: (worker: WorkerInstance) => boolean): TaskCountResult {
    const wanted = this.#directory.instances.filter(isWorker).filter(isWanted);
    const ids = new Set(wanted.map(({ id }) => id));
    const found = await this.#readAssignments(wanted, ({ workerId }) => ids.has(workerId));
    return isLeft(found) ? found : right(found.right.length);
  }

  /**
   * Difference between a service's task count and its replica count in the current configuration,
   * which a later plan may have changed. Zero for a removed service that has no tasks left.
   */
  async #replicaDifference(serviceName: string): TaskCountResult {
    await this.#configuration.refresh();
    const service = this.#configuration.current?.services.get(serviceName);
    const workers = this.#directory.instances.filter(isWorker);
    const found = await this.#readAssignments(workers, (one) => one.serviceName === serviceName);
    if (isLeft(found)) return found;
    return right(Math.abs((service?.replicaCount ?? 0) - found.right.length));
  }

  #readAssignments(
    workers: readonly WorkerInstance[],
    isWanted: (assignment: Assignment) => boolean,
  ): Promise<Either<Failure, readonly Assignment[]>> {
    return readAssignments(this.#table, racksOf(workers), isWanted);
  }

  /** Number of the jobs' tasks that have not ended. Ended shards have another key prefix. */
  async #openTaskCount(jobIds: readonly string[]): TaskCountResult {
    const zones = [...(this.#configuration.current?.zones.keys() ?? [])];
    let count = 0;
    for (let from = 0; from < jobIds.length; from += JOBS_PER_READ) {
      const part = jobIds.slice(from, from + JOBS_PER_READ);
      const prefixes = zones.flatMap((zone) => part.map((id) => `${workPrefix(zone)}${id}~`));
      // eslint-disable-next-line no-await-in-loop -- a thousand jobs are not read at once
      const read = await this.#table.read({ keys: [], prefixes })();
      if (isLeft(read)) return read;
      // eslint-disable-next-line no-await-in-loop
      const shards = await parseOpenShards(read.right.rows);
      count += shards.reduce((sum, { tasks }) => sum + tasks.length, 0);
    }
    return right(count);
  }
}
