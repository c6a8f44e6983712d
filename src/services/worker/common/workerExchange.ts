/**
 * The wire format of the messages between a cell's owner and a worker. Reports contain the changes
 * since a revision that the owner names, and one blanket renewal covers all attempts that ran at
 * that revision. `ReportMirror` is the owner's side, `RevisionedWorker` the worker's.
 *
 * A worker that supports revisions adds one to its full report. Only then does the owner send the
 * fields that are added here and leave out empty lists. Workers without support for revisions
 * receive unchanged messages and continue to send full reports.
 */
import { z } from 'zod';

import {
  startRequestSchema,
  taskAttemptSchema,
  workerCommandSchema,
  workerReportSchema,
  workerTaskReportSchema,
} from './workerClient.js';

const { incarnation, cellEpoch, renewals, throttles } = workerCommandSchema.shape;
const attemptsSchema = z.array(taskAttemptSchema);

/** Renews every attempt that runs now and ran at the known revision, except those in `except`. */
const blanketRenewalSchema = z.strictObject({
  leaseUntilWorkerMs: z.number(),
  except: attemptsSchema.default([]),
});

export const wireCommandSchema = z.strictObject({
  incarnation,
  cellEpoch,
  renewals: renewals.default([]),
  starts: z.array(startRequestSchema).default([]),
  evictions: attemptsSchema.default([]),
  throttles: throttles.default([]),
  acknowledgements: attemptsSchema.default([]),
  /** The revision of the worker's tasks that the owner knows completely. */
  knownRevision: z.number().int().nonnegative().optional(),
  blanketRenewal: blanketRenewalSchema.optional(),
});
/** The command as sent; absent lists are empty. */
export type WireCommand = z.input<typeof wireCommandSchema>;
export type ReceivedCommand = z.output<typeof wireCommandSchema>;

/** The changes between two revisions of the incarnation that the command named. */
export const changesReportSchema = z.strictObject({
  baseRevision: z.number().int().nonnegative(),
  revision: z.number().int().nonnegative(),
  workerNowMs: z.number(),
  /** The full reports of attempts that are new or changed. */
  tasks: z.array(workerTaskReportSchema).default([]),
  /** Attempts that the worker has forgotten. */
  forgotten: attemptsSchema.default([]),
});

export const fullReportSchema = z.strictObject({
  ...workerReportSchema.omit({ latestLeaseUntilWorkerMs: true }).shape,
  /** Absent from workers that do not support revisions. */
  revision: z.number().int().nonnegative().optional(),
});

export const wireReportSchema = z.union([changesReportSchema, fullReportSchema]);
export type WireReport = z.output<typeof wireReportSchema>;
/** The report as sent; absent lists are empty. */
export type SentReport = z.input<typeof wireReportSchema>;
