/** Reads the assignments of running tasks from the ledger, a few racks at a time. */
import { setImmediate as nextTurn } from 'node:timers/promises';

import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import type { Failure } from '../../services/errors/common/errorKinds.js';
import type { WorkerInstance } from '../../services/instanceList/common/instanceList.js';
import type { TableService } from '../../services/table/common/table.js';
import {
  type Assignment,
  ledgerKey,
  ledgerRowSchema,
} from '../../services/workload/common/workRows.js';
import type { RunningTask } from '../common/planningBasis.js';

export interface LedgerRack {
  readonly cell: string;
  readonly rack: string;
}

/**
 * A rack of 8 workers has about 160 tasks. Parsing all 17,500 tasks in one go would block the
 * event loop for tens of milliseconds; parsing two racks takes about two milliseconds.
 */
const RACKS_PER_READ = 2;

/** Id of the job that an assignment belongs to; empty for tasks of services. */
const jobIdOf = ({ shardId }: Assignment): string => shardId.split('~')[0] ?? '';

export const toRunningTask = (assignment: Assignment): RunningTask => ({
  taskId: assignment.taskId,
  workerId: assignment.workerId,
  serviceName: assignment.serviceName,
  jobId: jobIdOf(assignment),
  size: assignment.size,
});

/** The distinct racks of the workers for which `isWanted` is true. */
export const racksOf = (
  workers: readonly WorkerInstance[],
  isWanted: (worker: WorkerInstance) => boolean = () => true,
): readonly LedgerRack[] => {
  const racks = workers
    .filter(isWanted)
    .map(({ availabilityZone, rack }) => ({ cell: availabilityZone, rack }));
  return [...new Map(racks.map((rack) => [ledgerKey(rack.cell, rack.rack), rack])).values()];
};

/** Number of concurrent reads: the next answers arrive while one is being parsed. */
const CONCURRENT_READ_COUNT = 3;

const readRacks = async (
  table: TableService,
  racks: readonly LedgerRack[],
): Promise<Either<Failure, readonly Assignment[]>> => {
  const keys = racks.map(({ cell, rack }) => ledgerKey(cell, rack));
  const read = await table.read({ keys, prefixes: [] })();
  if (isLeft(read)) return read;
  await nextTurn();
  return right(read.right.rows.flatMap(({ value }) => ledgerRowSchema.parse(value).assignments));
};

/**
 * Reads the assignments of the racks for which `isWanted` is true, sorted by task id. Yields to
 * the event loop between reads. Fails with the first failure of the store.
 */
export const readAssignments = async (
  table: TableService,
  racks: readonly LedgerRack[],
  isWanted: (assignment: Assignment) => boolean,
): Promise<Either<Failure, readonly Assignment[]>> => {
  const found: Assignment[] = [];
  let firstFailure: Failure | undefined;
  let nextIndex = 0;
  const runReader = async (): Promise<void> => {
    while (nextIndex < racks.length && firstFailure === undefined) {
      const nextRacks = racks.slice(nextIndex, nextIndex + RACKS_PER_READ);
      nextIndex += RACKS_PER_READ;
      // Each reader parses one part at a time, so that it blocks the event loop only briefly.
      // eslint-disable-next-line no-await-in-loop
      const read = await readRacks(table, nextRacks);
      if (isLeft(read)) firstFailure = read.left;
      else found.push(...read.right.filter(isWanted));
      // eslint-disable-next-line no-await-in-loop
      await nextTurn();
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_READ_COUNT }, runReader));
  if (firstFailure !== undefined) return left(firstFailure);
  // The readers finish in any order. Sorting makes plans of the same state equal.
  return right(found.sort((one, other) => (one.taskId < other.taskId ? -1 : 1)));
};
