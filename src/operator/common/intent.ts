/** The requests that operators can make. An intent changes nothing; the answer to it is a plan. */
import { z } from 'zod';

import {
  nameSchema,
  policyDocumentSchema,
  serviceDocumentSchema,
  urgencySchema,
} from '../../services/configuration/common/documents.js';
import { resourcesSchema } from '../../services/worker/common/resources.js';

export const IntentKind = {
  CreateService: 'create-service',
  ChangeService: 'change-service',
  RemoveService: 'remove-service',
  SubmitJob: 'submit-job',
  SubmitJobs: 'submit-jobs',
  CancelJobs: 'cancel-jobs',
  WithdrawZone: 'withdraw-zone',
  UseZone: 'use-zone',
  DrainWorker: 'drain-worker',
  ReturnWorker: 'return-worker',
  SetQuota: 'set-quota',
  SetPolicy: 'set-policy',
  Revert: 'revert',
} as const;
export type IntentKind = (typeof IntentKind)[keyof typeof IntentKind];

const MAXIMUM_TASK_COUNT = 10_000;
/** A cancellation is written for every cell; this limit keeps its transaction under 1 MB. */
const MAXIMUM_CANCELLED_JOBS = 1_000;
/** Each job writes a row for itself and one for each zone. */
const MAXIMUM_SUBMITTED_JOBS = 100;
const MAXIMUM_JOB_ID_LENGTH = 127;

const jobTermsSchema = z.strictObject({
  team: nameSchema,
  /** Idempotency key: repeating a submission with the same key submits nothing more. */
  submissionKey: nameSchema,
  taskCount: z.number().int().min(1).max(MAXIMUM_TASK_COUNT),
  size: resourcesSchema,
  urgency: urgencySchema.default('normal'),
  /** The submitter's estimate of one task's run time. */
  workMs: z.number().nonnegative(),
});
export type JobTerms = z.infer<typeof jobTermsSchema>;

export const submitJobSchema = z.strictObject({
  intent: z.literal(IntentKind.SubmitJob),
  ...jobTermsSchema.shape,
});
export type SubmitJobIntent = z.infer<typeof submitJobSchema>;

/** Jobs that are submitted together, all or none. The limits make them fit in one transaction. */
const submitJobsSchema = z.strictObject({
  intent: z.literal(IntentKind.SubmitJobs),
  jobs: z
    .array(jobTermsSchema)
    .min(1)
    .max(MAXIMUM_SUBMITTED_JOBS)
    .refine(
      (jobs) =>
        new Set(jobs.map(({ team, submissionKey }) => `${team}.${submissionKey}`)).size ===
        jobs.length,
      'name the same submission twice',
    )
    .refine(
      (jobs) => jobs.reduce((sum, { taskCount }) => sum + taskCount, 0) <= MAXIMUM_TASK_COUNT,
      `have more than ${MAXIMUM_TASK_COUNT} tasks together`,
    ),
});

const unknownIntent = (issue: { readonly code: string }): string | undefined =>
  issue.code === 'invalid_union' ? `is none of ${Object.values(IntentKind).join(', ')}` : undefined;

export const intentSchema = z.discriminatedUnion(
  'intent',
  [
    z.strictObject({
      intent: z.literal(IntentKind.CreateService),
      service: serviceDocumentSchema,
    }),
    z.strictObject({
      intent: z.literal(IntentKind.ChangeService),
      service: serviceDocumentSchema,
    }),
    z.strictObject({ intent: z.literal(IntentKind.RemoveService), name: nameSchema }),
    submitJobSchema,
    submitJobsSchema,
    z.strictObject({
      intent: z.literal(IntentKind.CancelJobs),
      jobIds: z
        .array(z.string().min(1).max(MAXIMUM_JOB_ID_LENGTH))
        .min(1)
        .max(MAXIMUM_CANCELLED_JOBS),
    }),
    z.strictObject({ intent: z.literal(IntentKind.WithdrawZone), zone: nameSchema }),
    z.strictObject({
      intent: z.literal(IntentKind.UseZone),
      zone: nameSchema,
      region: nameSchema,
    }),
    z.strictObject({ intent: z.literal(IntentKind.DrainWorker), workerId: nameSchema }),
    z.strictObject({ intent: z.literal(IntentKind.ReturnWorker), workerId: nameSchema }),
    z.strictObject({
      intent: z.literal(IntentKind.SetQuota),
      team: nameSchema,
      limit: resourcesSchema,
    }),
    z.strictObject({
      intent: z.literal(IntentKind.SetPolicy),
      /** Fields that are left out keep their values. */
      policy: policyDocumentSchema.partial(),
    }),
    z.strictObject({
      /** Undoes the changes of one version. The undo creates a new version. */
      intent: z.literal(IntentKind.Revert),
      version: z.number().int().positive(),
    }),
  ],
  { error: unknownIntent },
);
export type Intent = z.infer<typeof intentSchema>;
