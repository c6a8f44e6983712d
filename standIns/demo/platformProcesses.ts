/** Starts a stand-in for the platform and a dozen workers as child processes. */
import { request } from 'undici';

import type { WorkerInstance } from '../../src/services/instanceList/common/instanceList.js';
import type { ChildProcesses } from './childProcesses.js';

export const ZONES = ['zone-a', 'zone-b', 'zone-c'] as const;
export const HOST = '127.0.0.1';
export const TOKEN = 'trial-operator';

/** Sends a JSON request as an operator: a POST with the body, or a GET if there is no body. */
export const call = async (
  url: string,
  body?: unknown,
): Promise<{ status: number; answer: unknown }> => {
  const headers = { authorization: `Bearer ${TOKEN}`, 'content-type': 'application/json' };
  const post = { method: 'POST' as const, headers, body: JSON.stringify(body) };
  const options = { headersTimeout: 5_000, ...(body === undefined ? { headers } : post) };
  const response = await request(url, options);
  return { status: response.statusCode, answer: await response.body.json() };
};

const WORKER_OPTIONS = {
  zones: ZONES,
  workersPerZone: 4,
  serviceTimeMs: 4,
};

const originOf = ({ port }: Record<string, unknown>): string => `http://${HOST}:${Number(port)}`;

export const startPlatform = async (children: ChildProcesses, seed: string): Promise<string> =>
  (await children.start('standIns/platform/platformProcess.js', [seed], originOf)).ready;

export const startWorkers = async (
  children: ChildProcesses,
): Promise<{ readonly judgeOrigin: string; readonly instances: readonly WorkerInstance[] }> => {
  const args = [JSON.stringify(WORKER_OPTIONS)];
  const { ready } = await children.start('standIns/workers/workersProcess.js', args, (line) => ({
    judgeOrigin: originOf(line),
    instances: line.instances as readonly WorkerInstance[],
  }));
  return ready;
};
