/**
 * The configuration documents, which operators change by confirming plans, and the keys of their
 * table rows. One row holds the configuration version; every accepted plan increments it.
 */
import { z } from 'zod';

import type { JsonValue } from '../../../base/common/json.js';
import type { TableRow } from '../../table/common/table.js';
import { resourcesSchema } from '../../worker/common/resources.js';

/** The urgency class of work; more urgent work is served and placed first. */
export const Urgency = { Urgent: 'urgent', Normal: 'normal', Low: 'low' } as const;
export type Urgency = (typeof Urgency)[keyof typeof Urgency];

/** Sort ranks; the most urgent class has the lowest rank. */
export const URGENCY_ORDER: Readonly<Record<Urgency, number>> = {
  [Urgency.Urgent]: 0,
  [Urgency.Normal]: 1,
  [Urgency.Low]: 2,
};

export const urgencySchema = z.enum([Urgency.Urgent, Urgency.Normal, Urgency.Low]);

/** Names are part of row keys, so only characters that are safe in keys are allowed. */
export const nameSchema = z.string().regex(/^[a-z0-9]([a-z0-9-]{0,62})$/u, 'is not a valid name');

export const serviceDocumentSchema = z.strictObject({
  name: nameSchema,
  team: nameSchema,
  replicaCount: z.number().int().min(1).max(10_000),
  size: resourcesSchema,
  urgency: urgencySchema,
});
export type ServiceDocument = z.infer<typeof serviceDocumentSchema>;

export const ZoneState = { InUse: 'in-use', Withdrawn: 'withdrawn' } as const;
export type ZoneState = (typeof ZoneState)[keyof typeof ZoneState];

/** A zone is not used until a first plan of an operator brings it into use. */
export const zoneDocumentSchema = z.strictObject({
  name: nameSchema,
  region: nameSchema,
  state: z.enum([ZoneState.InUse, ZoneState.Withdrawn]),
});
export type ZoneDocument = z.infer<typeof zoneDocumentSchema>;

export const workerDocumentSchema = z.strictObject({
  id: nameSchema,
  isDraining: z.boolean(),
});
export type WorkerDocument = z.infer<typeof workerDocumentSchema>;

export const quotaDocumentSchema = z.strictObject({
  team: nameSchema,
  limit: resourcesSchema,
});
export type QuotaDocument = z.infer<typeof quotaDocumentSchema>;

/** Limits that apply to every later plan. They do not affect what is already in force. */
export const policyDocumentSchema = z.strictObject({
  /** False while operators accept no new batch work, for example in an emergency. */
  isSubmissionOpen: z.boolean(),
  maximumTaskCountOfJob: z.number().int().min(1).max(10_000),
  maximumReplicaCount: z.number().int().min(1).max(10_000),
  /** Limits how many jobs one mistaken cancellation can affect. */
  maximumCancelledJobCount: z.number().int().min(1).max(1_000),
  /** Whether tasks are committed with sizes learnt from usage instead of their declared sizes. */
  isSizeLearnt: z.boolean(),
});
export type PolicyDocument = z.infer<typeof policyDocumentSchema>;

export const DEFAULT_POLICY: PolicyDocument = {
  isSubmissionOpen: true,
  maximumTaskCountOfJob: 10_000,
  maximumReplicaCount: 10_000,
  maximumCancelledJobCount: 1_000,
  isSizeLearnt: true,
};

export const versionRowSchema = z.strictObject({
  version: z.number().int().nonnegative(),
});

/** A document before and after an accepted plan; null where the document does not exist. */
export const documentChangeSchema = z.strictObject({
  key: z.string().min(1),
  before: z.custom<JsonValue>((value) => value !== undefined),
  after: z.custom<JsonValue>((value) => value !== undefined),
});
export type DocumentChange = z.infer<typeof documentChangeSchema>;

/**
 * The changes made by one accepted plan. The row is written once. It contains the documents, so a
 * daemon can follow the configuration by reading only the changes it has not seen, and a plan
 * that reverts a version finds the documents from before it.
 */
export const changeRowSchema = z.strictObject({
  version: z.number().int().positive(),
  planId: z.string(),
  author: z.string(),
  acceptedAt: z.string(),
  summary: z.string(),
  /** Keys of all rows that the plan wrote; a plan that conflicts with it reports them. */
  keys: z.array(z.string()),
  documents: z.array(documentChangeSchema),
});
export type ChangeRow = z.infer<typeof changeRowSchema>;

export const VERSION_KEY = 'configuration/version';
export const DOCUMENT_PREFIX = 'configuration/document/';
export const SERVICE_PREFIX = `${DOCUMENT_PREFIX}service/`;
export const ZONE_PREFIX = `${DOCUMENT_PREFIX}zone/`;
export const WORKER_PREFIX = `${DOCUMENT_PREFIX}worker/`;
export const QUOTA_PREFIX = `${DOCUMENT_PREFIX}quota/`;
export const POLICY_KEY = `${DOCUMENT_PREFIX}policy`;
export const CHANGE_PREFIX = 'configuration/change/';

const VERSION_DIGITS = 12;

export const serviceKey = (name: string): string => `${SERVICE_PREFIX}${name}`;
export const zoneKey = (name: string): string => `${ZONE_PREFIX}${name}`;
export const workerKey = (id: string): string => `${WORKER_PREFIX}${id}`;
export const quotaKey = (team: string): string => `${QUOTA_PREFIX}${team}`;
export const changeKey = (version: number): string =>
  `${CHANGE_PREFIX}${String(version).padStart(VERSION_DIGITS, '0')}`;

/**
 * Parses a policy. A limit that is missing, because the row is older than the limit, gets its
 * default.
 * @throws {z.ZodError} when the value does not match the schema of a policy
 */
export const parsePolicy = (value: JsonValue): PolicyDocument => {
  const stated = policyDocumentSchema.partial().parse(value);
  return policyDocumentSchema.parse({ ...DEFAULT_POLICY, ...stated });
};

/**
 * Finds the configuration version in the rows of a read; zero before the first plan is accepted.
 * @throws {z.ZodError} when the version row does not match its schema
 */
export const toVersion = (rows: readonly TableRow[]): number => {
  const row = rows.find(({ key }) => key === VERSION_KEY);
  return row === undefined ? 0 : versionRowSchema.parse(row.value).version;
};
