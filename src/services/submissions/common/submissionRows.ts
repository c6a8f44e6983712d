/**
 * The table rows of submissions. An entry instance adds `submissions/ID/spec` and
 * `submissions/ID/cancel`; only the scheduler writes `progress/ID`, `assignments/ID` and
 * `checkpoints/INDEX`. The scheduler's rows are in tables of their own, so that the feed of the callers' changes, which the
 * scheduler follows, does not contain its own writes.
 */
import { z } from 'zod';

import { resourcesSchema } from '../../worker/common/resources.js';
import { SubmissionState } from './submission.js';

const wholeNumberSchema = z.number().int().nonnegative();

const stepSchema = z.strictObject({
  taskCount: wholeNumberSchema,
  size: resourcesSchema,
  estimateMs: z.number().nonnegative(),
  after: z.array(wholeNumberSchema),
  isGang: z.boolean(),
  prefersOneRack: z.boolean(),
  requiredLabel: z.string(),
  dataRack: z.string(),
  maximumPerWorker: wholeNumberSchema,
  isSpeculative: z.boolean(),
  isPersistent: z.boolean(),
  savesProgress: z.boolean(),
  image: z.string(),
  targetLatencyMs: z.number().nonnegative(),
  isFiller: z.boolean(),
  toleratedAwayCount: wholeNumberSchema,
});

const queueTermsSchema = z.strictObject({
  priority: z.number(),
  maximumAttempts: z.number(),
  objectiveStretch: z.number(),
  objectiveMs: z.number(),
});

export const submissionSchema = z.strictObject({
  id: z.string(),
  queueName: z.string(),
  serviceName: z.string(),
  queueTerms: queueTermsSchema.optional(),
  spec: z.string(),
  steps: z.array(stepSchema),
  occurrenceCount: wholeNumberSchema,
  firstDueWallMs: z.number(),
  occurrenceIntervalMs: z.number().nonnegative(),
  acceptedWallMs: z.number(),
  tasksPerPage: z.number().int().positive().optional(),
});

/**
 * The progress of a submission, which must survive a change of the scheduler: the successful tasks
 * and the failed attempts, by the index of the task among all tasks of the submission.
 */
export const progressSchema = z.strictObject({
  state: z.enum(SubmissionState),
  /** Indexes of the tasks that have succeeded. */
  done: z.array(wholeNumberSchema),
  /** Run numbers of failed attempts by the task's index. */
  failedRuns: z.record(z.string(), z.array(wholeNumberSchema)),
});
export type Progress = z.infer<typeof progressSchema>;

/**
 * The assignments of a submission's tasks: a flat list of pairs of task index and run number for
 * each worker. The row is written before the starts are sent, so that a new owner of the fleet
 * knows which tasks cannot be running on workers that it does not reach. It may still contain runs
 * that are over. The empty worker name lists persistent tasks that wait for a restart, with their
 * last run.
 */
export const assignmentsSchema = z.record(z.string(), z.array(wholeNumberSchema));
export type Assignments = z.infer<typeof assignmentsSchema>;

/**
 * Progress and assignments of a range of the tasks of a submission that is too large for one row;
 * its `progress` row has the state only. Builds that don't know such pages must not take that row
 * for the whole progress. They can't read the submission, as `tasksPerPage` is set there.
 */
export const taskPageSchema = z.strictObject({
  done: z.array(wholeNumberSchema),
  failedRuns: z.record(z.string(), z.array(wholeNumberSchema)),
  assignments: assignmentsSchema,
});
export type TaskPage = z.infer<typeof taskPageSchema>;

/**
 * Checkpoints of tasks for the next owner, in pairs of task index and checkpoint by submission. The
 * index is that of the task among all tasks of the submission; for a gang, that of its first member.
 * The page may still contain tasks that have ended.
 */
export const checkpointPageSchema = z.record(
  z.string(),
  z.array(z.tuple([wholeNumberSchema, z.string()])),
);
export type CheckpointPage = z.infer<typeof checkpointPageSchema>;

/** A page of checkpoints with the index from its key. */
export interface StoredCheckpoints {
  readonly index: number;
  readonly page: CheckpointPage;
}

/** The number of submissions of each queue that wait for their first start. */
export const waitingCountsSchema = z.strictObject({
  /** The epoch of the scheduler that wrote the row. */
  epoch: wholeNumberSchema,
  byQueue: z.record(z.string(), wholeNumberSchema),
});
export type WaitingCounts = z.infer<typeof waitingCountsSchema>;

export const SUBMISSION_TABLE = 'submissions';
export const PROGRESS_TABLE = 'progress';
export const ASSIGNMENT_TABLE = 'assignments';
export const CHECKPOINT_TABLE = 'checkpoints';
export const TASK_PAGE_TABLE = 'task-pages';
const SPEC_SUFFIX = '/spec';
const CANCEL_SUFFIX = '/cancel';

export const SUBMISSIONS_PREFIX = `${SUBMISSION_TABLE}/`;
export const PROGRESS_PREFIX = `${PROGRESS_TABLE}/`;
export const ASSIGNMENT_PREFIX = `${ASSIGNMENT_TABLE}/`;
export const CHECKPOINT_PREFIX = `${CHECKPOINT_TABLE}/`;
export const TASK_PAGE_PREFIX = `${TASK_PAGE_TABLE}/`;
export const WAITING_COUNTS_KEY = 'scheduling/waiting-counts';
/** The learnt interference between images, stored for the next owner. */
export const INTERFERENCE_KEY = 'scheduling/interference';

/**
 * For each pair of images, the headroom that a serving task loses on a worker that is full of the
 * filler.
 */
export const learntInterferenceSchema = z.array(
  z.strictObject({
    servingImage: z.string(),
    fillerImage: z.string(),
    headroomLoss: z.number().nonnegative(),
  }),
);
export type LearntInterference = z.infer<typeof learntInterferenceSchema>;

/** The workers that the scheduler has granted leases to, stored for the next owner. */
export const ROSTER_KEY = 'scheduling/roster';

/**
 * A worker with a limit has no lease beyond that limit, on the table's clock, until the row is
 * rewritten. The owner of the roster's epoch may grant leases to a worker without a limit at any
 * time.
 */
export const rosterSchema = z.strictObject({
  epoch: wholeNumberSchema,
  /** Id, address, and limit or null; tuples, because one row holds the whole fleet. */
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
 * The key of a row that every cancellation writes, even of an unknown id. An acceptance whose
 * answer was lost may still be stored later, and it must not start work that its caller was told is
 * cancelled.
 */
export const cancelKey = (id: string): string => `${SUBMISSIONS_PREFIX}${id}${CANCEL_SUFFIX}`;
export const progressKey = (id: string): string => `${PROGRESS_PREFIX}${id}`;
export const assignmentsKey = (id: string): string => `${ASSIGNMENT_PREFIX}${id}`;
export const checkpointPageKey = (index: number): string => `${CHECKPOINT_PREFIX}${index}`;
export const taskPageKey = (id: string, index: number): string =>
  `${TASK_PAGE_PREFIX}${id}/${index}`;

/** Returns the submission and the index of a page of tasks. */
export const parseTaskPageKey = (
  key: string,
): { readonly id: string; readonly index: number } | undefined => {
  const [id = '', index = ''] = key.slice(TASK_PAGE_PREFIX.length).split('/');
  const isPage = key.startsWith(TASK_PAGE_PREFIX) && id !== '' && /^\d+$/u.test(index);
  return isPage ? { id, index: Number(index) } : undefined;
};

/** Returns the id and the kind of a row of the submission table. */
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
