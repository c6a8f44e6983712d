/**
 * Rows of the table that hold submissions. An entry instance adds `submissions/ID/spec` and
 * `submissions/ID/cancel`; the scheduler alone writes `progress/ID` and `assignments/ID`. They
 * stand in tables of their own, so that the scheduler follows what callers do without its own writes among it.
 */
import { z } from 'zod';

import { resourcesSchema } from '../../worker/common/resources.js';
import { SubmissionState } from './submission.js';

const wholeSchema = z.number().int().nonnegative();

const stepSchema = z.strictObject({
  taskCount: wholeSchema,
  size: resourcesSchema,
  estimateMs: z.number().nonnegative(),
  after: z.array(wholeSchema),
  isGang: z.boolean(),
  prefersOneRack: z.boolean(),
  requiredLabel: z.string(),
  dataRack: z.string(),
  maximumPerWorker: wholeSchema,
  isSpeculative: z.boolean(),
  isPersistent: z.boolean(),
  savesProgress: z.boolean(),
  image: z.string(),
  targetLatencyMs: z.number().nonnegative(),
  isFiller: z.boolean(),
  toleratedAwayCount: wholeSchema,
});

export const submissionSchema = z.strictObject({
  id: z.string(),
  queueName: z.string(),
  serviceName: z.string(),
  spec: z.string(),
  steps: z.array(stepSchema),
  occurrenceCount: wholeSchema,
  firstDueWallMs: z.number(),
  occurrenceIntervalMs: z.number().nonnegative(),
  acceptedWallMs: z.number(),
});

/**
 * What must survive the scheduler: the tasks that have ended well and the failed attempts, by
 * the task's place among all tasks of the submission.
 */
export const progressSchema = z.strictObject({
  state: z.enum(SubmissionState),
  /** Places of the tasks that have ended well. */
  done: z.array(wholeSchema),
  /** Run numbers of failed attempts by the task's place. */
  failedRuns: z.record(z.string(), z.array(wholeSchema)),
});
export type Progress = z.infer<typeof progressSchema>;

/**
 * Which worker was given which task of a submission: pairs of a task's place and its run number,
 * by worker. Written before the starts are sent, so that a new owner of the fleet knows which tasks
 * cannot run on the workers it does not reach. Runs that are over may still be in it.
 *
 * Tasks that last and wait for another worker are listed under no worker, with their last run: a
 * new owner has to tell them from those that never ran.
 */
export const assignmentsSchema = z.record(z.string(), z.array(wholeSchema));
export type Assignments = z.infer<typeof assignmentsSchema>;
export const NO_WORKER_ID = '';

/** How many submissions of each queue wait for their first start, as the scheduler counts. */
export const waitingCountsSchema = z.strictObject({
  /** The epoch of the scheduler that wrote the row. */
  epoch: wholeSchema,
  byQueue: z.record(z.string(), wholeSchema),
});
export type WaitingCounts = z.infer<typeof waitingCountsSchema>;

export const SUBMISSION_TABLE = 'submissions';
export const PROGRESS_TABLE = 'progress';
export const ASSIGNMENT_TABLE = 'assignments';
const SPEC_SUFFIX = '/spec';
const CANCEL_SUFFIX = '/cancel';

export const SUBMISSIONS_PREFIX = `${SUBMISSION_TABLE}/`;
export const PROGRESS_PREFIX = `${PROGRESS_TABLE}/`;
export const ASSIGNMENT_PREFIX = `${ASSIGNMENT_TABLE}/`;
export const WAITING_COUNTS_KEY = 'scheduling/waiting-counts';
/** Learnt interference between images, for the successor. */
export const INTERFERENCE_KEY = 'scheduling/interference';

/** One pair of images: what a worker full of the filler takes of the headroom of what serves. */
export const learntInterferenceSchema = z.array(
  z.strictObject({
    servingImage: z.string(),
    fillerImage: z.string(),
    headroomLoss: z.number().nonnegative(),
  }),
);
export type LearntInterference = z.infer<typeof learntInterferenceSchema>;

/** Workers that the scheduler has granted leases to, for its successor. */
export const ROSTER_KEY = 'scheduling/roster';

/**
 * A worker with a limit has no lease beyond it, on the table's clock, until the row is written
 * anew. One without a limit may be granted leases by the owner of the roster's epoch at any time.
 */
export const rosterSchema = z.strictObject({
  epoch: wholeSchema,
  /** Id, address and limit, or null without one; short, since one row holds the whole fleet. */
  workers: z.array(z.tuple([z.string(), z.string(), z.number().nullable()])),
});
export type RosterRow = z.infer<typeof rosterSchema>;

export interface RosterEntry {
  readonly id: string;
  readonly address: string;
  readonly limitTableMs: number | undefined;
}

export const toRosterEntries = ({ workers }: RosterRow): readonly RosterEntry[] =>
  workers.map(([id, address, limitMs]) => ({
    ...{ id, address },
    limitTableMs: limitMs ?? undefined,
  }));

export const specKey = (id: string): string => `${SUBMISSIONS_PREFIX}${id}${SPEC_SUFFIX}`;
/**
 * Written by every cancellation, also of an unknown id: an acceptance whose answer was lost may
 * still land, and must not start what its caller has been told is cancelled.
 */
export const cancelKey = (id: string): string => `${SUBMISSIONS_PREFIX}${id}${CANCEL_SUFFIX}`;
export const progressKey = (id: string): string => `${PROGRESS_PREFIX}${id}`;
export const assignmentsKey = (id: string): string => `${ASSIGNMENT_PREFIX}${id}`;

/** The id and kind of a row of the submissions' table. */
export const parseSubmissionKey = (
  key: string,
): { readonly id: string; readonly isCancellation: boolean } | undefined => {
  if (!key.startsWith(SUBMISSIONS_PREFIX)) return undefined;
  const rest = key.slice(SUBMISSIONS_PREFIX.length);
  if (rest.endsWith(SPEC_SUFFIX)) {
    return { id: rest.slice(0, -SPEC_SUFFIX.length), isCancellation: false };
  }
  if (rest.endsWith(CANCEL_SUFFIX)) {
    return { id: rest.slice(0, -CANCEL_SUFFIX.length), isCancellation: true };
  }
  return undefined;
};
