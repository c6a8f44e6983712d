/** A plan lists the changes of an intent and shows them to the operator before they are made. */
import { z } from 'zod';

import type { JsonValue } from '../../base/common/json.js';
import { resourcesSchema } from '../../services/worker/common/resources.js';
import { freshTasksSchema } from './freshTasks.js';
import { intentSchema } from './intent.js';

const jsonValue = z.custom<JsonValue>((value) => value !== undefined);

/** One row that the plan would write. */
export const planStepSchema = z.strictObject({
  key: z.string().min(1),
  /** Null if the row does not exist. */
  before: jsonValue,
  /**
   * Null if the row is to be removed. Equal to `before` for a row that is rewritten unchanged, so
   * that of several plans that write it only one is accepted.
   */
  after: jsonValue,
  /** The version the row must still have when the plan is confirmed. */
  baseRowVersion: z.number().int().nonnegative(),
});

/** A step as stored in the plan's row. */
const storedStepSchema = planStepSchema.extend({
  /** Present if `after` is a shard whose tasks are left out; see `freshTasks.ts`. */
  freshTasks: freshTasksSchema.optional(),
});
export type PlanStep = z.infer<typeof storedStepSchema>;

/** A row that the plan relies on without writing it. */
export const planGuardSchema = z.strictObject({
  key: z.string().min(1),
  baseRowVersion: z.number().int().nonnegative(),
});
export type PlanGuard = z.infer<typeof planGuardSchema>;

const affectedTaskSchema = z.strictObject({ taskId: z.string(), size: resourcesSchema });
export type AffectedTask = z.infer<typeof affectedTaskSchema>;

/** Tasks with the same effect: their number and the largest few. */
const taskGroupSchema = z.strictObject({
  count: z.number().int().nonnegative(),
  largest: z.array(affectedTaskSchema),
});
export type TaskGroup = z.infer<typeof taskGroupSchema>;

/** The predicted effects of a plan's steps. */
export const planEffectsSchema = z.strictObject({
  starting: taskGroupSchema,
  moving: taskGroupSchema,
  evicted: taskGroupSchema,
  ending: taskGroupSchema,
  /** Resource use of the affected teams. Counts services and the jobs that the plan names. */
  quotas: z.array(
    z.strictObject({
      team: z.string(),
      limit: resourcesSchema.nullable(),
      before: resourcesSchema,
      after: resourcesSchema,
    }),
  ),
  /** Zones whose capacity changes, or the part of it that is reserved for services. */
  capacity: z.array(
    z.strictObject({
      zone: z.string(),
      totalBefore: resourcesSchema,
      totalAfter: resourcesSchema,
      reservedBefore: resourcesSchema,
      reservedAfter: resourcesSchema,
      /** Lower bound of the replicas without room. Fragmented free capacity can add more. */
      missingTaskCount: z.number().int().nonnegative(),
    }),
  ),
  /** The parts of the intent that the plan cannot carry out, with the reasons. */
  notDone: z.array(z.string()),
});
export type PlanEffects = z.infer<typeof planEffectsSchema>;

export const PlanState = { Pending: 'pending', Confirmed: 'confirmed' } as const;
export type PlanState = (typeof PlanState)[keyof typeof PlanState];

export const planSchema = z.strictObject({
  planId: z.string().min(1),
  intent: intentSchema,
  author: z.string(),
  /** The configuration version that the plan was made from. */
  baseVersion: z.number().int().nonnegative(),
  /** One line of text for operators. */
  summary: z.string(),
  steps: z.array(planStepSchema),
  guards: z.array(planGuardSchema),
  /** Cells whose owners are notified through their inboxes when the plan is confirmed. */
  notifiedCells: z.array(z.string()),
  effects: planEffectsSchema,
  warnings: z.array(z.string()),
  createdAt: z.string(),
  expiresAt: z.string(),
  /** SHA-256 over everything the plan would change. A confirmation must name it. */
  digest: z.string(),
  state: z.enum([PlanState.Pending, PlanState.Confirmed]),
  /** The configuration version that the confirmation created; zero while the plan is pending. */
  acceptedVersion: z.number().int().nonnegative(),
});

/** A plan as stored in its row, with new tasks in compact form. Operators see the full tasks. */
export const storedPlanSchema = planSchema.extend({ steps: z.array(storedStepSchema) });
export type Plan = z.infer<typeof storedPlanSchema>;

export const PLAN_PREFIX = 'plan/';
export const planKey = (planId: string): string => `${PLAN_PREFIX}${planId}`;

/** True if confirming the plan would change nothing. */
export const isEmptyPlan = (plan: Pick<Plan, 'steps'>): boolean => plan.steps.length === 0;

/** The fields that a plan's digest covers: all that a confirmation writes or relies on. */
export type DigestedPlan = Pick<
  Plan,
  'planId' | 'intent' | 'baseVersion' | 'steps' | 'guards' | 'notifiedCells'
>;

/** The digested contents of a plan in order. Each step is a part of its own. */
export const digestParts = (plan: DigestedPlan): readonly unknown[] => {
  const { planId, intent, baseVersion, steps, guards, notifiedCells } = plan;
  return [
    { planId, intent, baseVersion, stepCount: steps.length, guards, notifiedCells },
    ...steps,
  ];
};

const HOUR_MS = 3_600_000;
const HOUR_TEXT_LENGTH = '2026-01-01T00'.length;

const hourText = (wallMs: number): string =>
  new Date(wallMs).toISOString().slice(0, HOUR_TEXT_LENGTH).replace(/[-T]/gu, '');

/** Plan ids begin with the hour, so that old plans are found without reading all plans. */
export const toPlanId = (wallMs: number, suffix: string): string => `${hourText(wallMs)}-${suffix}`;

/** Key prefixes of the plans made in the `hourCount` hours before the hour of `wallMs`. */
export const planPrefixesBefore = (wallMs: number, hourCount: number): readonly string[] =>
  Array.from({ length: hourCount }, (_, index) =>
    planKey(`${hourText(wallMs - (index + 1) * HOUR_MS)}-`),
  );
