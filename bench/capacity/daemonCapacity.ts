/**
 * Measures the cost of a daemon in its own process. The operating system gives its processor time
 * and memory, and a counting relay the bytes to and from the platform.
 */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { type AddressInfo, connect, createServer, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import {
  serviceKey,
  VERSION_KEY,
  zoneKey,
} from '../../src/services/configuration/common/documents.js';
import type { Instance } from '../../src/services/instanceList/common/instanceList.js';
import type { Role, SettingsInput } from '../../src/services/settings/common/settings.js';
import { endpointKey, endpointMarkKey } from '../../src/services/workload/common/workRows.js';
import { ChildProcesses } from '../../standIns/demo/childProcesses.js';
import type { TableCounts } from '../../standIns/platform/tableStandIn.js';
import { processorMs, residentMegabytes } from '../passThrough/processUsage.js';
import { fitRows, runSequentially, type Line, roundFigure } from './slopes.js';

const HOST = '127.0.0.1';
const WARM_UP_MS = 4_000;
const MEASURED_MS = 6_000;
const MS_PER_SECOND = 1_000;
const KIBIBYTE = 1_024;
const ZONE_COUNT = 7;
const TASKS_PER_WORKER = 4;
const WORKER_COUNTS = [100, 400, 860] as const;
const PEER_COUNTS = [1, 3, 6] as const;
const SIZE = { processorMillis: 1_000, memoryBytes: KIBIBYTE, acceleratorCount: 0 };

export interface DaemonFigures {
  readonly workerCount: number;
  readonly daemonCount: number;
  readonly coreRatio: number;
  readonly residentMegabytes: number;
  /** Bytes to and from the table and the instance list. */
  readonly platformBytesPerSecond: number;
  readonly readsPerSecond: number;
  readonly readRowsPerSecond: number;
  readonly transactionsPerSecond: number;
}

export interface DaemonResults {
  readonly byWorkers: readonly DaemonFigures[];
  readonly byPeers: readonly DaemonFigures[];
  readonly lines: Readonly<Record<string, Line>>;
}

const post = async (url: string, body: unknown): Promise<void> => {
  const response = await request(url, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(body),
  });
  await response.body.dump();
};

/** Forwards connections and counts the bytes in both directions. */
class CountingRelay {
  byteCount = 0;

  readonly #server: Server;

