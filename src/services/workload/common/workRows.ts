/**
 * Rows of the table that hold work: jobs, their tasks in each cell, the ledger of assignments
 * and the backend servers that services have. A cell is the workers of one availability zone.
 */
import { z } from 'zod';

import { nameSchema, urgencySchema } from '../../configuration/common/documents.js';
import { resourcesSchema } from '../../worker/common/resources.js';
import { taskAttemptSchema, taskClassSchema } from '../../worker/common/workerClient.js';
import { ledgerColumnsSchema } from './ledgerColumns.js';

/** The record of a job, inserted once under its submitter's idempotency key. */
export const jobRowSchema = z.strictObject({
  jobId: z.string(),
  team: nameSchema,
  submissionKey: nameSchema,
  taskCount: z.number().int().positive(),
  size: resourcesSchema,
  urgency: urgencySchema,
  workMs: z.number().nonnegative(),
});
export type JobRow = z.infer<typeof jobRowSchema>;

export const BatchTaskState = {
  Queued: 'queued',
  Assigned: 'assigned',
  Done: 'done',
  Failed: 'failed',
  Cancelled: 'cancelled',
} as const;
export type BatchTaskState = (typeof BatchTaskState)[keyof typeof BatchTaskState];

export const batchTaskSchema = z.strictObject({
  index: z.number().int().nonnegative(),
  state: z.enum([
    BatchTaskState.Queued,
    BatchTaskState.Assigned,
    BatchTaskState.Done,
    BatchTaskState.Failed,
    BatchTaskState.Cancelled,
  ]),
  /** The attempt that runs or, while queued, the one that comes next. */
  attempt: z.number().int().positive(),
  checkpoint: z.string().nullable(),
  evictionCount: z.number().int().nonnegative(),
  /** What the task's failures weigh; one on a doubtful worker weighs less. */
  failureWeight: z.number().int().nonnegative(),
});
export type BatchTask = z.infer<typeof batchTaskSchema>;

/** A shard: those tasks of a job that are in one cell, as far as they came there together. */
export const workRowSchema = z.strictObject({
  shardId: z.string(),
  jobId: z.string(),
  team: nameSchema,
  size: resourcesSchema,
  urgency: urgencySchema,
  workMs: z.number().nonnegative(),
  tasks: z.array(batchTaskSchema),
  /** Cells in which no worker is large enough, when the shard was passed on for that. */
  triedCells: z.array(z.string()).optional(),
  /** Cells that had no room for the tasks and handed them on. */
  handedOnBy: z.array(z.string()).optional(),
  /** Why the tasks that were queued can never run. */
  refusal: z.string().optional(),
});
export type WorkRow = z.infer<typeof workRowSchema>;

/** One attempt of a task, committed to a worker. */
export const assignmentSchema = z.strictObject({
  ...taskAttemptSchema.shape,
  workerId: z.string(),
  /** The incarnation that the task was given to; another one has lost it. */
  incarnation: z.string(),
  taskClass: taskClassSchema,
  /** Empty for batch tasks. */
  serviceName: z.string(),
  /** Empty for tasks of services. */
  shardId: z.string(),
  taskIndex: z.number().int().nonnegative(),
  size: resourcesSchema,
  workMs: z.number().nonnegative(),
  checkpoint: z.string().nullable(),
});
export type Assignment = z.infer<typeof assignmentSchema>;

/** All assignments on the workers of one rack; rows of former releases have them written out. */
export const ledgerRowSchema = z.union([
  ledgerColumnsSchema,
  z.strictObject({ assignments: z.array(assignmentSchema) }),
]);
export type LedgerRow = z.infer<typeof ledgerRowSchema>;

/** What a cell tells the others of the teams' quotas; `quotaParts.ts` says what follows from it. */
export const quotaShareSchema = z.strictObject({
  /** Tells which quota documents the cell divides; equal in cells that have read the same. */
  quotas: z.string(),
  /** The zones in use among which it divides them. */
  zones: z.array(z.string()),
  /** The highest number of an ask so far, so that none is used twice. */
  askCount: z.number().int().nonnegative(),
  /** Teams of which the cell needs more than its part, with the number of the ask. */
  asks: z.record(z.string(), z.number().int().positive()),
  /** What the cell gives up of its part, by team, for another cell's ask. */
  ceded: z.record(
    z.string(),
    z.strictObject({
      toCell: z.string(),
      ask: z.number().int().positive(),
      amount: resourcesSchema,
    }),
  ),
  /** What the cell still holds, by team, where that is more than its part. */
  held: z.record(z.string(), resourcesSchema),
});
export type QuotaShare = z.infer<typeof quotaShareSchema>;

/** What a cell tells the other cells, which read it twice a second; small for that reason. */
export const exchangeRowSchema = z.strictObject({
  quota: quotaShareSchema.optional(),
  /** What is free for other cells' tasks; nothing while tasks of the cell itself wait. */
  room: resourcesSchema.optional(),
});
export type ExchangeRow = z.infer<typeof exchangeRowSchema>;

