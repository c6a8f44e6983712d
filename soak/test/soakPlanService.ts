/** Creates the plan service of one daemon in a randomised run. */
import type { RandomSource } from '../../src/base/common/random.js';
import { PlanService } from '../../src/operator/node/planService.js';
import type { ConfigurationService } from '../../src/services/configuration/common/configurationService.js';
import { silentMetrics } from '../../src/services/metrics/common/metrics.js';
import type { TableService } from '../../src/services/table/common/table.js';
import type { SoakTime } from './soakTime.js';

const PLAN_LIFETIME_MS = 600_000;
const CONFIRM_TIMEOUT_MS = 10_000;

export interface PlanServiceOptions {
  readonly table: TableService;
  readonly time: SoakTime;
  readonly random: RandomSource;
  readonly counters: Map<string, number>;
  /** The daemon's id, which prefixes the ids of its plans and operations. */
  readonly id: string;
}

/** Creates a plan service with an empty instance list, so that it accepts jobs that can never run. */
export const createPlanService = (
  options: PlanServiceOptions,
  configuration: ConfigurationService,
): PlanService => {
  const { table, time, random, counters, id } = options;
  let idCount = 0;
  const nextId = (): string => {
    idCount += 1;
    return `${id}-${idCount}`;
  };
  const count = (name: string): void => {
    counters.set(name, (counters.get(name) ?? 0) + 1);
  };
  const delay = (delayMs: number): Promise<void> =>
    new Promise((resolve) => {
      time.after(delayMs, () => {
        resolve();
        time.requestMicrotaskDrain();
      });
    });
  const services = {
    table,
    configuration,
    directory: { instances: [] },
    clock: { nowMs: () => time.nowMs },
    metrics: { ...silentMetrics, count },
    random,
    delay,
    wallNowMs: () => time.nowMs,
    newSuffix: nextId,
    newOperationId: nextId,
  };
  const limits = { planLifetimeMs: PLAN_LIFETIME_MS, confirmTimeoutMs: CONFIRM_TIMEOUT_MS };
  return new PlanService(services, limits);
};
