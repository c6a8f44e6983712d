/**
 * The table rows of work: jobs, their tasks in each cell, the ledger of assignments and the backend
 * servers of services. A cell consists of the workers of one availability zone.
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
  /** The running attempt or, while the task is queued, the next one. */
  attempt: z.number().int().positive(),
  checkpoint: z.string().nullable(),
  evictionCount: z.number().int().nonnegative(),
  /** The weighted sum of the task's failures; a failure on an unreliable worker weighs less. */
  failureWeight: z.number().int().nonnegative(),
});
export type BatchTask = z.infer<typeof batchTaskSchema>;

/** A shard: the tasks of a job that were given to one cell together. */
export const workRowSchema = z.strictObject({
  shardId: z.string(),
  jobId: z.string(),
  team: nameSchema,
  size: resourcesSchema,
  urgency: urgencySchema,
  workMs: z.number().nonnegative(),
  tasks: z.array(batchTaskSchema),
  /** The cells that passed the shard on because none of their workers is large enough. */
  triedCells: z.array(z.string()).optional(),
  /** The cells that handed the tasks on because they had no room. */
  handedOnBy: z.array(z.string()).optional(),
  /** The reason why the queued tasks can never run. */
  refusal: z.string().optional(),
});
export type WorkRow = z.infer<typeof workRowSchema>;

/** One attempt of a task, assigned to a worker. */
export const assignmentSchema = z.strictObject({
  ...taskAttemptSchema.shape,
  workerId: z.string(),
  /** The incarnation that the task was assigned to; any other incarnation has lost it. */
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

/** All assignments on the workers of one rack; older releases wrote them in plain format. */
export const ledgerRowSchema = z.union([
  ledgerColumnsSchema,
  z.strictObject({ assignments: z.array(assignmentSchema) }),
]);
export type LedgerRow = z.infer<typeof ledgerRowSchema>;

/** A cell's message to the other cells about the teams' quotas; see `quotaParts.ts`. */
export const quotaShareSchema = z.strictObject({
  /**
   * Identifies the quota documents that the cell divides; equal in cells that have read the same.
   */
  quotas: z.string(),
  /** The zones in use that the cell divides the quotas between. */
  zones: z.array(z.string()),
  /** The highest request number so far, so that no number is reused. */
  askCount: z.number().int().nonnegative(),
  /** Request numbers by team, for the teams whose quota part is too small for the cell. */
  asks: z.record(z.string(), z.number().int().positive()),
  /** The resources of its part that the cell cedes to another cell's request, by team. */
  ceded: z.record(
    z.string(),
    z.strictObject({
      toCell: z.string(),
      ask: z.number().int().positive(),
      amount: resourcesSchema,
    }),
  ),
  /** The resources that the cell still uses, by team, if they exceed its part. */
  held: z.record(z.string(), resourcesSchema),
});
export type QuotaShare = z.infer<typeof quotaShareSchema>;

/** A cell's message to the other cells; it is small because they read it twice a second. */
export const exchangeRowSchema = z.strictObject({
  quota: quotaShareSchema.optional(),
  /** Free resources for other cells' tasks; none while the cell's own tasks wait. */
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

/** The jobs that one confirmed plan cancelled; the same row is written for every cell. */
export const cancellationRowSchema = z.strictObject({ jobIds: z.array(z.string()) });
export type CancellationRow = z.infer<typeof cancellationRowSchema>;

/** The instant of the table's clock when all leases of an epoch and earlier have expired. */
const formerLeasesSchema = z.strictObject({
  upToEpoch: z.number().int().nonnegative(),
  overTableMs: z.number(),
});
export type FormerLeases = z.infer<typeof formerLeasesSchema>;

export const cellOwnerRowSchema = z.strictObject({
  ownerId: z.string(),
  epoch: z.number().int().positive(),
  /** When the worker leases that former owners granted expire, in ascending order of epochs. */
  formerLeases: z.array(formerLeasesSchema).optional(),
});
export type CellOwnerRow = z.infer<typeof cellOwnerRowSchema>;

export const heartbeatRowSchema = z.strictObject({
  counter: z.number().int().nonnegative(),
  /** The send time on the table's clock, if the owner knows it. */
  sentAtTableMs: z.number().optional(),
  /** The smallest extra takeover delay of all owners so far, if owners report it. */
  leastDelayMs: z.number().nonnegative().optional(),
  /** The send time on the clock that the owners maintain, if they maintain one. */
  cellMs: z.number().nonnegative().optional(),
});
export type HeartbeatRow = z.infer<typeof heartbeatRowSchema>;

/** Workers that no owner has granted a lease to since they were listed here. */
export const unreachedRowSchema = z.strictObject({
  /** When all leases of a worker have expired, on the clock of the owners, by worker id. */
  leasesOverCellMs: z.record(z.string(), z.number()),
});
export type UnreachedRow = z.infer<typeof unreachedRowSchema>;

export const cellOwnerKey = (cell: string): string => `cell/${cell}/owner`;
export const cellHeartbeatKey = (cell: string): string => `cell/${cell}/heartbeat`;
/** The key of a row that every writer of new work for a cell writes to notify the owner. */
export const cellInboxKey = (cell: string): string => `cell/${cell}/inbox`;
/** The key of a row in the conditions of all the owner's transactions; a write aborts late ones. */
export const cellFenceKey = (cell: string): string => `cell/${cell}/fence`;
export const cellUnreachedKey = (cell: string): string => `cell/${cell}/unreached`;
export const ledgerPrefix = (cell: string): string => `ledger/${cell}/`;
export const ledgerKey = (cell: string, rack: string): string => `${ledgerPrefix(cell)}${rack}`;
export const workPrefix = (cell: string): string => `work/${cell}/`;
export const workKey = (cell: string, shardId: string): string => `${workPrefix(cell)}${shardId}`;
export const finishedPrefix = (cell: string): string => `finished/${cell}/`;
export const finishedKey = (cell: string, shardId: string): string =>
  `${finishedPrefix(cell)}${shardId}`;
/** Returns the id of the shard that is first given to `cell`; a job's shards share a prefix. */
export const toShardId = (jobId: string, cell: string): string => `${jobId}~${cell}`;
export const cancellationPrefix = (cell: string): string => `cancellation/${cell}/`;
export const cancellationKey = (cell: string, planId: string): string =>
  `${cancellationPrefix(cell)}${planId}`;
export const ENDPOINT_PREFIX = 'endpoints/';
export const endpointKey = (cell: string): string => `${ENDPOINT_PREFIX}${cell}`;
export const EXCHANGE_PREFIX = 'exchange/';
export const exchangeKey = (cell: string): string => `${EXCHANGE_PREFIX}${cell}`;
export const ENDPOINT_MARK_PREFIX = 'endpoint-marks/';
/** The key of a row written with each change of the endpoint row, to avoid reads of the latter. */
export const endpointMarkKey = (cell: string): string => `${ENDPOINT_MARK_PREFIX}${cell}`;
export const JOB_PREFIX = 'job/';
export const jobKey = (jobId: string): string => `${JOB_PREFIX}${jobId}`;

/** Returns the id of a job; a repeated submission of the same team has the same id. */
export const toJobId = (team: string, submissionKey: string): string => `${team}.${submissionKey}`;

export const batchTaskId = (jobId: string, index: number): string => `${jobId}/${index}`;

const ENDED_STATES: ReadonlySet<BatchTaskState> = new Set([
  BatchTaskState.Done,
  BatchTaskState.Failed,
  BatchTaskState.Cancelled,
]);

export const isEnded = (task: BatchTask): boolean => ENDED_STATES.has(task.state);