/** The backend servers of one cell that may receive requests. */
export const endpointRowSchema = z.strictObject({
  servers: z.array(
    z.strictObject({ serviceName: z.string(), workerId: z.string(), taskId: z.string() }),
  ),
});
export type EndpointRow = z.infer<typeof endpointRowSchema>;

/** Jobs that one confirmed plan cancelled; the same row is written for every cell. */
export const cancellationRowSchema = z.strictObject({ jobIds: z.array(z.string()) });
export type CancellationRow = z.infer<typeof cancellationRowSchema>;

/** All leases granted in this epoch and before are over at an instant of the table's clock. */
const formerLeasesSchema = z.strictObject({
  upToEpoch: z.number().int().nonnegative(),
  overTableMs: z.number(),
});
export type FormerLeases = z.infer<typeof formerLeasesSchema>;

export const cellOwnerRowSchema = z.strictObject({
  ownerId: z.string(),
  epoch: z.number().int().positive(),
  /** When leases that former owners granted to workers are over; rising epochs. */
  formerLeases: z.array(formerLeasesSchema).optional(),
});
export type CellOwnerRow = z.infer<typeof cellOwnerRowSchema>;

export const heartbeatRowSchema = z.strictObject({
  counter: z.number().int().nonnegative(),
  /** When it was sent, on the table's clock, where the owner knows that. */
  sentAtTableMs: z.number().optional(),
  /** The least extra patience of an owner so far, where owners tell it. */
  leastDelayMs: z.number().nonnegative().optional(),
  /** What the clock that the owners keep showed when it was sent, where they keep one. */
  cellMs: z.number().nonnegative().optional(),
});
export type HeartbeatRow = z.infer<typeof heartbeatRowSchema>;

/** Workers that no owner has granted a lease since they were named. */
export const unreachedRowSchema = z.strictObject({
  /** When all their leases are over on the clock that the owners keep, by worker id. */
  leasesOverCellMs: z.record(z.string(), z.number()),
});
export type UnreachedRow = z.infer<typeof unreachedRowSchema>;

export const cellOwnerKey = (cell: string): string => `cell/${cell}/owner`;
export const cellHeartbeatKey = (cell: string): string => `cell/${cell}/heartbeat`;
/** Written by whoever adds work to a cell, so that its owner looks again. */
export const cellInboxKey = (cell: string): string => `cell/${cell}/inbox`;
/** Named by every transaction of the owner; a write to it stops those that may still land. */
export const cellFenceKey = (cell: string): string => `cell/${cell}/fence`;
export const cellUnreachedKey = (cell: string): string => `cell/${cell}/unreached`;
export const ledgerPrefix = (cell: string): string => `ledger/${cell}/`;
export const ledgerKey = (cell: string, rack: string): string => `${ledgerPrefix(cell)}${rack}`;
export const workPrefix = (cell: string): string => `work/${cell}/`;
export const workKey = (cell: string, shardId: string): string => `${workPrefix(cell)}${shardId}`;
export const finishedPrefix = (cell: string): string => `finished/${cell}/`;
export const finishedKey = (cell: string, shardId: string): string =>
  `${finishedPrefix(cell)}${shardId}`;
/** The id of the shard of a job that is first given to `cell`; shards of a job share a prefix. */
export const toShardId = (jobId: string, cell: string): string => `${jobId}~${cell}`;
export const cancellationPrefix = (cell: string): string => `cancellation/${cell}/`;
export const cancellationKey = (cell: string, planId: string): string =>
  `${cancellationPrefix(cell)}${planId}`;
export const ENDPOINT_PREFIX = 'endpoints/';
export const endpointKey = (cell: string): string => `${ENDPOINT_PREFIX}${cell}`;
export const EXCHANGE_PREFIX = 'exchange/';
export const exchangeKey = (cell: string): string => `${EXCHANGE_PREFIX}${cell}`;
export const ENDPOINT_MARK_PREFIX = 'endpoint-marks/';
/** Written with each change of the cell's endpoint row, so that readers need not read that. */
export const endpointMarkKey = (cell: string): string => `${ENDPOINT_MARK_PREFIX}${cell}`;
export const JOB_PREFIX = 'job/';
export const jobKey = (jobId: string): string => `${JOB_PREFIX}${jobId}`;

/** The id of a job: the same submission of the same team is the same job. */
export const toJobId = (team: string, submissionKey: string): string => `${team}.${submissionKey}`;

export const batchTaskId = (jobId: string, index: number): string => `${jobId}/${index}`;

const ENDED_STATES: ReadonlySet<BatchTaskState> = new Set([
  BatchTaskState.Done,
  BatchTaskState.Failed,
  BatchTaskState.Cancelled,
]);

export const isEnded = (task: BatchTask): boolean => ENDED_STATES.has(task.state);
