/**
 * The platform's interface to a worker. A worker runs tasks under leases that end at an instant of
 * its own clock. Every message that would be unsafe if delayed contains such an instant.
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
  /** Stopped by the worker because its lease expired. */
  Lapsed: 'lapsed',
} as const;
export type WorkerTaskState = (typeof WorkerTaskState)[keyof typeof WorkerTaskState];

/** Identifies one attempt of a task; two attempts of a task must never run concurrently. */
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
  /** The worker refuses the start after this instant of its clock. */
  startBeforeWorkerMs: z.number(),
  leaseUntilWorkerMs: z.number(),
});
export type StartRequest = z.infer<typeof startRequestSchema>;

/** One message to a worker with renewals, starts, evictions, throttles and acknowledgements. */
export const workerCommandSchema = z.strictObject({
  /** The intended incarnation; another incarnation only reports its state. */
  incarnation: z.string(),
  /** The worker refuses epochs below the highest it has seen, so a former owner is fenced off. */
  cellEpoch: z.number().int().nonnegative(),
  renewals: z.array(z.strictObject({ ...taskAttemptSchema.shape, leaseUntilWorkerMs: z.number() })),
  starts: z.array(startRequestSchema),
  evictions: z.array(taskAttemptSchema),
  throttles: z.array(
    z.strictObject({ ...taskAttemptSchema.shape, processorShare: z.number().min(0).max(1) }),
  ),
  /** Ended attempts whose end is recorded; the worker may forget them. */
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
  /** Measured usage, which lags by several seconds. */
  usage: resourcesSchema,
  checkpoint: z.string().nullable(),
  /** When the attempt's lease ends on the worker's clock. */
  leaseUntilWorkerMs: z.number(),
  /** The share of its processors that a throttled task keeps; absent if it is not throttled. */
  processorShare: z.number().min(0).max(1).optional(),
  /** The work that an eviction would lose; absent if the worker does not know it. */
  unsavedWorkMs: z.number().nonnegative().optional(),
});
export type WorkerTaskReport = z.infer<typeof workerTaskReportSchema>;

export const workerReportSchema = z.strictObject({
  workerId: z.string(),
  /** Changes when the worker loses its state. */
  incarnation: z.string(),
  /** The worker's own monotonic clock when it created the report. */
  workerNowMs: z.number(),
  tasks: z.array(workerTaskReportSchema),
  /**
   * An upper bound of all lease ends, set if the report was assembled from changes. In that case a
   * task's own `leaseUntilWorkerMs` is as of the task's last change. Never sent.
   */
  latestLeaseUntilWorkerMs: z.number().optional(),
});
export type WorkerReport = z.infer<typeof workerReportSchema>;

export interface WorkerClient {
  /** Executes the parts of the command that are still valid and returns the resulting state. */
  command(command: WorkerCommand): TaskEither<Failure, WorkerReport>;
  report(): TaskEither<Failure, WorkerReport>;
}
