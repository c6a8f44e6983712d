/** Reads what operators ask to see. */
import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import {
  CHANGE_PREFIX,
  type ChangeRow,
  changeRowSchema,
  DOCUMENT_PREFIX,
  VERSION_KEY,
} from '../../platform/configuration/common/documents.js';
import {
  type ConfigurationView,
  toConfigurationView,
} from '../../platform/configuration/common/configurationView.js';
import { ErrorKind, failure, type Failure } from '../../platform/errors/common/errorKinds.js';
import type { TableRow, TableService } from '../../platform/table/common/table.js';
import {
  type Assignment,
  BatchTaskState,
  finishedPrefix,
  jobKey,
  type JobRow,
  jobRowSchema,
  ledgerPrefix,
  ledgerRowSchema,
  workPrefix,
  workRowSchema,
} from '../../platform/work/common/workRows.js';

export interface JobStatus {
  readonly job: JobRow;
  readonly taskCounts: Readonly<Record<BatchTaskState, number>>;
  readonly evictionCount: number;
  readonly isEnded: boolean;
}

const emptyCounts = (): Record<BatchTaskState, number> => ({
  [BatchTaskState.Queued]: 0,
  [BatchTaskState.Assigned]: 0,
  [BatchTaskState.Done]: 0,
  [BatchTaskState.Failed]: 0,
  [BatchTaskState.Cancelled]: 0,
});

const toJobStatus = (job: JobRow, rows: readonly TableRow[]): JobStatus => {
  const taskCounts = emptyCounts();
  const tasks = rows.flatMap((row) => workRowSchema.parse(row.value).tasks);
  tasks.forEach((task) => {
    taskCounts[task.state] += 1;
  });
  const open = taskCounts[BatchTaskState.Queued] + taskCounts[BatchTaskState.Assigned];
  return {
    job,
    taskCounts,
    evictionCount: tasks.reduce((sum, task) => sum + task.evictionCount, 0),
    isEnded: open === 0,
  };
};

export class OperatorQueries {
  readonly #table: TableService;

  constructor(table: TableService) {
    this.#table = table;
  }

  async configuration(): Promise<Either<Failure, ConfigurationView>> {
    const read = await this.#table.read({ keys: [VERSION_KEY], prefixes: [DOCUMENT_PREFIX] })();
    return isLeft(read) ? read : right(toConfigurationView(read.right.rows));
  }

  async history(): Promise<Either<Failure, readonly ChangeRow[]>> {
    const read = await this.#table.read({ keys: [], prefixes: [CHANGE_PREFIX] })();
    if (isLeft(read)) return read;
    return right(read.right.rows.map((row) => changeRowSchema.parse(row.value)));
  }

  async job(jobId: string): Promise<Either<Failure, JobStatus>> {
    const configuration = await this.configuration();
    if (isLeft(configuration)) return configuration;
    const prefixes = [...configuration.right.zones.keys()].flatMap((zone) => [
      `${workPrefix(zone)}${jobId}~`,
      `${finishedPrefix(zone)}${jobId}~`,
    ]);
    const read = await this.#table.read({ keys: [jobKey(jobId)], prefixes })();
    if (isLeft(read)) return read;
    const jobRow = read.right.rows.find((row) => row.key === jobKey(jobId));
    if (jobRow === undefined) return left(failure(ErrorKind.UnknownObject, `no job ${jobId}`));
    const shards = read.right.rows.filter((row) => row !== jobRow);
    return right(toJobStatus(jobRowSchema.parse(jobRow.value), shards));
  }

  async tasks(): Promise<Either<Failure, readonly Assignment[]>> {
    const configuration = await this.configuration();
    if (isLeft(configuration)) return configuration;
    const prefixes = [...configuration.right.zones.keys()].map(ledgerPrefix);
    const read = await this.#table.read({ keys: [], prefixes })();
    if (isLeft(read)) return read;
    return right(read.right.rows.flatMap((row) => ledgerRowSchema.parse(row.value).assignments));
  }
}
