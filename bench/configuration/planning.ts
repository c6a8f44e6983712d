/** How long planning takes at the size to design for, and how long it holds up requests. */
import { spawn } from 'node:child_process';
import { randomBytes, randomUUID } from 'node:crypto';
import { createInterface } from 'node:readline';
import { setImmediate as nextTurn, setTimeout as delay } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';

import { isLeft } from 'fp-ts/lib/Either.js';

import { SeededRandom } from '../../src/base/common/random.js';
import { systemClock } from '../../src/base/node/systemClock.js';
import type { Intent } from '../../src/operator/common/intent.js';
import { PlanService } from '../../src/operator/node/planService.js';
import {
  quotaKey,
  serviceKey,
  zoneKey,
} from '../../src/platform/configuration/common/documents.js';
import { ConfigurationFollower } from '../../src/platform/configuration/node/configurationFollower.js';
import type { WorkerInstance } from '../../src/platform/instanceList/common/instanceList.js';
import { silentLog } from '../../src/platform/log/common/log.js';
import { silentMetrics } from '../../src/platform/metrics/common/metrics.js';
import type { RowWrite } from '../../src/platform/table/common/table.js';
import { HttpTableService } from '../../src/platform/table/node/httpTableService.js';
import { ledgerKey } from '../../src/platform/workload/common/workRows.js';

const ZONE_COUNT = 7;
const WORKER_COUNT = 860;
const WORKERS_PER_RACK = 8;
const SERVICE_COUNT = 500;
const REPLICA_COUNT = 7;
const BATCH_TASK_COUNT = 14_000;
const TASKS_PER_JOB = 10;
const TEAM_COUNT = 360;
const ROWS_PER_TRANSACTION = 50;
const REPEAT_COUNT = 15;
const CALL_TIMEOUT_MS = 5_000;
const SIZE = { processorMillis: 1_000, memoryBytes: 2 ** 30, acceleratorCount: 0 };
const LARGE_LIMIT = { processorMillis: 2 ** 40, memoryBytes: 2 ** 50, acceleratorCount: 2 ** 20 };

export interface PlanningFigures {
  readonly name: string;
  readonly p50Ms: number;
  readonly maxMs: number;
  /** The longest that the event loop stood still during any of the plans. */
  readonly longestHoldMs: number;
}

const zoneOf = (index: number): string => `zone-${index % ZONE_COUNT}`;

const workers = (): readonly WorkerInstance[] =>
  Array.from({ length: WORKER_COUNT }, (_, index) => ({
    kind: 'worker' as const,
    id: `worker-${index}`,
    availabilityZone: zoneOf(index),
    rack: `rack-${Math.floor(Math.floor(index / ZONE_COUNT) / WORKERS_PER_RACK)}`,
    state: 'live' as const,
    controlAddress: { host: '127.0.0.1', port: 1 },
    backendAddress: { host: '127.0.0.1', port: 1 },
    capacity: { processorMillis: 64_000, memoryBytes: 250 * 2 ** 30, acceleratorCount: 1 },
    slotCount: 8,
    connectionCount: 64,
  }));

const assignmentOf = (index: number, worker: WorkerInstance) => {
  const isService = index < SERVICE_COUNT * REPLICA_COUNT;
  const jobId = `team-${index % TEAM_COUNT}.job-${Math.floor(index / TASKS_PER_JOB)}`;
  const serviceName = `service-${index % SERVICE_COUNT}`;
  return {
    taskId: isService ? `${serviceName}@${randomUUID()}.0` : `${jobId}/${index}`,
    attempt: 1,
    workerId: worker.id,
    incarnation: randomUUID(),
    taskClass: isService ? 'latency-critical' : 'batch',
    serviceName: isService ? serviceName : '',
    shardId: isService ? '' : `${jobId}~${worker.availabilityZone}`,
    taskIndex: index,
    size: SIZE,
    workMs: 60_000,
    checkpoint: null,
  };
};

const ledgerRows = (all: readonly WorkerInstance[]): readonly RowWrite[] => {
  const racks = new Map<string, unknown[]>();
  const count = SERVICE_COUNT * REPLICA_COUNT + BATCH_TASK_COUNT;
  Array.from({ length: count }, (_, index) => index).forEach((index) => {
    const worker = all[index % all.length] as WorkerInstance;
    const key = ledgerKey(worker.availabilityZone, worker.rack);
    racks.set(key, [...(racks.get(key) ?? []), assignmentOf(index, worker)]);
  });
  return [...racks].map(([key, assignments]) => ({ key, value: { assignments } as never }));
};

