/** Plays one day of a modelled fleet under a policy. */
import { SeededRandom } from '../../src/base/common/random.js';
import type { FleetPolicy } from '../../src/scheduler/common/fleet/fleetPolicy.js';
import { type DriverCounts, FleetDriver } from './fleetDriver.js';
import type { FleetShape } from './fleetShape.js';
import { type DayOutcome, OutcomeMeter, shareEarned } from './outcome.js';
import { FleetTruth } from './truth.js';
import { Workload } from './workload.js';

/** Seeds of one day's parts are this far apart. */
const SEED_STRIDE = 1_000_003;

export interface FleetDay extends DayOutcome {
  readonly counts: DriverCounts;
  /** What was earned of all that was owed. */
  readonly share: number;
}

const schedule = (driver: FleetDriver, shape: FleetShape, seed: number): void => {
  const random = new SeededRandom(seed);
  const ids = [...driver.workers.keys()];
  const takeOne = (): string => ids.splice(random.nextIndex(ids.length), 1)[0] as string;
  const { lostWorkerCount, lossAtMs, faultyWorkerCount, faultyFromMs, faultyUntilMs } = shape;
  const lost = Array.from({ length: lostWorkerCount }, takeOne);
  const faulty = Array.from({ length: faultyWorkerCount }, takeOne);
  const setFaulty = (isFaulty: boolean): void =>
    faulty.forEach((id) => {
      const worker = driver.workers.get(id);
      if (worker !== undefined) worker.isFaulty = isFaulty;
    });
  driver.time.after(lossAtMs, () => lost.forEach((id) => driver.loseWorker(id)));
  driver.time.after(faultyFromMs, () => setFaulty(true));
  driver.time.after(faultyUntilMs, () => setFaulty(false));
  if (shape.ownerDiesAtMs !== undefined) {
    driver.time.after(shape.ownerDiesAtMs, () => driver.replaceOwner());
  }
};

/** `policyOf` may use what really happens, for baselines that know it. */
export const playFleetDay = async (
  shape: FleetShape,
  policyOf: (truth: FleetTruth) => FleetPolicy,
  seed: number,
): Promise<FleetDay> => {
  const truth = new FleetTruth(shape, seed);
  const arrivals = new Workload(shape, truth, seed + SEED_STRIDE).draw();
  const driver = new FleetDriver(shape, truth, policyOf(truth), seed + 2 * SEED_STRIDE);
  const meter = new OutcomeMeter(shape, driver, arrivals);
  arrivals.forEach((arrival) => driver.submit(arrival));
  schedule(driver, shape, seed + 3 * SEED_STRIDE);
  await driver.runUntil(shape.endMs);
  const outcome = meter.finish();
  const { urgent, filler, service } = outcome;
  const parts = [urgent, filler, service];
  const share = shareEarned({
    earned: parts.reduce((sum, { earned }) => sum + earned, 0),
    owed: parts.reduce((sum, { owed }) => sum + owed, 0),
  });
  return { ...outcome, counts: driver.counts, share };
};
