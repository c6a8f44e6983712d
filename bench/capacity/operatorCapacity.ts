/** Measures the cost of a plan and its confirmation by the number of configuration documents. */
import { setTimeout as delay } from 'node:timers/promises';

import { isLeft, right } from 'fp-ts/lib/Either.js';
import { fromEither } from 'fp-ts/lib/TaskEither.js';

import { toDisposable } from '../../src/base/common/lifecycle.js';
import { SeededRandom } from '../../src/base/common/random.js';
import { systemClock } from '../../src/base/node/systemClock.js';
import { PlanService } from '../../src/operator/node/planService.js';
import { toConfigurationView } from '../../src/services/configuration/common/configurationView.js';
import {
  DOCUMENT_PREFIX,
  quotaKey,
  serviceKey,
  VERSION_KEY,
  zoneKey,
} from '../../src/services/configuration/common/documents.js';
import { silentMetrics } from '../../src/services/metrics/common/metrics.js';
import type { TableService } from '../../src/services/table/common/table.js';
import { TableStandIn } from '../../standIns/platform/tableStandIn.js';
import { roundFigure } from './slopes.js';

const PLAN_COUNT = 50;
const PLAN_LIFETIME_MS = 600_000;
const CONFIRM_TIMEOUT_MS = 10_000;
const MICROSECONDS_PER_MS = 1_000;
const SIZE = { processorMillis: 1_000, memoryBytes: 1_024, acceleratorCount: 0 };
const ZONES = ['a', 'b', 'c', 'd', 'e', 'f', 'g'] as const;

export interface OperatorFigures {
  readonly documentCount: number;
  /** Processor time to plan and confirm, including the time of the table's stand-in. */
  readonly processorMsPerPlan: number;
  readonly readsPerPlan: number;
  readonly readRowsPerPlan: number;
  readonly transactionsPerPlan: number;
  readonly writtenRowsPerPlan: number;
  readonly readBytesPerPlan: number;
}

const fillTable = (table: TableStandIn, documentCount: number): void => {
  const zones = ZONES.map((name) => ({
    key: zoneKey(name),
    value: { name, region: 'r', state: 'in-use' },
  }));
  const others = Array.from({ length: documentCount }, (_, index) => {
    const team = `team-${index}`;
    if (index % 3 === 0) return { key: quotaKey(team), value: { team, limit: SIZE } };
    const name = `service-${index}`;
    const value = { name, team, replicaCount: 5, size: SIZE, urgency: 'normal' };
    return { key: serviceKey(name), value };
  });
  const writes = [{ key: VERSION_KEY, value: { version: 1 } }, ...zones, ...others];
  table.transact({ operationId: 'fill', conditions: [], writes });
};

export const measureOperator = async (documentCount: number): Promise<OperatorFigures> => {
  const table = new TableStandIn();
  fillTable(table, documentCount);
  let readBytes = 0;
  const service: TableService = {
    read: (request) => {
      const result = table.read(request);
      readBytes += Buffer.byteLength(JSON.stringify(result));
      return fromEither(right(result));
    },
    transact: (transaction) => fromEither(right(table.transact(transaction))),
  };
  let idCount = 0;
  const nextId = (): string => {
    idCount += 1;
    return `bench-${idCount}`;
  };
  const view = toConfigurationView(
    table.read({ keys: [VERSION_KEY], prefixes: [DOCUMENT_PREFIX] }).rows,
  );
  const plans = new PlanService(
    {
      table: service,
      configuration: {
        current: view,
        confirmedAtMs: 0,
        onDidChange: () => toDisposable(() => {}),
        refresh: () => Promise.resolve(),
      },
      directory: { instances: [] },
      clock: systemClock,
      metrics: silentMetrics,
      random: new SeededRandom(1),
      delay: (delayMs) => delay(delayMs),
      wallNowMs: () => Date.now(),
      newSuffix: nextId,
      newOperationId: nextId,
    },
    { planLifetimeMs: PLAN_LIFETIME_MS, confirmTimeoutMs: CONFIRM_TIMEOUT_MS },
  );
  const before = { ...table.counts };
  const usageBefore = process.cpuUsage();
  for (let index = 0; index < PLAN_COUNT; index += 1) {
    const job = { submissionKey: `job-${index}`, taskCount: 100, size: SIZE, workMs: 1_000 };
    // eslint-disable-next-line no-await-in-loop -- one plan at a time
    const plan = await plans.plan(
      { intent: 'submit-job', team: 'kitchen', urgency: 'normal', ...job },
      'ann',
    );
    if (isLeft(plan)) throw new Error(plan.left.message);
    const { planId, digest } = plan.right;
    // eslint-disable-next-line no-await-in-loop
    const confirmed = await plans.confirm({ planId, digest, author: 'ann' });
    if (isLeft(confirmed)) throw new Error(confirmed.left.message);
  }
  const usage = process.cpuUsage(usageBefore);
  const { counts } = table;
  const perPlan = (value: number): number => roundFigure(value / PLAN_COUNT);
  return {
    documentCount,
    processorMsPerPlan: perPlan((usage.user + usage.system) / MICROSECONDS_PER_MS),
    readsPerPlan: perPlan(counts.readCount - before.readCount),
    readRowsPerPlan: perPlan(counts.readRowCount - before.readRowCount),
    transactionsPerPlan: perPlan(counts.transactionCount - before.transactionCount),
    writtenRowsPerPlan: perPlan(counts.writtenRowCount - before.writtenRowCount),
    readBytesPerPlan: perPlan(readBytes),
  };
};
