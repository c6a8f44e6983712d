/** Counts what a plan reads at the design size. The counts are the same on every machine. */
import { isLeft } from 'fp-ts/lib/Either.js';

import { OperatorHarness } from '../../src/operator/test/operatorHarness.js';
import { documentRows, INTENTS, ledgerRows, workers, workRows } from './fleet.js';

export interface PlanReads {
  readonly name: string;
  readonly rowCount: number;
  /** Characters of the answers' JSON, which the daemon parses. */
  readonly characterCount: number;
}

export const measurePlanReads = async (): Promise<readonly PlanReads[]> => {
  const harness = new OperatorHarness(1);
  const instances = workers();
  harness.instances = instances;
  const writes = [...documentRows(), ...ledgerRows(instances), ...workRows(instances)];
  harness.table.truth.transact({ operationId: 'fill', conditions: [], writes });
  const planService = harness.daemon();
  // The first plan also loads the configuration, so it is not measured.
  await harness.plan(planService, { intent: 'set-policy', policy: {} });
  const figures: PlanReads[] = [];
  for (let index = 0; index < INTENTS.length; index += 1) {
    const [name, toIntent] = INTENTS[index] as (typeof INTENTS)[number];
    const rowsBefore = harness.table.truth.counts.readRowCount;
    const charactersBefore = harness.table.readByteCount;
    // eslint-disable-next-line no-await-in-loop -- one plan at a time
    const plan = await harness.settle(planService.plan(toIntent(0), 'bench'));
    if (isLeft(plan)) throw new Error(`${name}: ${plan.left.message}`);
    figures.push({
      name,
      rowCount: harness.table.truth.counts.readRowCount - rowsBefore,
      characterCount: harness.table.readByteCount - charactersBefore,
    });
  }
  return figures;
};
