/** Runs a dozen workers with their backend servers, and the judge, in one process. */
import Fastify from 'fastify';
import { z } from 'zod';

import { systemClock } from '../../src/base/node/systemClock.js';
import { listeningPort } from '../../src/services/http/node/listening.js';
import type { WorkerInstance } from '../../src/services/instanceList/common/instanceList.js';
import { RevisionedWorker } from '../../src/services/worker/common/revisionedWorker.js';
import { wireCommandSchema } from '../../src/services/worker/common/workerExchange.js';
import { BackendServerStandIn } from './backendServer.js';
import { Judge } from './judge.js';
import { WorkerStandIn } from './workerStandIn.js';

const ADVANCE_INTERVAL_MS = 20;
const GIBIBYTE = 1024 ** 3;
const HOST = '127.0.0.1';

const optionsSchema = z.strictObject({
  zones: z.array(z.string()),
  workersPerZone: z.number().int().positive(),
  serviceTimeMs: z.number().nonnegative(),
});
const markSchema = z.strictObject({ zone: z.string(), isWithdrawn: z.boolean() });

const CAPACITY = { processorMillis: 32_000, memoryBytes: 125 * GIBIBYTE, acceleratorCount: 1 };
const SLOT_COUNT = 8;
const CONNECTION_COUNT = 64;
const WORKERS_PER_RACK = 2;
/** The time after an accepted withdrawal from which no task may start in the zone. */
const WITHDRAWAL_BOUND_MS = 3_000;

const options = optionsSchema.parse(JSON.parse(process.argv[2] ?? '{}'));
const zoneOf = new Map<string, string>();
/** The number of runs of each request, by path. */
const runCounts = new Map<string, number>();
const judge = new Judge(zoneOf, WITHDRAWAL_BOUND_MS);

const startWorker = async (zone: string, index: number): Promise<WorkerInstance> => {
  const id = `${zone}-w${index}`;
  zoneOf.set(id, zone);
  const worker = new WorkerStandIn(id, `${id}-1`, CAPACITY, (event) =>
    judge.note(event, systemClock.nowMs()),
  );
  setInterval(() => worker.advance(systemClock.nowMs()), ADVANCE_INTERVAL_MS);
  const control = Fastify();
  const revised = new RevisionedWorker((command) => worker.command(command, systemClock.nowMs()));
  control.post('/v1/worker/command', (request) =>
    revised.command(wireCommandSchema.parse(request.body)),
  );
  control.post('/v1/worker/report', () => worker.report(systemClock.nowMs()));
  await control.listen({ host: HOST, port: 0 });
  const backend = new BackendServerStandIn({
    workerId: id,
    slotCount: SLOT_COUNT,
    serviceTimeMs: options.serviceTimeMs,
    hasService: (serviceName) => worker.hasService(serviceName),
    onRun: (url) => runCounts.set(url, (runCounts.get(url) ?? 0) + 1),
  });
  return {
    kind: 'worker',
    id,
    availabilityZone: zone,
    rack: `${zone}-r${Math.floor(index / WORKERS_PER_RACK)}`,
    state: 'live',
    controlAddress: { host: HOST, port: listeningPort(control) },
    backendAddress: { host: HOST, port: await backend.listen() },
    capacity: CAPACITY,
    slotCount: SLOT_COUNT,
    connectionCount: CONNECTION_COUNT,
  };
};

const instances = await Promise.all(
  options.zones.flatMap((zone) =>
    Array.from({ length: options.workersPerZone }, (_, index) => startWorker(zone, index)),
  ),
);
const judgeServer = Fastify();
judgeServer.get('/verdict', () => judge.verdict());
judgeServer.get('/runs', () => Object.fromEntries(runCounts));
judgeServer.post('/mark', (request) => {
  const { zone, isWithdrawn } = markSchema.parse(request.body);
  judge.markZone(zone, isWithdrawn, systemClock.nowMs());
  return {};
});
await judgeServer.listen({ host: HOST, port: 0 });
process.stdout.write(`${JSON.stringify({ port: listeningPort(judgeServer), instances })}\n`);
