/** Starts one real daemon with platform and worker stand-ins and a service on every worker. */
import { createHash } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import type {
  Instance,
  WorkerInstance,
} from '../../src/services/instanceList/common/instanceList.js';
import type { SettingsInput } from '../../src/services/settings/common/settings.js';
import type { ChildProcesses } from '../../standIns/demo/childProcesses.js';

export const WORKER_COUNT = 6;
export const SERVICE_NAME = 'rounds';

const HOST = '127.0.0.1';
const ZONE = 'zone-a';
const TOKEN = 'bench-operator';
const READY_ATTEMPT_COUNT = 150;
const READY_INTERVAL_MS = 100;
/** So high that the daemon's share of a worker's connections never limits the load. */
const UNBOUNDED_CONNECTION_COUNT = 1_024;
const SIZE = { processorMillis: 1_000, memoryBytes: 1_000_000_000, acceleratorCount: 0 };

export interface DaemonUnderTest {
  readonly callerOrigin: string;
  readonly pid: number;
}

const settingsOf = (platformOrigin: string): SettingsInput => ({
  instanceId: 'entry-bench',
  availabilityZone: ZONE,
  listen: { callers: { host: HOST }, operators: { host: HOST }, peers: { host: HOST } },
  platform: {
    tableOrigin: platformOrigin,
    objectStoreOrigin: platformOrigin,
    instanceListOrigin: platformOrigin,
  },
  operator: {
    tokens: [
      { name: 'bench', role: 'confirm', sha256: createHash('sha256').update(TOKEN).digest('hex') },
    ],
  },
});

const call = async (url: string, body?: unknown): Promise<unknown> => {
  const headers = { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' };
  const response = await request(
    url,
    body === undefined ? { headers } : { method: 'POST', headers, body: JSON.stringify(body) },
  );
  const answer: unknown = await response.body.json();
  if (response.statusCode !== 200) throw new Error(`${url}: ${JSON.stringify(answer)}`);
  return answer;
};

const planAndConfirm = async (origin: string, intent: unknown): Promise<void> => {
  const plan = (await call(`${origin}/v1/plans`, { intent })) as { planId: string; digest: string };
  await call(`${origin}/v1/plans/${plan.planId}/confirm`, { digest: plan.digest });
};

const waitForTasks = async (origin: string): Promise<void> => {
  for (let index = 0; index < READY_ATTEMPT_COUNT; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- polls until the service is up
    const tasks = (await call(`${origin}/v1/tasks`)) as readonly unknown[];
    if (tasks.length >= WORKER_COUNT) return;
    // eslint-disable-next-line no-await-in-loop
    await delay(READY_INTERVAL_MS);
  }
  throw new Error('the service did not come up');
};

const startWorkers = async (
  children: ChildProcesses,
  backendPorts: readonly number[],
): Promise<readonly Instance[]> => {
  const options = {
    zones: [ZONE],
    workersPerZone: WORKER_COUNT,
    serviceTimeMs: 0,
  };
  const { ready } = await children.start(
    'standIns/workers/workersProcess.js',
    [JSON.stringify(options)],
    (line) => line.instances as readonly WorkerInstance[],
  );
  return ready.map((worker, index) => ({
    ...worker,
    backendAddress: { host: HOST, port: backendPorts[index] ?? 0 },
    slotCount: UNBOUNDED_CONNECTION_COUNT,
    connectionCount: UNBOUNDED_CONNECTION_COUNT,
  }));
};

/** Starts all processes. The requests for the workers go to the given backend ports. */
export const startSystem = async (
  children: ChildProcesses,
  backendPorts: readonly number[],
): Promise<DaemonUnderTest> => {
  const platform = await children.start(
    'standIns/platform/platformProcess.js',
    [],
    (line) => `http://${HOST}:${Number(line.port)}`,
  );
  const workers = await startWorkers(children, backendPorts);
  await call(`${platform.ready}/control/instances`, { instances: workers });
  const folder = await mkdtemp(join(tmpdir(), 'snipethread-bench-'));
  const file = join(folder, 'settings.json');
  await writeFile(file, JSON.stringify(settingsOf(platform.ready)));
  const daemon = await children.start(
    'src/daemon/node/snipethreadd.js',
    ['--settings', file],
    (line) => (line.event === 'listening' ? line : undefined),
  );
  await rm(folder, { recursive: true });
  const operatorOrigin = `http://${HOST}:${Number(daemon.ready.operatorsPort)}`;
  await planAndConfirm(operatorOrigin, { intent: 'use-zone', zone: ZONE, region: 'bench' });
  const service = { name: SERVICE_NAME, team: 'bench', replicaCount: WORKER_COUNT, size: SIZE };
  const intent = { intent: 'create-service', service: { ...service, urgency: 'normal' } };
  await planAndConfirm(operatorOrigin, intent);
  await waitForTasks(operatorOrigin);
  const callerOrigin = `http://${HOST}:${Number(daemon.ready.callersPort)}`;
  return { callerOrigin, pid: daemon.child.pid ?? 0 };
};
