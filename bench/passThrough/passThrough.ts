/**
 * Measures the cost of the daemon's request path. The same closed loop of requests goes through a
 * daemon with all safeguards on, through a minimal proxy and directly to the backend server. The
 * three variants alternate within one run, so that a busy machine slows all of them equally.
 */
import { setTimeout as delay } from 'node:timers/promises';

import { ChildProcesses } from '../../standIns/demo/childProcesses.js';
import type { Benchmark } from '../benchmark.js';
import { readBounds } from '../bounds.js';
import { CONNECTION_COUNT, type LoadResult, runLoad } from './load.js';
import { processorMs, ResidentMemoryPeak, residentMegabytes } from './processUsage.js';
import { SERVICE_NAME, startSystem, WORKER_COUNT } from './system.js';

const ROUND_COUNT = 7;
const ROUND_MS = 2_000;
const WARM_UP_MS = 2_000;
const SETTLING_MS = 5_000;

const VARIANTS = ['direct', 'bare', 'daemon'] as const;
type Variant = (typeof VARIANTS)[number];

/** One round of a variant, with the processor time per request of the measured process. */
interface VariantResult extends LoadResult {
  readonly processorMicroseconds: number;
}
type Round = Readonly<Record<Variant, VariantResult>>;

interface TargetProcess {
  readonly origin: string;
  readonly pid: number;
}

const printLine = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const median = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

const medianOf = (rounds: readonly Round[], variant: Variant, field: keyof VariantResult): number =>
  median(rounds.map((round) => round[variant][field]));

interface Measurements {
  readonly rounds: readonly Round[];
  readonly idleMegabytes: number;
  readonly loadedMegabytes: number;
}

const runRounds = async (
  targets: Readonly<Record<Variant, TargetProcess>>,
): Promise<readonly Round[]> => {
  const runVariant = async (variant: Variant, durationMs: number): Promise<VariantResult> => {
    const { origin, pid } = targets[variant];
    const usedBeforeMs = await processorMs(pid);
    const result = await runLoad(origin, `/services/${SERVICE_NAME}/echo`, durationMs);
    const usedMs = (await processorMs(pid)) - usedBeforeMs;
    return { ...result, processorMicroseconds: (usedMs * 1_000) / result.requestCount };
  };
  const runRound = async (durationMs: number): Promise<Round> => {
    const direct = await runVariant('direct', durationMs);
    const bare = await runVariant('bare', durationMs);
    return { direct, bare, daemon: await runVariant('daemon', durationMs) };
  };
  await runRound(WARM_UP_MS);
  const rounds: Round[] = [];
  for (let index = 0; index < ROUND_COUNT; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- one round at a time
    rounds.push(await runRound(ROUND_MS));
  }
  return rounds;
};

const measure = async (children: ChildProcesses): Promise<Measurements> => {
  const backend = await children.start(
    'bench/passThrough/backendProcess.js',
    [String(WORKER_COUNT)],
    (line) => line.ports as readonly number[],
  );
  const direct = `http://127.0.0.1:${backend.ready[0] ?? 0}`;
  const bare = await children.start(
    'bench/passThrough/bareProcess.js',
    [direct],
    (line) => `http://127.0.0.1:${Number(line.port)}`,
  );
  const daemon = await startSystem(children, backend.ready);
  await delay(SETTLING_MS);
  const idleMegabytes = await residentMegabytes(daemon.pid);
  const peak = new ResidentMemoryPeak(daemon.pid);
  const rounds = await runRounds({
    direct: { origin: direct, pid: backend.child.pid ?? 0 },
    bare: { origin: bare.ready, pid: bare.child.pid ?? 0 },
    daemon: { origin: daemon.callerOrigin, pid: daemon.pid },
  });
  peak.dispose();
  return { rounds, idleMegabytes, loadedMegabytes: peak.peakMegabytes };
};

const report = ({ rounds }: Measurements): void => {
  printLine(
    `${CONNECTION_COUNT} connections, ${ROUND_COUNT} rounds of ${ROUND_MS} ms each, medians`,
  );
  VARIANTS.forEach((variant) => {
    const rate = Math.round(medianOf(rounds, variant, 'requestsPerSecond'));
    const p50 = medianOf(rounds, variant, 'p50Ms').toFixed(2);
    const p99 = medianOf(rounds, variant, 'p99Ms').toFixed(2);
    const processor = Math.round(medianOf(rounds, variant, 'processorMicroseconds'));
    printLine(
      `${variant.padEnd(6)}  ${rate} requests/s  p50 ${p50} ms  p99 ${p99} ms  ${processor} µs of processor each`,
    );
  });
};

const isWithinBounds = async (measured: Measurements): Promise<boolean> => {
  const { rounds, idleMegabytes, loadedMegabytes } = measured;
  const bounds = await readBounds('pass-through');
  const ratios = rounds.map(
    ({ daemon, bare }) => daemon.requestsPerSecond / bare.requestsPerSecond,
  );
  const failures = rounds.flatMap((round) =>
    VARIANTS.map((variant) => round[variant].failureCount),
  );
  const failureCount = failures.reduce((sum, count) => sum + count, 0);
  const ratio = median(ratios);
  const { minimumRatioToBare = 0, maximumIdleMegabytes = 0, maximumLoadedMegabytes = 0 } = bounds;
  printLine(
    `daemon / bare  ${ratio.toFixed(3)} (rounds ${Math.min(...ratios).toFixed(3)} to ${Math.max(...ratios).toFixed(3)}), bound ${minimumRatioToBare}`,
  );
  const processorRatio =
    medianOf(rounds, 'bare', 'processorMicroseconds') /
    medianOf(rounds, 'daemon', 'processorMicroseconds');
  printLine(`processor time, bare / daemon  ${processorRatio.toFixed(3)}`);
  printLine(`resident idle  ${idleMegabytes.toFixed(1)} MB, bound ${maximumIdleMegabytes}`);
  printLine(`resident peak  ${loadedMegabytes.toFixed(1)} MB, bound ${maximumLoadedMegabytes}`);
  printLine(`requests without a whole answer  ${failureCount}`);
  return (
    ratio >= minimumRatioToBare &&
    idleMegabytes <= maximumIdleMegabytes &&
    loadedMegabytes <= maximumLoadedMegabytes &&
    failureCount === 0
  );
};

export const passThrough: Benchmark = {
  name: 'pass-through',
  run: async () => {
    const children = new ChildProcesses();
    try {
      const measured = await measure(children);
      report(measured);
      return await isWithinBounds(measured);
    } finally {
      children.dispose();
    }
  },
};
