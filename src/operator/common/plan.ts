/** Plans: what an intent would change, shown before anything changes. */
import { z } from 'zod';

import type { JsonValue } from '../../base/common/json.js';
import { intentSchema } from './intent.js';

const jsonValue = z.custom<JsonValue>((value) => value !== undefined);

/** One row that the plan would write. */
export const planStepSchema = z.strictObject({
  key: z.string().min(1),
  /** Null when the row does not exist or is to be removed. */
  before: jsonValue,
  after: jsonValue,
  /** The version the row must still have when the plan is confirmed. */
  baseRowVersion: z.number().int().nonnegative(),
});
export type PlanStep = z.infer<typeof planStepSchema>;

export const PlanState = { Pending: 'pending', Confirmed: 'confirmed' } as const;
export type PlanState = (typeof PlanState)[keyof typeof PlanState];

export const planSchema = z.strictObject({
  planId: z.string().min(1),
  intent: intentSchema,
  author: z.string(),
  /** The configuration's version that the plan was made from. */
  baseVersion: z.number().int().nonnegative(),
  /** One line for people. */
  summary: z.string(),
  steps: z.array(planStepSchema),
  /** Cells whose owners look again once the plan is confirmed. */
  notifiedCells: z.array(z.string()),
  warnings: z.array(z.string()),
  createdAt: z.string(),
  expiresAt: z.string(),
  /** SHA-256 of everything the plan would do; confirming names it. */
  digest: z.string(),
  state: z.enum([PlanState.Pending, PlanState.Confirmed]),
  /** The configuration's version that the plan made; zero while it is pending. */
  acceptedVersion: z.number().int().nonnegative(),
});
export type Plan = z.infer<typeof planSchema>;

export const PLAN_PREFIX = 'plan/';
export const planKey = (planId: string): string => `${PLAN_PREFIX}${planId}`;

/** True when confirming the plan would change nothing. */
export const isEmptyPlan = (plan: Plan): boolean => plan.steps.length === 0;
