/** Measures how long planning takes at the design size and how long it blocks the event loop. */
import { spawn } from 'node:child_process';
import { randomBytes, randomUUID } from 'node:crypto';
import { createInterface } from 'node:readline';
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { type Either, isLeft } from 'fp-ts/lib/Either.js';

import { SeededRandom } from '../../src/base/common/random.js';
import { systemClock } from '../../src/base/node/systemClock.js';
import type { Intent } from '../../src/operator/common/intent.js';
import type { Plan } from '../../src/operator/common/plan.js';
import { PlanService } from '../../src/operator/node/planService.js';
import { ConfigurationFollower } from '../../src/services/configuration/node/configurationFollower.js';
import type { Failure } from '../../src/services/errors/common/errorKinds.js';
import { silentLog } from '../../src/services/log/common/log.js';
import { silentMetrics } from '../../src/services/metrics/common/metrics.js';
import type { RowWrite } from '../../src/services/table/common/table.js';
import { HttpTableService } from '../../src/services/table/node/httpTableService.js';
import { documentRows, INTENTS, largeJob, ledgerRows, workers, workRows } from './fleet.js';

const ROWS_PER_TRANSACTION = 50;
const REPEAT_COUNT = 25;
const WARM_UP_COUNT = 5;
const CALL_TIMEOUT_MS = 5_000;

export interface PlanningFigures {
  readonly name: string;
  readonly p50Ms: number;
  readonly maxMs: number;
  /** The longest event-loop block during each plan: the median and the maximum over all plans. */
  readonly medianBlockMs: number;
  readonly longestBlockMs: number;
}

/** Watches the event loop until the returned function is called, which returns the longest block. */
const watchEventLoop = (): (() => number) => {
  let longestMs = 0;
  let isStopped = false;
  const watch = async (): Promise<void> => {
    let lastMs = systemClock.nowMs();
    while (!isStopped) {
      // eslint-disable-next-line no-await-in-loop -- measures every turn of the event loop
      await nextTurn();
      const nowMs = systemClock.nowMs();
      longestMs = Math.max(longestMs, nowMs - lastMs);
      lastMs = nowMs;
    }
  };
  void watch();
  return () => {
    isStopped = true;
    return longestMs;
  };
};

/** Sorts the figures without those of the first rounds, in which V8 still compiles the code. */
const sortWithoutWarmUp = (figures: readonly number[]): readonly number[] =>
  figures.slice(WARM_UP_COUNT).sort((one, other) => one - other);

const median = (sorted: readonly number[]): number =>
  sorted[Math.floor(sorted.length / 2)] as number;

type TimedAction = () => Promise<Either<Failure, unknown>>;

/** A name and a function that prepares the action of a round. Only the action is measured. */
type PlanningCase = readonly [string, (round: number) => Promise<TimedAction> | TimedAction];

const measure = async ([name, prepare]: PlanningCase): Promise<PlanningFigures> => {
  const durationsMs: number[] = [];
  const blocksMs: number[] = [];
  for (let round = 0; round < REPEAT_COUNT; round += 1) {
    // eslint-disable-next-line no-await-in-loop -- one plan at a time
    const runAction = await prepare(round);
    const stop = watchEventLoop();
    const startMs = systemClock.nowMs();
    // eslint-disable-next-line no-await-in-loop
    const result = await runAction();
    durationsMs.push(systemClock.nowMs() - startMs);
    blocksMs.push(stop());
    if (isLeft(result)) throw new Error(`${name}: ${result.left.message}`);
    // eslint-disable-next-line no-await-in-loop
    await delay(20);
  }
  const [durations, blocks] = [sortWithoutWarmUp(durationsMs), sortWithoutWarmUp(blocksMs)];
  return {
    name,
    p50Ms: median(durations),
    maxMs: durations.at(-1) as number,
    medianBlockMs: median(blocks),
    longestBlockMs: blocks.at(-1) as number,
  };
};

const createPlan = async (planService: PlanService, intent: Intent): Promise<Plan> => {
  const plan = await planService.plan(intent, 'bench');
  if (isLeft(plan)) throw new Error(plan.left.message);
  return plan.right;
};

/** Plans of every kind, then confirmations of jobs of 10,000 tasks, then plans to cancel them. */
const toPlanningCases = (planService: PlanService): readonly PlanningCase[] => [
  ...INTENTS.map(([name, toIntent]): PlanningCase => [
    name,
    (round) => () => planService.plan(toIntent(round), 'bench'),
  ]),
  [
    'confirmation of 10,000 tasks',
    async (round) => {
      const { planId, digest } = await createPlan(planService, largeJob(`confirmed-${round}`));
      return () => planService.confirm({ planId, digest, author: 'bench' });
    },
  ],
  [
    'cancel-jobs, of 10,000 tasks',
    (round) => () =>
      planService.plan({ intent: 'cancel-jobs', jobIds: [`team-1.confirmed-${round}`] }, 'bench'),
  ],
];

const startTable = async (): Promise<{ readonly origin: string; readonly stop: () => void }> => {
  const script = fileURLToPath(
    new URL('../../standIns/platform/platformProcess.js', import.meta.url),
  );
  const child = spawn(process.execPath, [script, '1'], { stdio: ['ignore', 'pipe', 'inherit'] });
  const line = await new Promise<string>((resolve) => {
    createInterface({ input: child.stdout }).once('line', resolve);
  });
  const { port } = JSON.parse(line) as { port: number };
  return { origin: `http://127.0.0.1:${port}`, stop: () => child.kill('SIGKILL') };
};

const fill = async (table: HttpTableService, rows: readonly RowWrite[]): Promise<void> => {
  for (let index = 0; index < rows.length; index += ROWS_PER_TRANSACTION) {
    const writes = rows.slice(index, index + ROWS_PER_TRANSACTION);
    // eslint-disable-next-line no-await-in-loop -- one transaction at a time
    const result = await table.transact({ operationId: `fill-${index}`, conditions: [], writes })();
    if (isLeft(result)) throw new Error(result.left.message);
  }
};

export const measurePlanning = async (): Promise<readonly PlanningFigures[]> => {
  const store = await startTable();
  const table = new HttpTableService(store.origin, CALL_TIMEOUT_MS, 4);
  try {
    const instances = workers();
    await fill(table, [...documentRows(), ...ledgerRows(instances), ...workRows(instances)]);
    const configuration = new ConfigurationFollower(table, systemClock, silentLog, silentMetrics);
    await configuration.refresh();
    const planService = new PlanService(
      {
        table,
        configuration,
        directory: { instances },
        clock: systemClock,
        metrics: silentMetrics,
        random: new SeededRandom(1),
        delay,
        wallNowMs: Date.now,
        newSuffix: () => randomBytes(6).toString('hex'),
        newOperationId: randomUUID,
      },
      { planLifetimeMs: 60_000, confirmTimeoutMs: 10_000 },
    );
    const stop = watchEventLoop();
    await delay(1_000);
    const idleBlockMs = stop();
    const idle = { p50Ms: 0, maxMs: 0, medianBlockMs: idleBlockMs, longestBlockMs: idleBlockMs };
    const figures: PlanningFigures[] = [{ name: 'nothing (a second of rest)', ...idle }];
    const planningCases = toPlanningCases(planService);
    for (let index = 0; index < planningCases.length; index += 1) {
      // eslint-disable-next-line no-await-in-loop -- concurrent cases would delay each other
      figures.push(await measure(planningCases[index] as PlanningCase));
    }
    return figures;
  } finally {
    table.dispose();
    store.stop();
  }
};
