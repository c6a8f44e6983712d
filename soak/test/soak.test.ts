/** Runs fixed seeds of each scenario. The result of a seed is the same on each run. */
import { describe, expect, it } from 'vitest';

import type { Scenario } from './soakCommands.js';
import { runSeed } from './soakRun.js';

const CASES: readonly { readonly scenario: Scenario; readonly seeds: readonly number[] }[] = [
  { scenario: 'scheduler', seeds: [1, 2, 4, 7, 8, 9, 18] },
  { scenario: 'operator', seeds: [1, 2, 3, 8, 13, 1302, 1346, 60_986] },
  { scenario: 'all', seeds: [1, 2, 3, 4, 5, 6, 7, 8, 139, 1064, 1209, 60_980] },
  { scenario: 'badWorkers', seeds: [1, 40_000, 41_038, 80_084] },
  { scenario: 'losses', seeds: [1, 2, 7, 16] },
];

describe('randomised runs', () => {
  CASES.flatMap(({ scenario, seeds }) => seeds.map((seed) => ({ scenario, seed }))).forEach(
    ({ scenario, seed }) =>
      it(`find no failure in scenario ${scenario} with seed ${seed}`, async () => {
        const result = await runSeed({ seed, scenario, maximumStepCount: 60 });
        expect(result.failure).toBeUndefined();
      }),
  );
});