const documentRows = (): readonly RowWrite[] => [
  { key: 'configuration/version', value: { version: 1 } },
  ...Array.from({ length: ZONE_COUNT }, (_, index) => {
    const name = zoneOf(index);
    return { key: zoneKey(name), value: { name, region: 'r', state: 'in-use' } };
  }),
  ...Array.from({ length: TEAM_COUNT }, (_, index) => {
    const team = `team-${index}`;
    return { key: quotaKey(team), value: { team, limit: LARGE_LIMIT } };
  }),
  ...Array.from({ length: SERVICE_COUNT }, (_, index) => {
    const service = { name: `service-${index}`, team: `team-${index % TEAM_COUNT}` };
    const value = { ...service, replicaCount: REPLICA_COUNT, size: SIZE, urgency: 'normal' };
    return { key: serviceKey(service.name), value };
  }),
];

const job = { team: 'team-1', size: SIZE, workMs: 1, urgency: 'normal' as const };
const service = { name: 'fresh', team: 'team-1', replicaCount: 70, size: SIZE };

const INTENTS: readonly (readonly [string, (round: number) => Intent])[] = [
  [
    'create-service',
    () => ({ intent: 'create-service', service: { ...service, urgency: 'normal' } }),
  ],
  ['withdraw-zone', (round) => ({ intent: 'withdraw-zone', zone: zoneOf(round) })],
  ['drain-worker', (round) => ({ intent: 'drain-worker', workerId: `worker-${round}` })],
  [
    'set-quota',
    (round) => ({
      intent: 'set-quota',
      team: `team-${round}`,
      limit: { ...LARGE_LIMIT, acceleratorCount: round },
    }),
  ],
  [
    'submit-job of 100 tasks',
    (round) => ({ intent: 'submit-job', ...job, submissionKey: `s${round}`, taskCount: 100 }),
  ],
  [
    'submit-job of 10,000 tasks',
    (round) => ({ intent: 'submit-job', ...job, submissionKey: `l${round}`, taskCount: 10_000 }),
  ],
];

/** Measures how long the event loop stands still until it is told to stop. */
const watchHolds = (): (() => number) => {
  let longestMs = 0;
  let isStopped = false;
  const watch = async (): Promise<void> => {
    let lastMs = systemClock.nowMs();
    while (!isStopped) {
      // eslint-disable-next-line no-await-in-loop -- looks at every turn of the event loop
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

const measure = async (
  plans: PlanService,
  name: string,
  toIntent: (round: number) => Intent,
): Promise<PlanningFigures> => {
  const durationsMs: number[] = [];
  let longestHoldMs = 0;
  for (let round = 0; round < REPEAT_COUNT; round += 1) {
    const stop = watchHolds();
    const startMs = systemClock.nowMs();
    // eslint-disable-next-line no-await-in-loop -- one plan at a time
    const plan = await plans.plan(toIntent(round), 'bench');
    durationsMs.push(systemClock.nowMs() - startMs);
    // The first rounds are for the compiler.
    if (round >= 5) longestHoldMs = Math.max(longestHoldMs, stop());
    else stop();
    if (isLeft(plan)) throw new Error(`${name}: ${plan.left.message}`);
    // eslint-disable-next-line no-await-in-loop
    await delay(20);
  }
  const sorted = durationsMs.slice(5).sort((one, other) => one - other);
  const p50Ms = sorted[Math.floor(sorted.length / 2)] as number;
  return { name, p50Ms, maxMs: sorted.at(-1) as number, longestHoldMs };
};

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
    // eslint-disable-next-line no-await-in-loop -- one part at a time
    const result = await table.transact({ operationId: `fill-${index}`, conditions: [], writes })();
    if (isLeft(result)) throw new Error(result.left.message);
  }
};

export const measurePlanning = async (): Promise<readonly PlanningFigures[]> => {
  const store = await startTable();
  const table = new HttpTableService(store.origin, CALL_TIMEOUT_MS, 4);
  try {
    const instances = workers();
    await fill(table, [...documentRows(), ...ledgerRows(instances)]);
    const configuration = new ConfigurationFollower(table, systemClock, silentLog, silentMetrics);
    await configuration.refresh();
    const plans = new PlanService(
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
    const stop = watchHolds();
    await delay(1_000);
    const figures: PlanningFigures[] = [
      { name: 'nothing (a second of rest)', p50Ms: 0, maxMs: 0, longestHoldMs: stop() },
    ];
    for (let index = 0; index < INTENTS.length; index += 1) {
      const [name, toIntent] = INTENTS[index] as (typeof INTENTS)[number];
      // eslint-disable-next-line no-await-in-loop -- one at a time, or they hold each other up
      figures.push(await measure(plans, name, toIntent));
    }
    return figures;
  } finally {
    table.dispose();
    store.stop();
  }
};
