/**
 * `npm run bench -- fleet calls` measures the processor time of the owner's calls through the
 * platform's adapter, to a process that answers over loopback. The time includes connections, JSON
 * and the validation of answers.
 */
import { systemClock } from '../../src/base/node/systemClock.js';
import { type ChildProcess, fork } from 'node:child_process';
import { once } from 'node:events';
import { fileURLToPath } from 'node:url';

import { StoreClient } from '../../platform/storeClient.js';
import { WorkerCalls } from '../../platform/workerCalls.js';
import { mainThreadMs } from './ownerProfile.js';

const MS_PER_S = 1_000;
const SEND_INTERVAL_MS = 10;
const WARM_UP_MS = 1_500;
const COMMITS_PER_S = 33;
/** Rows per commit that `fleet profile` counts with 46 and with 342 workers. */
const SMALL_ROWS = 5;
const LARGE_ROWS = 25;
const ROW_BYTES = 90;

export interface OwnerCallsOptions {
  readonly workerCount: number;
  readonly repeatCount: number;
  readonly lengthMs: number;
  readonly callsPerSecond: number;
  /** Number of runs in the answer to each hold request. */
  readonly runCount: number;
}

/** A measurement of one kind of call at a steady rate. */
interface Phase {
  readonly name: string;
  readonly callsPerSecond: number;
  readonly call: (index: number) => Promise<{ readonly _tag: string }>;
}

interface PhaseFigures {
  readonly msPerSecond: number;
  readonly callsPerSecond: number;
  readonly failureCount: number;
}

const phasesOf = (
  ports: readonly number[],
  { callsPerSecond }: OwnerCallsOptions,
  workers: WorkerCalls,
  store: StoreClient,
): readonly Phase[] => {
  const reference = (index: number): { workerId: string; address: string; fence: number } => ({
    workerId: `worker-${index % ports.length}`,
    address: `127.0.0.1:${ports[index % ports.length]}`,
    fence: 1_000,
  });
  const commit = (rowCount: number) => (index: number) => {
    const keys = Array.from({ length: rowCount }, (_, row) => `progress/${row}`);
    return store.transact({
      operationId: `owner:1:${index}`,
      conditions: keys.map((key) => ({ key, version: 7 })),
      writes: keys.map((key) => ({ key, value: 'x'.repeat(ROW_BYTES) })),
    })();
  };
  return [
    { name: 'no calls', callsPerSecond: 0, call: commit(0) },
    {
      ...{ name: 'hold', callsPerSecond },
      call: (index) =>
        workers.hold({
          ...reference(index),
          ...{
            acknowledgedSequence: index,
            incarnation: 0,
            leaseEndWorkerMs: 7_000,
            waitMs: 1_500,
          },
        })(),
    },
    {
      ...{ name: 'start', callsPerSecond },
      call: (index) =>
        workers.start({
          ...reference(index),
          ...{ taskName: `00000000000000c1.0.0.${index}`, run: 1, spec: '', checkpoint: '' },
          leaseEndWorkerMs: 7_000,
        })(),
    },
    { name: `commit of ${SMALL_ROWS}`, callsPerSecond: COMMITS_PER_S, call: commit(SMALL_ROWS) },
    { name: `commit of ${LARGE_ROWS}`, callsPerSecond: COMMITS_PER_S, call: commit(LARGE_ROWS) },
  ];
};

/** Sends calls at a steady rate, as far as the processor allows, and waits for all answers. */
const sendCalls = async (
  { call, callsPerSecond }: Phase,
  lengthMs: number,
): Promise<{ readonly callCount: number; readonly failureCount: number }> => {
  const startedAtMs = performance.now();
  const pending = new Set<Promise<void>>();
  let callCount = 0;
  let failureCount = 0;
  const sendOne = async (): Promise<void> => {
    const result = await call(callCount);
    if (result._tag === 'Left') failureCount += 1;
  };
  for (;;) {
    const passedMs = performance.now() - startedAtMs;
    if (passedMs >= lengthMs) break;
    const dueCount = Math.floor((passedMs * callsPerSecond) / MS_PER_S);
    for (; callCount < dueCount; callCount += 1) {
      const promise = sendOne();
      pending.add(promise);
      void promise.finally(() => pending.delete(promise));
    }
    // eslint-disable-next-line no-await-in-loop -- the next calls are due later
    await new Promise((resolve) => {
      setTimeout(resolve, SEND_INTERVAL_MS);
    });
  }
  await Promise.all(pending);
  return { callCount, failureCount };
};

const measure = async (phase: Phase, lengthMs: number): Promise<PhaseFigures> => {
  await sendCalls(phase, WARM_UP_MS);
  const usedBeforeMs = await mainThreadMs();
  const { callCount, failureCount } = await sendCalls(phase, lengthMs);
  const usedMs = (await mainThreadMs()) - usedBeforeMs;
  return {
    msPerSecond: (usedMs * MS_PER_S) / lengthMs,
    callsPerSecond: (callCount * MS_PER_S) / lengthMs,
    failureCount,
  };
};

const startServers = async ({
  workerCount,
  runCount,
}: OwnerCallsOptions): Promise<{ readonly child: ChildProcess; readonly ports: number[] }> => {
  const script = fileURLToPath(new URL('./loopbackServers.js', import.meta.url));
  const child = fork(script, [String(workerCount), String(runCount)]);
  const [ports] = (await once(child, 'message')) as [number[]];
  return { child, ports };
};

const toText = (name: string, figures: readonly PhaseFigures[]): string => {
  const sorted = figures.map(({ msPerSecond }) => msPerSecond).sort((left, right) => left - right);
  const [minimum, median, maximum] = [0, Math.floor(sorted.length / 2), sorted.length - 1].map(
    (index) => (sorted[index] ?? Number.NaN).toFixed(1),
  );
  const rate = Math.min(...figures.map(({ callsPerSecond }) => callsPerSecond)).toFixed(0);
  const failures = figures.reduce((sum, { failureCount }) => sum + failureCount, 0);
  return `${name.padEnd(14)} ${median} ms a second (${minimum} to ${maximum}), ${rate} calls a second, ${failures} failed`;
};

/** Prints median, minimum and maximum processor time for each kind of call, and without calls. */
export const reportOwnerCalls = async (
  options: OwnerCallsOptions,
  print: (text: string) => void,
): Promise<void> => {
  const { child, ports } = await startServers(options);
  const workers = new WorkerCalls(systemClock);
  const store = new StoreClient(`127.0.0.1:${ports[0]}`);
  const phases = phasesOf(ports, options, workers, store);
  print(`calls to ${options.workerCount} workers, ${options.runCount} runs in each list:`);
  for (let index = 0; index < phases.length; index += 1) {
    const phase = phases[index] as Phase;
    const figures: PhaseFigures[] = [];
    while (figures.length < options.repeatCount) {
      // eslint-disable-next-line no-await-in-loop -- one measurement at a time
      figures.push(await measure(phase, options.lengthMs));
    }
    print(toText(phase.name, figures));
  }
  workers.dispose();
  store.dispose();
  child.disconnect();
};
