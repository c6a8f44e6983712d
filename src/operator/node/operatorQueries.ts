/** Answers the read requests of operators. */
import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import type { ConfigurationService } from '../../services/configuration/common/configurationService.js';
import { changeKeysBetween } from '../../services/configuration/common/configurationSteps.js';
import type { ConfigurationView } from '../../services/configuration/common/configurationView.js';
import { type ChangeRow, changeRowSchema } from '../../services/configuration/common/documents.js';
import { ErrorKind, failure, type Failure } from '../../services/errors/common/errorKinds.js';
import type { InstanceDirectory } from '../../services/instanceList/common/instanceDirectory.js';
import { isDaemon, isWorker } from '../../services/instanceList/common/instanceList.js';
import type { TableRow, TableService } from '../../services/table/common/table.js';
import {
  type Assignment,
  BatchTaskState,
  finishedPrefix,
  JOB_PREFIX,
  jobKey,
  type JobRow,
  jobRowSchema,
  workPrefix,
  type WorkRow,
} from '../../services/workload/common/workRows.js';
import { planPrefixesBefore, storedPlanSchema } from '../common/plan.js';
import { ServiceTotals } from '../common/serviceTotals.js';
import { racksOf, readAssignments } from './ledgerAssignments.js';
import { parseShards } from './shardParsing.js';

export interface JobStatus {
  readonly job: JobRow;
  readonly taskCounts: Readonly<Record<BatchTaskState, number>>;
  readonly evictionCount: number;
  readonly isEnded: boolean;
  /** Why the scheduler gave up tasks that can never run. */
  readonly refusals: readonly string[];
}

/** Kinds of objects that operators can list and describe. */
export const ObjectKind = {
  Services: 'services',
  Jobs: 'jobs',
  Tasks: 'tasks',
  Workers: 'workers',
  Zones: 'zones',
  Instances: 'instances',
  Plans: 'plans',
  Quotas: 'quotas',
} as const;
export type ObjectKind = (typeof ObjectKind)[keyof typeof ObjectKind];

/** The states of the daemons as observed by this daemon, by id. */
export interface ObservedDaemons {
  readonly members: ReadonlyMap<string, string>;
}

type ListResult = Either<Failure, readonly Readonly<Record<string, unknown>>[]>;

/** The maximum number of versions that `history` returns. */
const HISTORY_LENGTH = 200;
/** `get plans` lists the plans of this many hours. A pending plan expires after minutes. */
const PLAN_HOURS = 2;
const HOUR_MS = 3_600_000;

const ID_FIELDS: Readonly<Record<ObjectKind, string>> = {
  [ObjectKind.Services]: 'name',
  [ObjectKind.Jobs]: 'jobId',
  [ObjectKind.Tasks]: 'taskId',
  [ObjectKind.Workers]: 'id',
  [ObjectKind.Zones]: 'name',
  [ObjectKind.Instances]: 'id',
  [ObjectKind.Plans]: 'planId',
  [ObjectKind.Quotas]: 'team',
};

const emptyCounts = (): Record<BatchTaskState, number> => ({
  [BatchTaskState.Queued]: 0,
  [BatchTaskState.Assigned]: 0,
  [BatchTaskState.Done]: 0,
  [BatchTaskState.Failed]: 0,
  [BatchTaskState.Cancelled]: 0,
});

const toJobStatus = (job: JobRow, shards: readonly WorkRow[]): JobStatus => {
  const taskCounts = emptyCounts();
  const tasks = shards.flatMap((shard) => shard.tasks);
  tasks.forEach((task) => {
    taskCounts[task.state] += 1;
  });
  const open = taskCounts[BatchTaskState.Queued] + taskCounts[BatchTaskState.Assigned];
  return {
    job,
    taskCounts,
    evictionCount: tasks.reduce((sum, task) => sum + task.evictionCount, 0),
    isEnded: open === 0,
    refusals: shards.flatMap(({ refusal }) => (refusal === undefined ? [] : [refusal])),
  };
};

export class OperatorQueries {
  readonly #table: TableService;

  readonly #configuration: ConfigurationService;

  readonly #directory: Pick<InstanceDirectory, 'instances'>;

  readonly #peers: ObservedDaemons;

  readonly #wallNowMs: () => number;

  constructor(
    table: TableService,
    configuration: ConfigurationService,
    directory: Pick<InstanceDirectory, 'instances'>,
    peers: ObservedDaemons,
    wallNowMs: () => number,
  ) {
    this.#table = table;
    this.#configuration = configuration;
    this.#directory = directory;
    this.#peers = peers;
    this.#wallNowMs = wallNowMs;
  }

  /**
   * Returns the current configuration. It is refreshed first, so that operators see changes that
   * they confirmed through another daemon. While the store is unavailable this is the last known
   * version. Fails with `ConfigurationUnknown` if no version has been read yet.
   */
  async view(): Promise<Either<Failure, ConfigurationView>> {
    await this.#configuration.refresh();
    const { current } = this.#configuration;
    if (current !== undefined) return right(current);
    return left(failure(ErrorKind.ConfigurationUnknown, 'no configuration has been read yet'));
  }

  /** Returns the latest accepted changes, oldest first. */
  async history(): Promise<Either<Failure, readonly ChangeRow[]>> {
    const view = await this.view();
    if (isLeft(view)) return view;
    const { version } = view.right;
    const keys = changeKeysBetween(Math.max(0, version - HISTORY_LENGTH), version);
    const read = await this.#table.read({ keys, prefixes: [] })();
    if (isLeft(read)) return read;
    return right(read.right.rows.map((row) => changeRowSchema.parse(row.value)));
  }

