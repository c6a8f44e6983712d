/** Reads the running tasks of one team's jobs from the jobs' shard rows. */
import { setImmediate as nextTurn } from 'node:timers/promises';

import { type Either, isLeft, right } from 'fp-ts/lib/Either.js';

import type { Failure } from '../../services/errors/common/errorKinds.js';
import type { TableService } from '../../services/table/common/table.js';
import {
  batchTaskId,
  BatchTaskState,
  workPrefix,
  type WorkRow,
  workRowSchema,
} from '../../services/workload/common/workRows.js';
import type { RunningTask } from '../common/planningBasis.js';

const toRunningTasks = ({ jobId, size, tasks }: WorkRow): readonly RunningTask[] =>
  tasks
    .filter(({ state }) => state === BatchTaskState.Assigned)
    .map(({ index }) => ({
      ...{ taskId: batchTaskId(jobId, index), workerId: '', serviceName: '', jobId, size },
    }));

const readRunningTasksInZone = async (
  table: TableService,
  zone: string,
  team: string,
): Promise<Either<Failure, readonly RunningTask[]>> => {
  const read = await table.read({ keys: [], prefixes: [`${workPrefix(zone)}${team}.`] })();
  if (isLeft(read)) return read;
  const running: RunningTask[] = [];
  for (let index = 0; index < read.right.rows.length; index += 1) {
    // A job of 10,000 tasks has over a thousand in each zone, so other requests run in between.
    // eslint-disable-next-line no-await-in-loop
    await nextTurn();
    running.push(...toRunningTasks(workRowSchema.parse(read.right.rows[index]?.value)));
  }
  return right(running);
};

/**
 * Running tasks of a team's jobs, without their workers. When a task starts or ends, one
 * transaction changes both the ledger and the shard's row, so the shard rows agree with the ledger.
 * The ledger is organized by rack: finding the forty tasks of a team in it would mean reading all
 * 17,500 tasks.
 */
export const readRunningTasksOfTeam = async (
  table: TableService,
  zones: readonly string[],
  team: string,
): Promise<Either<Failure, readonly RunningTask[]>> => {
  const results = await Promise.all(zones.map((zone) => readRunningTasksInZone(table, zone, team)));
  return results.reduce<Either<Failure, readonly RunningTask[]>>((sum, result) => {
    if (isLeft(sum)) return sum;
    return isLeft(result) ? result : right([...sum.right, ...result.right]);
  }, right([]));
};
