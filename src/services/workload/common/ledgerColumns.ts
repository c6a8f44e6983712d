/**
 * The column format in which the table stores the assignments of a ledger row. A round writes whole
 * rows of about 160 assignments, and in plain format each assignment repeats its worker, shard,
 * size and run time. The column format stores each worker and each kind of task once, and a task is
 * a position in the columns. Task ids are stored in full, so that a row can be searched for them.
 * The format needs no additional rows.
 */
import { z } from 'zod';

import { resourcesSchema } from '../../worker/common/resources.js';
import { taskClassSchema } from '../../worker/common/workerClient.js';
import type { Assignment } from './workRows.js';

const FIRST_ATTEMPT = 1;

const positionSchema = z.number().int().nonnegative();

/** The common properties of the tasks of a shard or a service that have the same size. */
const taskKindSchema = z.strictObject({
  taskClass: taskClassSchema,
  serviceName: z.string(),
  shardId: z.string(),
  size: resourcesSchema,
  workMs: z.number().nonnegative(),
});
type TaskKind = z.infer<typeof taskKindSchema>;

const columnsSchema = z.strictObject({
  workers: z.array(z.strictObject({ workerId: z.string(), incarnation: z.string() })),
  kinds: z.array(taskKindSchema),
  /** The columns: each task's id, the positions of its worker and its kind, and its index. */
  taskIds: z.array(z.string()),
  workerPositions: z.array(positionSchema),
  kindPositions: z.array(positionSchema),
  taskIndexes: z.array(positionSchema),
  /** By task position; only attempts after the first and checkpoints that exist are stored. */
  attempts: z.record(z.string(), z.number().int().positive()),
  checkpoints: z.record(z.string(), z.string()),
});
export type LedgerColumns = z.infer<typeof columnsSchema>;

const isWithin = (positions: readonly number[], count: number): boolean =>
  positions.every((position) => position < count);

/** Rejects inconsistent columns: a task without a worker would be forgotten while it runs. */
const isConsistent = (columns: LedgerColumns): boolean => {
  const { workers, kinds, workerPositions, kindPositions, taskIds, taskIndexes } = columns;
  const taskCount = taskIds.length;
  return (
    workerPositions.length === taskCount &&
    kindPositions.length === taskCount &&
    taskIndexes.length === taskCount &&
    isWithin(workerPositions, workers.length) &&
    isWithin(kindPositions, kinds.length)
  );
};

const toAssignments = (columns: LedgerColumns): Assignment[] =>
  columns.taskIds.map((taskId, position) => {
    const kindPosition = columns.kindPositions[position] as number;
    const kind = columns.kinds[kindPosition] as TaskKind;
    const workerPosition = columns.workerPositions[position] as number;
    const worker = columns.workers[workerPosition] as LedgerColumns['workers'][number];
    return {
      taskId,
      attempt: columns.attempts[position] ?? FIRST_ATTEMPT,
      ...worker,
      ...kind,
      taskIndex: columns.taskIndexes[position] as number,
      checkpoint: columns.checkpoints[position] ?? null,
    };
  });

/** Parses the columns of a row into the original assignments, in the same order. */
export const ledgerColumnsSchema = columnsSchema
  .refine(isConsistent, 'columns of different lengths, or positions beyond the end')
  .transform((columns) => ({ assignments: toAssignments(columns) }));

/** Collects distinct values and their positions. */
class PositionIndex<Value> {
  readonly values: Value[] = [];

  readonly #known = new Map<string, number>();

  of(key: string, create: () => Value): number {
    const known = this.#known.get(key);
    if (known !== undefined) return known;
    this.#known.set(key, this.values.length);
    this.values.push(create());
    return this.values.length - 1;
  }
}

const kindKey = ({ shardId, serviceName, taskClass, size, workMs }: Assignment): string =>
  [
    ...[shardId, serviceName, taskClass, workMs],
    ...[size.processorMillis, size.memoryBytes, size.acceleratorCount],
  ].join(' ');

const toKind = (assignment: Assignment): TaskKind => ({
  taskClass: assignment.taskClass,
  serviceName: assignment.serviceName,
  shardId: assignment.shardId,
  size: assignment.size,
  workMs: assignment.workMs,
});

/** Converts assignments to columns; `ledgerColumnsSchema` converts them back. */
export const toLedgerColumns = (assignments: readonly Assignment[]): LedgerColumns => {
  const workers = new PositionIndex<LedgerColumns['workers'][number]>();
  const kinds = new PositionIndex<TaskKind>();
  const columns: LedgerColumns = {
    workers: workers.values,
    kinds: kinds.values,
    taskIds: [],
    workerPositions: [],
    kindPositions: [],
    taskIndexes: [],
    attempts: {},
    checkpoints: {},
  };
  assignments.forEach((assignment, position) => {
    const { workerId, incarnation } = assignment;
    columns.taskIds.push(assignment.taskId);
    columns.workerPositions.push(
      workers.of(`${workerId} ${incarnation}`, () => ({ workerId, incarnation })),
    );
    columns.kindPositions.push(kinds.of(kindKey(assignment), () => toKind(assignment)));
    columns.taskIndexes.push(assignment.taskIndex);
    if (assignment.attempt !== FIRST_ATTEMPT) columns.attempts[position] = assignment.attempt;
    if (assignment.checkpoint !== null) columns.checkpoints[position] = assignment.checkpoint;
  });
  return columns;
};
