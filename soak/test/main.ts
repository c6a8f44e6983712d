/** `npm run soak -- --seed N --steps M [--scenario NAME]` runs seeds N, N+1, ... until M steps ran. */
import { parseArgs } from 'node:util';

import { type Scenario, SCENARIOS } from './soakCommands.js';
import { runSeed } from './soakRun.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    steps: { type: 'string', default: '500' },
    scenario: { type: 'string', default: 'all' },
  },
});
const STEPS_PER_SEED = 60;
const scenario = values.scenario as Scenario;
if (SCENARIOS[scenario] === undefined) {
  throw new Error(`scenarios: ${Object.keys(SCENARIOS).join(', ')}`);
}
const wantedSteps = Number(values.steps);
let stepCount = 0;
let failureCount = 0;
for (let seed = Number(values.seed); stepCount < wantedSteps; seed += 1) {
  // eslint-disable-next-line no-await-in-loop -- one seed at a time
  const result = await runSeed({ seed, scenario, maximumStepCount: STEPS_PER_SEED });
  stepCount += Math.max(1, result.stepCount);
  const { failure, ...figures } = result;
  process.stdout.write(`${JSON.stringify({ seed, scenario, ...figures, ok: !failure })}\n`);
  if (failure !== undefined) {
    failureCount += 1;
    process.stdout.write(`${failure}\n`);
  }
}
process.stdout.write(`${JSON.stringify({ stepCount, failureCount })}\n`);
process.exitCode = failureCount === 0 ? 0 : 1;
