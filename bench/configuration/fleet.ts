/** A configuration, workers, a ledger and jobs at the design size, and operators' intents. */
import { randomUUID } from 'node:crypto';

import type { Intent } from '../../src/operator/common/intent.js';
import {
  quotaKey,
  serviceKey,
  zoneKey,
} from '../../src/services/configuration/common/documents.js';
import type { WorkerInstance } from '../../src/services/instanceList/common/instanceList.js';
import type { RowWrite } from '../../src/services/table/common/table.js';
import { ledgerKey, toShardId, workKey } from '../../src/services/workload/common/workRows.js';

const ZONE_COUNT = 7;
const WORKER_COUNT = 860;
const WORKERS_PER_RACK = 8;
const SERVICE_COUNT = 500;
const REPLICA_COUNT = 7;
const BATCH_TASK_COUNT = 14_000;
const TASKS_PER_JOB = 10;
const TEAM_COUNT = 360;
const SIZE = { processorMillis: 1_000, memoryBytes: 2 ** 30, acceleratorCount: 0 };
const LARGE_LIMIT = { processorMillis: 2 ** 40, memoryBytes: 2 ** 50, acceleratorCount: 2 ** 20 };

const zoneOf = (index: number): string => `zone-${index % ZONE_COUNT}`;

export const workers = (): readonly WorkerInstance[] =>
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

const teamOf = (index: number): string => `team-${Math.floor(index / TASKS_PER_JOB) % TEAM_COUNT}`;

const jobIdOf = (index: number): string =>
  `${teamOf(index)}.job-${Math.floor(index / TASKS_PER_JOB)}`;

const assignmentOf = (index: number, worker: WorkerInstance) => {
  const isService = index < SERVICE_COUNT * REPLICA_COUNT;
  const jobId = jobIdOf(index);
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

export const ledgerRows = (instances: readonly WorkerInstance[]): readonly RowWrite[] => {
  const racks = new Map<string, unknown[]>();
  const count = SERVICE_COUNT * REPLICA_COUNT + BATCH_TASK_COUNT;
  Array.from({ length: count }, (_, index) => index).forEach((index) => {
    const worker = instances[index % instances.length] as WorkerInstance;
    const key = ledgerKey(worker.availabilityZone, worker.rack);
    racks.set(key, [...(racks.get(key) ?? []), assignmentOf(index, worker)]);
  });
  return [...racks].map(([key, assignments]) => ({ key, value: { assignments } as never }));
};

/** The work rows of the batch tasks that the ledger assigns. */
export const workRows = (instances: readonly WorkerInstance[]): readonly RowWrite[] => {
  const shards = new Map<string, { key: string; index: number; tasks: unknown[] }>();
  const count = SERVICE_COUNT * REPLICA_COUNT + BATCH_TASK_COUNT;
  for (let index = SERVICE_COUNT * REPLICA_COUNT; index < count; index += 1) {
    const { availabilityZone } = instances[index % instances.length] as WorkerInstance;
    const key = workKey(availabilityZone, toShardId(jobIdOf(index), availabilityZone));
    const shard = shards.get(key) ?? { key, index, tasks: [] };
    const task = { index, state: 'assigned', attempt: 1, checkpoint: null };
    shard.tasks.push({ ...task, evictionCount: 0, failureWeight: 0 });
    shards.set(key, shard);
  }
  return [...shards.values()].map(({ key, index, tasks }) => {
    const jobId = jobIdOf(index);
    const shardId = key.slice(key.lastIndexOf('/') + 1);
    const jobFields = { team: teamOf(index), size: SIZE, urgency: 'normal', workMs: 60_000 };
    return { key, value: { shardId, jobId, ...jobFields, tasks } as never };
  });
};

export const documentRows = (): readonly RowWrite[] => [
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

export const largeJob = (submissionKey: string): Intent => ({
  intent: 'submit-job',
  ...job,
  submissionKey,
  taskCount: 10_000,
});

export const INTENTS: readonly (readonly [string, (round: number) => Intent])[] = [
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
  ['submit-job of 10,000 tasks', (round) => largeJob(`l${round}`)],
];
