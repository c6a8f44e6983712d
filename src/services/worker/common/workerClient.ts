/**
 * The platform's interface to a worker. A worker runs tasks under leases that end at an instant
 * of its own clock; every message that is unsafe when it comes late carries such an instant.
 */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import { z } from 'zod';

import type { Failure } from '../../errors/common/errorKinds.js';
import { resourcesSchema } from './resources.js';

export const TaskClass = { LatencyCritical: 'latency-critical', Batch: 'batch' } as const;
export type TaskClass = (typeof TaskClass)[keyof typeof TaskClass];

export const taskClassSchema = z.enum([TaskClass.LatencyCritical, TaskClass.Batch]);

export const WorkerTaskState = {
  Running: 'running',
  Finished: 'finished',
  Failed: 'failed',
  /** Stopped on request; the checkpoint, if any, is in the object store. */
  Evicted: 'evicted',
  /** Stopped by the worker because its lease ran out. */
  Lapsed: 'lapsed',
} as const;
export type WorkerTaskState = (typeof WorkerTaskState)[keyof typeof WorkerTaskState];

/** Names one attempt at a task; no two attempts of a task may run at a time. */
export const taskAttemptSchema = z.strictObject({
  taskId: z.string().min(1),
  attempt: z.number().int().positive(),
});
export type TaskAttempt = z.infer<typeof taskAttemptSchema>;

export const startRequestSchema = z.strictObject({
  ...taskAttemptSchema.shape,
  taskClass: taskClassSchema,
  /** The service whose requests the task answers; empty for batch tasks. */
  serviceName: z.string(),
  size: resourcesSchema,
  workMs: z.number().nonnegative(),
  checkpoint: z.string().nullable(),
  /** After this instant the worker refuses the start. */
  startBeforeWorkerMs: z.number(),
  leaseUntilWorkerMs: z.number(),
});
export type StartRequest = z.infer<typeof startRequestSchema>;

/** One message to a worker: renewals, starts, evictions and acknowledgements together. */
export const workerCommandSchema = z.strictObject({
  /** The incarnation the message is meant for; another one only reports. */
  incarnation: z.string(),
  /** The worker refuses epochs below the highest it has seen, which shuts out a former owner. */
  cellEpoch: z.number().int().nonnegative(),
  renewals: z.array(z.strictObject({ ...taskAttemptSchema.shape, leaseUntilWorkerMs: z.number() })),
  starts: z.array(startRequestSchema),
  evictions: z.array(taskAttemptSchema),
  throttles: z.array(
    z.strictObject({ ...taskAttemptSchema.shape, processorShare: z.number().min(0).max(1) }),
  ),
  /** Ended attempts whose end is recorded; the worker forgets them. */
  acknowledgements: z.array(taskAttemptSchema),
});
export type WorkerCommand = z.infer<typeof workerCommandSchema>;

export const workerTaskReportSchema = z.strictObject({
  ...taskAttemptSchema.shape,
  state: z.enum([
    WorkerTaskState.Running,
    WorkerTaskState.Finished,
    WorkerTaskState.Failed,
    WorkerTaskState.Evicted,
    WorkerTaskState.Lapsed,
  ]),
  size: resourcesSchema,
  /** Measured use, lagging by several seconds. */
  usage: resourcesSchema,
  checkpoint: z.string().nullable(),
  /** When the attempt's lease ends on the worker's clock. */
  leaseUntilWorkerMs: z.number(),
  /** What a throttle leaves the task of its processors; left out while it is not throttled. */
  processorShare: z.number().min(0).max(1).optional(),
  /** Work that an eviction would lose; left out by a worker that cannot tell. */
  unsavedWorkMs: z.number().nonnegative().optional(),
});
export type WorkerTaskReport = z.infer<typeof workerTaskReportSchema>;

export const workerReportSchema = z.strictObject({
  workerId: z.string(),
  /** Changes when the worker loses its memory. */
  incarnation: z.string(),
  /** The worker's own monotonic clock when the report was made. */
  workerNowMs: z.number(),
  tasks: z.array(workerTaskReportSchema),
  /**
   * No task's lease ends later. Set where the report was put together from changes, in which a
   * task's own `leaseUntilWorkerMs` is that of the last change; never sent.
   */
  latestLeaseUntilWorkerMs: z.number().optional(),
});
export type WorkerReport = z.infer<typeof workerReportSchema>;

export interface WorkerClient {
  /** Carries out what is still valid and answers with the state after it. */
  command(command: WorkerCommand): TaskEither<Failure, WorkerReport>;
  report(): TaskEither<Failure, WorkerReport>;
}
