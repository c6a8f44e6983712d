/**
 * `npm run bench -- fleet profile` measures the owner's processor time by activity, without its
 * network calls. Each seed is one run, and the table shows the median, minimum and maximum.
 */
import { DEFAULT_FLEET_POLICY } from '../../src/scheduler/common/fleet/fleetPolicy.js';
import { RateLimitedLog } from '../../src/services/log/common/rateLimitedLog.js';
import { ConsolaLog, LogFormat } from '../../src/services/log/node/consolaLog.js';
import type { DriverCounts } from './driverCounts.js';
import { FleetDriver } from './fleetDriver.js';
import type { BatchKind, FleetShape, LogNormal } from './fleetShape.js';
import { type OwnerTimes, OwnerWork, keepProfilerOn, profileOwner } from './ownerProfile.js';
import { FleetTruth } from './truth.js';
import { Workload } from './workload.js';

const MS_PER_S = 1_000;
const SEED_STRIDE = 1_000_003;
const WORK_WIDTH = 24;
const FIGURE_WIDTH = 9;
/** Number of functions that the report names. */
const FUNCTION_COUNT = 16;

export interface OwnerCostOptions {
  readonly seedCount: number;
  /** Start and length of the measured period, in virtual time. */
  readonly fromMs: number;
  readonly lengthMs: number;
  /**
   * Batch tasks are longer by this factor, and their submissions arrive less often by the same
   * factor, so that the amount of work stays the same.
   */
  readonly stretch: number;
}

interface OwnerRun {
  readonly times: OwnerTimes;
  /** The driver's counts per second of virtual time. */
  readonly rates: DriverCounts;
}

const withLongerTasks = (kind: BatchKind, stretch: number): BatchKind => {
  const stretchWork = ({ mean, sigma, maximum }: LogNormal): LogNormal => ({
    ...{ mean: mean * stretch, sigma, maximum: maximum * stretch },
  });
  const submissionsPerSecond = kind.submissionsPerSecond / stretch;
  return { ...kind, submissionsPerSecond, workMs: stretchWork(kind.workMs) };
};

const ratesSince = (before: DriverCounts, now: DriverCounts, lengthMs: number): DriverCounts =>
  Object.fromEntries(
    Object.entries(now).map(([name, count]: [string, number]) => [
      name,
      ((count - before[name as keyof DriverCounts]) * MS_PER_S) / lengthMs,
    ]),
  ) as unknown as DriverCounts;

const runOnce = async (
  shape: FleetShape,
  { fromMs, lengthMs }: OwnerCostOptions,
  seed: number,
): Promise<OwnerRun> => {
  const truth = new FleetTruth(shape, seed);
  const arrivals = new Workload(shape, truth, seed + SEED_STRIDE).generate();
  const driver = new FleetDriver(shape, truth, DEFAULT_FLEET_POLICY, seed + 2 * SEED_STRIDE);
  const clock = { nowMs: () => driver.time.nowMs };
  driver.log = new RateLimitedLog(new ConsolaLog(LogFormat.Json, {}, () => {}), clock);
  arrivals.forEach((arrival) => driver.submit(arrival));
  await driver.runUntil(fromMs);
  const before = { ...driver.counts };
  const times = await profileOwner(() => driver.runUntil(fromMs + lengthMs));
  return { times, rates: ratesSince(before, driver.counts, lengthMs) };
};

const medianOf = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? Number.NaN;

const summaryOf = (values: readonly number[], digits: number): string =>
  [medianOf(values), Math.min(...values), Math.max(...values)]
    .map((value) => value.toFixed(digits).padStart(FIGURE_WIDTH))
    .join(' ');

/** Prints the owner's processor time per second of virtual time, and per started run. */
export const reportOwnerCost = async (
  shape: FleetShape,
  options: OwnerCostOptions,
  print: (text: string) => void,
): Promise<void> => {
  const { seedCount, lengthMs, stretch } = options;
  const { urgent, filler } = shape;
  const measuredShape = {
    ...shape,
    ...{ urgent: withLongerTasks(urgent, stretch), filler: withLongerTasks(filler, stretch) },
  };
  const stopProfiler = await keepProfilerOn();
  const runs: OwnerRun[] = [];
  for (let seed = 1; seed <= seedCount; seed += 1) {
    // eslint-disable-next-line no-await-in-loop -- runs one seed at a time
    runs.push(await runOnce(measuredShape, options, seed));
  }
  stopProfiler();
  const perSecond = (msOf: (times: OwnerTimes) => number): readonly number[] =>
    runs.map(({ times }) => (msOf(times) * MS_PER_S) / lengthMs);
  const printLine = (name: string, msPerSecond: readonly number[]): void => {
    const perStart = msPerSecond.map((ms, index) => ms / (runs[index]?.rates.startCount ?? 0));
    print(`${name.padEnd(WORK_WIDTH)} ${summaryOf(msPerSecond, 2)}  ${summaryOf(perStart, 4)}`);
  };
  print(`${shape.name}: median, least and most ms a second, then ms a start`);
  Object.values(OwnerWork).forEach((work) =>
    printLine(
      work,
      perSecond(({ msByWork }) => msByWork.get(work) ?? 0),
    ),
  );
  printLine(
    'all',
    perSecond(({ msByWork }) => [...msByWork.values()].reduce((sum, ms) => sum + ms, 0)),
  );
  const medianOfFunction = (functionName: string): number =>
    medianOf(perSecond(({ msByFunction }) => msByFunction.get(functionName) ?? 0));
  const functionNames = [...new Set(runs.flatMap(({ times }) => [...times.msByFunction.keys()]))];
  print('ms a second by function, without what it calls:');
  functionNames
    .map((functionName) => [functionName, medianOfFunction(functionName)] as const)
    .sort(([, left], [, right]) => right - left)
    .slice(0, FUNCTION_COUNT)
    .forEach(([functionName, ms]) =>
      print(`  ${ms.toFixed(2).padStart(FIGURE_WIDTH)} ${functionName}`),
    );
  const rate = (name: keyof DriverCounts): string =>
    `${name} ${medianOf(runs.map(({ rates }) => rates[name])).toFixed(1)}`;
  const names = Object.keys(runs[0]?.rates ?? {}) as (keyof DriverCounts)[];
  print(`a second: ${names.map(rate).join(', ')}`);
  print(
    `processor time per sampled time ${summaryOf(
      runs.map(({ times }) => times.processorShare),
      2,
    )}`,
  );
};