  async job(jobId: string): Promise<Either<Failure, JobStatus>> {
    const view = await this.view();
    if (isLeft(view)) return view;
    const prefixes = [...view.right.zones.keys()].flatMap((zone) => [
      `${workPrefix(zone)}${jobId}~`,
      `${finishedPrefix(zone)}${jobId}~`,
    ]);
    const read = await this.#table.read({ keys: [jobKey(jobId)], prefixes })();
    if (isLeft(read)) return read;
    const jobRow = read.right.rows.find((row) => row.key === jobKey(jobId));
    if (jobRow === undefined) return left(failure(ErrorKind.UnknownObject, `no job ${jobId}`));
    const shards = await parseShards(read.right.rows.filter((row) => row !== jobRow));
    return right(toJobStatus(jobRowSchema.parse(jobRow.value), shards));
  }

  /** Lists all objects of a kind as flat records. */
  async list(kind: ObjectKind): Promise<ListResult> {
    switch (kind) {
      case ObjectKind.Instances:
        return right(this.#instances());
      case ObjectKind.Tasks:
        return this.#tasks(() => true);
      case ObjectKind.Jobs:
        return this.#rows([JOB_PREFIX], (value) => jobRowSchema.parse(value));
      case ObjectKind.Plans:
        return this.#plans();
      default: {
        const view = await this.view();
        return isLeft(view) ? view : right(this.#documents(kind, view.right));
      }
    }
  }

  /** Returns one object; workers and services come with their tasks. */
  async describe(kind: ObjectKind, id: string): Promise<Either<Failure, unknown>> {
    if (kind === ObjectKind.Jobs) return this.job(id);
    const listed = await this.list(kind);
    if (isLeft(listed)) return listed;
    const found = listed.right.find((item) => item[ID_FIELDS[kind]] === id);
    if (found === undefined) {
      const name = kind.slice(0, -1);
      return left(failure(ErrorKind.UnknownObject, `no ${name} ${id}`));
    }
    const tasks = await this.#tasksOf(kind, id);
    if (isLeft(tasks)) return tasks;
    return right(tasks.right === undefined ? found : { ...found, tasks: tasks.right });
  }

  /**
   * The instances in the platform's list, where each daemon has its state as observed by this
   * daemon, followed by the observed daemons that are not on the list.
   */
  #instances(): readonly Readonly<Record<string, unknown>>[] {
    const { members } = this.#peers;
    const { instances } = this.#directory;
    const listedIds = new Set(instances.map(({ id }) => id));
    const unlisted = [...members.keys()].filter((id) => !listedIds.has(id));
    return [
      ...instances.map((instance) =>
        isDaemon(instance) ? { ...instance, seen: members.get(instance.id) ?? '' } : instance,
      ),
      ...unlisted.map((id) => ({ kind: 'daemon', id, state: 'unlisted', seen: members.get(id) })),
    ];
  }

  #documents(
    kind: ObjectKind,
    view: ConfigurationView,
  ): readonly Readonly<Record<string, unknown>>[] {
    const workers = this.#directory.instances.filter(isWorker);
    switch (kind) {
      case ObjectKind.Services:
        return [...view.services.values()];
      case ObjectKind.Quotas: {
        const totals = ServiceTotals.of(view);
        return [...view.quotas.values()].map((quota) => ({
          ...quota,
          usedByServices: totals.ofTeam(quota.team),
        }));
      }
      case ObjectKind.Zones:
        return [...view.zones.values()].map((zone) => ({
          ...zone,
          workerCount: workers.filter(({ availabilityZone }) => availabilityZone === zone.name)
            .length,
        }));
      default:
        return workers.map((worker) => ({
          ...worker,
          isDraining: view.workers.get(worker.id)?.isDraining ?? false,
        }));
    }
  }

  #tasksOf(
    kind: ObjectKind,
    id: string,
  ): Promise<Either<Failure, readonly Assignment[] | undefined>> {
    if (kind === ObjectKind.Workers) return this.#tasks(({ workerId }) => workerId === id, id);
    if (kind === ObjectKind.Services) return this.#tasks(({ serviceName }) => serviceName === id);
    return Promise.resolve(right(undefined));
  }

  #tasks(
    isWanted: (assignment: Assignment) => boolean,
    workerId?: string,
  ): Promise<Either<Failure, readonly Assignment[]>> {
    const workers = this.#directory.instances.filter(isWorker);
    const racks = racksOf(workers, ({ id }) => workerId === undefined || id === workerId);
    return readAssignments(this.#table, racks, isWanted);
  }

  /** Plans of the last `PLAN_HOURS` hours, without their steps and guards. */
  async #plans(): Promise<ListResult> {
    const prefixes = planPrefixesBefore(this.#wallNowMs() + HOUR_MS, PLAN_HOURS);
    return this.#rows(prefixes, (value) => {
      const { steps, guards, ...plan } = storedPlanSchema.parse(value);
      return { ...plan, stepCount: steps.length };
    });
  }

  async #rows<Item>(
    prefixes: readonly string[],
    parse: (value: TableRow['value']) => Item,
  ): Promise<Either<Failure, readonly Item[]>> {
    const read = await this.#table.read({ keys: [], prefixes })();
    return isLeft(read) ? read : right(read.right.rows.map(({ value }) => parse(value)));
  }
}
