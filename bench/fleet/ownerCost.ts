/**
 * `npm run bench -- fleet profile`: processor time of the owner by what it does, without its calls.
 * Each seed is one run; the table has the medians.
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
/** How many functions are named. */
const PLACE_COUNT = 16;

export interface OwnerCostOptions {
  readonly seedCount: number;
  /** The part of virtual time that is measured. */
  readonly fromMs: number;
  readonly lengthMs: number;
  /** Batch tasks are this many times fewer and longer, so that as much work runs. */
  readonly stretch: number;
}

interface OwnerRun {
  readonly times: OwnerTimes;
  /** Counts a second of virtual time. */
  readonly rates: DriverCounts;
}

const stretched = (kind: BatchKind, stretch: number): BatchKind => {
  const longer = ({ mean, sigma, maximum }: LogNormal): LogNormal => ({
    ...{ mean: mean * stretch, sigma, maximum: maximum * stretch },
  });
  const submissionsPerSecond = kind.submissionsPerSecond / stretch;
  return { ...kind, submissionsPerSecond, workMs: longer(kind.workMs) };
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

const figures = (values: readonly number[], digits: number): string =>
  [medianOf(values), Math.min(...values), Math.max(...values)]
    .map((value) => value.toFixed(digits).padStart(FIGURE_WIDTH))
    .join(' ');

/** Prints milliseconds of processor a second of virtual time, and a start. */
export const reportOwnerCost = async (
  shape: FleetShape,
  options: OwnerCostOptions,
  print: (text: string) => void,
): Promise<void> => {
  const { seedCount, lengthMs, stretch } = options;
  const { urgent, filler } = shape;
  const measured = {
    ...shape,
    ...{ urgent: stretched(urgent, stretch), filler: stretched(filler, stretch) },
  };
  const endProfiler = await keepProfilerOn();
  const runs: OwnerRun[] = [];
  for (let seed = 1; seed <= seedCount; seed += 1) {
    // eslint-disable-next-line no-await-in-loop -- runs one seed at a time
    runs.push(await runOnce(measured, options, seed));
  }
  endProfiler();
  const perSecond = (msOf: (times: OwnerTimes) => number): readonly number[] =>
    runs.map(({ times }) => (msOf(times) * MS_PER_S) / lengthMs);
  const line = (name: string, msPerSecond: readonly number[]): void => {
    const perStart = msPerSecond.map((ms, index) => ms / (runs[index]?.rates.startCount ?? 0));
    print(`${name.padEnd(WORK_WIDTH)} ${figures(msPerSecond, 2)}  ${figures(perStart, 4)}`);
  };
  print(`${shape.name}: median, least and most ms a second, then ms a start`);
  Object.values(OwnerWork).forEach((work) =>
    line(
      work,
      perSecond(({ msByWork }) => msByWork.get(work) ?? 0),
    ),
  );
  line(
    'all',
    perSecond(({ msByWork }) => [...msByWork.values()].reduce((sum, ms) => sum + ms, 0)),
  );
  const medianAt = (place: string): number =>
    medianOf(perSecond(({ msByPlace }) => msByPlace.get(place) ?? 0));
  const places = [...new Set(runs.flatMap(({ times }) => [...times.msByPlace.keys()]))];
  print('ms a second by function, without what it calls:');
  places
    .map((place) => [place, medianAt(place)] as const)
    .sort(([, left], [, right]) => right - left)
    .slice(0, PLACE_COUNT)
    .forEach(([place, ms]) => print(`  ${ms.toFixed(2).padStart(FIGURE_WIDTH)} ${place}`));
  const rate = (name: keyof DriverCounts): string =>
    `${name} ${medianOf(runs.map(({ rates }) => rates[name])).toFixed(1)}`;
  const names = Object.keys(runs[0]?.rates ?? {}) as (keyof DriverCounts)[];
  print(`a second: ${names.map(rate).join(', ')}`);
  print(
    `processor time per sampled time ${figures(
      runs.map(({ times }) => times.processorShare),
      2,
    )}`,
  );
};