  constructor(targetPort: number) {
    this.#server = createServer((client) => {
      const upstream = connect(targetPort, HOST);
      const count = (chunk: Buffer): void => {
        this.byteCount += chunk.length;
      };
      client.on('data', count).on('error', () => upstream.destroy());
      upstream.on('data', count).on('error', () => client.destroy());
      client.pipe(upstream).pipe(client);
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, HOST, resolve);
    });
    return `http://${HOST}:${(this.#server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.#server.close();
  }
}

const zoneName = (index: number): string => `zone-${index % ZONE_COUNT}`;

const workerInstance = (index: number): Instance => ({
  kind: 'worker',
  id: `worker-${index}`,
  availabilityZone: zoneName(index),
  rack: `${zoneName(index)}-r${Math.floor(index / (ZONE_COUNT * 8))}`,
  state: 'live',
  controlAddress: { host: HOST, port: 1 },
  backendAddress: { host: HOST, port: 1 },
  capacity: { processorMillis: 32_000, memoryBytes: 125 * KIBIBYTE ** 3, acceleratorCount: 1 },
  slotCount: 8,
  connectionCount: 64,
});

/** Writes the configuration and the endpoints of a system with `workerCount` workers. */
const fillTable = async (origin: string, workerCount: number): Promise<void> => {
  const indexes = Array.from({ length: workerCount }, (_, index) => index);
  const zones = Array.from({ length: ZONE_COUNT }, (_, index) => zoneName(index));
  const services = indexes.map((index) => ({
    name: `service-${index}`,
    team: `team-${index % 360}`,
    replicaCount: TASKS_PER_WORKER,
    size: SIZE,
    urgency: 'urgent',
  }));
  const endpoints = zones.map((zone, zoneIndex) => ({
    key: endpointKey(zone),
    value: {
      servers: indexes
        .filter((index) => index % ZONE_COUNT === zoneIndex)
        .flatMap((index) =>
          Array.from({ length: TASKS_PER_WORKER }, (_, task) => ({
            serviceName: `service-${(index + task * ZONE_COUNT) % workerCount}`,
            workerId: `worker-${index}`,
            taskId: `service-${index}@d1:${zone}:${index}.${task}`,
          })),
        ),
    },
  }));
  await post(`${origin}/v1/table/transact`, {
    operationId: 'fill',
    conditions: [],
    writes: [
      { key: VERSION_KEY, value: { version: 1 } },
      ...zones.map((name) => ({
        key: zoneKey(name),
        value: { name, region: 'r', state: 'in-use' },
      })),
      ...services.map((service) => ({ key: serviceKey(service.name), value: service })),
      ...endpoints,
      ...zones.map((zone) => ({ key: endpointMarkKey(zone), value: { operationId: 'fill' } })),
    ],
  });
};

interface StartedDaemon {
  readonly pid: number;
  readonly instance: Instance;
}

const startDaemon = async (
  children: ChildProcesses,
  folder: string,
  index: number,
  roles: Role[],
  origin: string,
): Promise<StartedDaemon> => {
  const listen = { host: HOST, port: 0 };
  const settings: SettingsInput = {
    instanceId: `entry-${index}`,
    availabilityZone: zoneName(index),
    roles,
    listen: { callers: listen, operators: listen, peers: listen },
    platform: { tableOrigin: origin, objectStoreOrigin: origin, instanceListOrigin: origin },
  };
  const file = join(folder, `${index}.json`);
  await writeFile(file, JSON.stringify(settings));
  const { child, ready } = await children.start(
    'src/daemon/node/snipethreadd.js',
    ['--settings', file],
    (line) => (line.event === 'listening' ? line : undefined),
  );
  return {
    pid: child.pid ?? 0,
    instance: {
      kind: 'daemon',
      id: `entry-${index}`,
      availabilityZone: zoneName(index),
      state: 'live',
      peerAddress: { host: HOST, port: Number(ready.peersPort) },
      operatorAddress: { host: HOST, port: Number(ready.operatorsPort) },
    },
  };
};

const readCounts = async (origin: string): Promise<TableCounts> =>
  (await (await request(`${origin}/control/counts`)).body.json()) as TableCounts;

/** Measures the first daemon. The others are its peers and reach the platform directly. */
const measure = async (workerCount: number, daemonCount: number): Promise<DaemonFigures> => {
  const children = new ChildProcesses();
  const folder = await mkdtemp(join(tmpdir(), 'snipethread-capacity-'));
  const platform = await children.start('standIns/platform/platformProcess.js', ['1'], (line) =>
    Number(line.port),
  );
  const origin = `http://${HOST}:${platform.ready}`;
  const relay = new CountingRelay(platform.ready);
  try {
    await fillTable(origin, workerCount);
    const relayOrigin = await relay.listen();
    const daemons = await Promise.all(
      Array.from({ length: daemonCount }, (_, index) =>
        startDaemon(
          children,
          folder,
          index,
          ['entry', 'operator'],
          index === 0 ? relayOrigin : origin,
        ),
      ),
    );
    const workers = Array.from({ length: workerCount }, (_, index) => workerInstance(index));
    const instances = [...workers, ...daemons.map(({ instance }) => instance)];
    await post(`${origin}/control/instances`, { instances });
    await delay(WARM_UP_MS);
    const pid = daemons[0]?.pid ?? 0;
    const before = {
      usedMs: await processorMs(pid),
      bytes: relay.byteCount,
      counts: await readCounts(origin),
    };
    await delay(MEASURED_MS);
    const counts = await readCounts(origin);
    const perSecond = (value: number): number => roundFigure((value * MS_PER_SECOND) / MEASURED_MS);
    // The table counts the reads and transactions of all daemons, so this is the mean per daemon.
    const perDaemon = (value: number): number => roundFigure(perSecond(value) / daemonCount);
    return {
      workerCount,
      daemonCount,
      coreRatio: roundFigure(((await processorMs(pid)) - before.usedMs) / MEASURED_MS),
      residentMegabytes: roundFigure(await residentMegabytes(pid)),
      platformBytesPerSecond: perSecond(relay.byteCount - before.bytes),
      readsPerSecond: perDaemon(counts.readCount - before.counts.readCount),
      readRowsPerSecond: perDaemon(counts.readRowCount - before.counts.readRowCount),
      transactionsPerSecond: perDaemon(counts.transactionCount - before.counts.transactionCount),
    };
  } finally {
    children.dispose();
    relay.close();
    await rm(folder, { recursive: true, force: true });
  }
};

export const measureDaemons = async (
  onRow: (row: DaemonFigures) => void,
): Promise<DaemonResults> => {
  const measureAndReport = async (
    workerCount: number,
    daemonCount: number,
  ): Promise<DaemonFigures> => {
    const row = await measure(workerCount, daemonCount);
    onRow(row);
    return row;
  };
  const byWorkers = await runSequentially(WORKER_COUNTS, (workerCount) =>
    measureAndReport(workerCount, 1),
  );
  const byPeers = await runSequentially(PEER_COUNTS, (count) =>
    measureAndReport(WORKER_COUNTS[0], count + 1),
  );
  const lines = {
    coreRatioByWorkers: fitRows(
      byWorkers,
      (row) => row.workerCount,
      (row) => row.coreRatio,
    ),
    megabytesByWorkers: fitRows(
      byWorkers,
      (row) => row.workerCount,
      (row) => row.residentMegabytes,
    ),
    bytesByWorkers: fitRows(
      byWorkers,
      (row) => row.workerCount,
      (row) => row.platformBytesPerSecond,
    ),
    coreRatioByPeers: fitRows(
      byPeers,
      (row) => row.daemonCount - 1,
      (row) => row.coreRatio,
    ),
  };
  return { byWorkers, byPeers, lines };
};
