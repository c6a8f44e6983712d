/** Runs one seed. fast-check draws the steps and shrinks them after a failure. */
import fc from 'fast-check';

import {
  expectSettled,
  LONG_HEAL_MS,
  type Scenario,
  SCENARIOS,
  type SoakModel,
} from './soakCommands.js';
import type { SafeguardFaults } from './safeguardFaults.js';
import { SoakWorld } from './soakWorld.js';

const SEED_LIMIT = 2 ** 31 - 1;
/** When shrinking takes longer, the smallest trace so far is reported. */
const SHRINKING_LIMIT_MS = 20_000;

export interface SoakResult {
  readonly stepCount: number;
  readonly virtualMs: number;
  readonly startCount: number;
  readonly evictionCount: number;
  readonly conflictCount: number;
  readonly completedBatchCount: number;
  /** The shrunk trace and the findings; undefined if the run found nothing. */
  readonly failure: string | undefined;
}

export interface SoakOptions {
  readonly seed: number;
  readonly scenario: Scenario;
  readonly maximumStepCount: number;
  readonly safeguardFaults?: SafeguardFaults;
}

const toFailureText = ({ errorInstance }: { readonly errorInstance: unknown }): string =>
  errorInstance instanceof Error ? errorInstance.message : String(errorInstance);

export const runSeed = async (options: SoakOptions): Promise<SoakResult> => {
  const totals = { stepCount: 0, virtualMs: 0, startCount: 0, evictionCount: 0 };
  const batchTotals = { conflictCount: 0, completedBatchCount: 0 };
  const commands = fc.commands([...SCENARIOS[options.scenario]], {
    maxCommands: options.maximumStepCount,
    size: 'max',
  });
  const property = fc.asyncProperty(commands, fc.nat({ max: SEED_LIMIT }), async (steps, seed) => {
    const world = new SoakWorld(seed, options.safeguardFaults);
    const model: SoakModel = { jobCount: 0, stepCount: 0 };
    await world.start();
    await fc.asyncModelRun(() => ({ model, real: world }), steps);
    await expectSettled(world, options.scenario === 'losses' ? LONG_HEAL_MS : undefined);
    const verdict = world.judge.verdict();
    totals.stepCount += model.stepCount;
    totals.virtualMs += world.nowMs;
    totals.startCount += verdict.startCount;
    totals.evictionCount += verdict.evictionCount;
    batchTotals.conflictCount += world.table.counts.conflictCount;
    batchTotals.completedBatchCount += verdict.completedBatchCount;
  });
  const outcome = await fc.check(property, {
    seed: options.seed,
    numRuns: 1,
    interruptAfterTimeLimit: SHRINKING_LIMIT_MS,
  });
  return {
    ...totals,
    ...batchTotals,
    failure: outcome.failed
      ? `${fc.defaultReportMessage(outcome)}\n${toFailureText(outcome)}`
      : undefined,
  };
};
