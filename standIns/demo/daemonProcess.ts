/** Starts `snipethreadd` as a child process, with all roles and with ports that the OS chooses. */
import type { ChildProcess } from 'node:child_process';
import { createHash } from 'node:crypto';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import type { DaemonInstance } from '../../src/services/instanceList/common/instanceList.js';
import type { SettingsInput } from '../../src/services/settings/common/settings.js';
import type { ChildProcesses } from './childProcesses.js';
import { HOST, TOKEN } from './platformProcesses.js';

const TOKEN_DIGEST = createHash('sha256').update(TOKEN).digest('hex');
const ANY_PORT = { host: HOST, port: 0 };

export interface DaemonProcess {
  readonly child: ChildProcess;
  readonly instance: DaemonInstance;
  readonly callerOrigin: string;
}

const daemonSettings = (id: string, zone: string, origin: string): SettingsInput => ({
  instanceId: id,
  availabilityZone: zone,
  listen: { callers: ANY_PORT, operators: ANY_PORT, peers: ANY_PORT },
  platform: { tableOrigin: origin, objectStoreOrigin: origin, instanceListOrigin: origin },
  operator: { tokens: [{ name: 'demo', role: 'confirm', sha256: TOKEN_DIGEST }] },
  tracing: { sampleRatio: 1 },
});

export const startDaemon = async (
  children: ChildProcesses,
  folder: string,
  instanceId: string,
  zone: string,
  platformOrigin: string,
): Promise<DaemonProcess> => {
  const file = join(folder, `${instanceId}.json`);
  const settings = daemonSettings(instanceId, zone, platformOrigin);
  await writeFile(file, JSON.stringify(settings));
  const { child, ready } = await children.start(
    'src/daemon/node/snipethreadd.js',
    ['--settings', file],
    (line) => (line.event === 'listening' ? line : undefined),
  );
  return {
    child,
    instance: {
      kind: 'daemon',
      id: instanceId,
      availabilityZone: zone,
      state: 'live',
      peerAddress: { host: HOST, port: Number(ready.peersPort) },
      operatorAddress: { host: HOST, port: Number(ready.operatorsPort) },
    },
    callerOrigin: `http://${HOST}:${Number(ready.callersPort)}`,
  };
};
