/** Expands the new tasks that a plan's row stores in compact form. */
import { setImmediate as nextTurn } from 'node:timers/promises';

import type { JsonValue } from '../../base/common/json.js';
import type { BatchTask } from '../../services/workload/common/workRows.js';
import { freshTaskChunks } from '../common/freshTasks.js';
import type { Plan, PlanStep } from '../common/plan.js';

const withFullTasks = async ({ freshTasks, ...step }: PlanStep): Promise<PlanStep> => {
  if (freshTasks === undefined) return step;
  const tasks: BatchTask[] = [];
  // eslint-disable-next-line no-restricted-syntax -- the generator creates chunks on demand
  for (const chunk of freshTaskChunks(freshTasks)) {
    tasks.push(...chunk);
    // eslint-disable-next-line no-await-in-loop -- yields to the event loop after each chunk
    await nextTurn();
  }
  return { ...step, after: { ...(step.after as Readonly<Record<string, JsonValue>>), tasks } };
};

/**
 * Returns the plan with the full tasks of new shards, as operators see it and as it is digested.
 * Yields to the event loop in between.
 */
export const withFullSteps = async <Planned extends Pick<Plan, 'steps'>>(
  plan: Planned,
): Promise<Planned> => {
  const steps: PlanStep[] = [];
  for (let index = 0; index < plan.steps.length; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- one step at a time limits the work per turn
    steps.push(await withFullTasks(plan.steps[index] as PlanStep));
  }
  return { ...plan, steps };
};
