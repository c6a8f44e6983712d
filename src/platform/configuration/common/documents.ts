/**
 * The documents that operators change by confirmed plans, and the keys of their table rows.
 * One row holds the version; every accepted plan raises it by one.
 */
import { z } from 'zod';

import { resourcesSchema } from '../../worker/common/resources.js';

/** How urgent work is; a higher class is served and placed first. */
export const Urgency = { Urgent: 'urgent', Normal: 'normal', Low: 'low' } as const;
export type Urgency = (typeof Urgency)[keyof typeof Urgency];

export const urgencySchema = z.enum([Urgency.Urgent, Urgency.Normal, Urgency.Low]);

/** Names take part in row keys, so they are kept to a safe alphabet. */
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

/** A zone is used only after an operator has brought it into use by a first plan. */
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

export const versionRowSchema = z.strictObject({
  version: z.number().int().nonnegative(),
});

/** What one accepted plan changed; the row is never written again. */
export const changeRowSchema = z.strictObject({
  version: z.number().int().positive(),
  planId: z.string(),
  author: z.string(),
  acceptedAt: z.string(),
  summary: z.string(),
  /** Keys of all rows the plan wrote, so that readers fetch just these. */
  keys: z.array(z.string()),
});
export type ChangeRow = z.infer<typeof changeRowSchema>;

export const VERSION_KEY = 'configuration/version';
export const DOCUMENT_PREFIX = 'configuration/document/';
export const SERVICE_PREFIX = `${DOCUMENT_PREFIX}service/`;
export const ZONE_PREFIX = `${DOCUMENT_PREFIX}zone/`;
export const WORKER_PREFIX = `${DOCUMENT_PREFIX}worker/`;
export const QUOTA_PREFIX = `${DOCUMENT_PREFIX}quota/`;
export const CHANGE_PREFIX = 'configuration/change/';

const VERSION_DIGITS = 12;

export const serviceKey = (name: string): string => `${SERVICE_PREFIX}${name}`;
export const zoneKey = (name: string): string => `${ZONE_PREFIX}${name}`;
export const workerKey = (id: string): string => `${WORKER_PREFIX}${id}`;
export const quotaKey = (team: string): string => `${QUOTA_PREFIX}${team}`;
export const changeKey = (version: number): string =>
  `${CHANGE_PREFIX}${String(version).padStart(VERSION_DIGITS, '0')}`;
