/** Simulates a fleet under a policy for one seed. */
import { SeededRandom } from '../../src/base/common/random.js';
import type { FleetPolicy } from '../../src/scheduler/common/fleet/fleetPolicy.js';
import type { DriverCounts } from './driverCounts.js';
import { FleetDriver } from './fleetDriver.js';
import type { FleetShape } from './fleetShape.js';
import { type SimulationOutcome, OutcomeMeter, shareEarned } from './outcome.js';
import { FleetTruth } from './truth.js';
import { Workload } from './workload.js';

/** Difference between the seeds of the random sources of one simulation. */
const SEED_STRIDE = 1_000_003;

export interface FleetResult extends SimulationOutcome {
  readonly counts: DriverCounts;
  /** Share of the time during which the owner's processor was busy; 0 if it is not charged. */
  readonly ownerBusyShare: number;
  /** Earned value as a share of the attainable value. */
  readonly share: number;
}

/** Schedules the lost workers, the faulty workers and the crash of the owner. */
const scheduleFailures = (driver: FleetDriver, shape: FleetShape, seed: number): void => {
  const random = new SeededRandom(seed);
  const ids = [...driver.workers.keys()];
  const drawWorkerId = (): string => ids.splice(random.nextIndex(ids.length), 1)[0] as string;
  const { lostWorkerCount, lossAtMs, faultyWorkerCount, faultyFromMs, faultyUntilMs } = shape;
  const lost = Array.from({ length: lostWorkerCount }, drawWorkerId);
  const faulty = Array.from({ length: faultyWorkerCount }, drawWorkerId);
  const setFaulty = (isFaulty: boolean): void =>
    faulty.forEach((id) => {
      const worker = driver.workers.get(id);
      if (worker !== undefined) worker.isFaulty = isFaulty;
    });
  driver.time.after(lossAtMs, () => lost.forEach((id) => driver.crashWorker(id)));
  driver.time.after(faultyFromMs, () => setFaulty(true));
  driver.time.after(faultyUntilMs, () => setFaulty(false));
  if (shape.ownerCrashesAtMs !== undefined) {
    driver.time.after(shape.ownerCrashesAtMs, () => driver.replaceOwner());
  }
};

/** Runs one simulation. `policyOf` receives the ground truth, which oracle baselines need. */
export const simulateFleet = async (
  shape: FleetShape,
  policyOf: (truth: FleetTruth) => FleetPolicy,
  seed: number,
  ownerCores?: number,
): Promise<FleetResult> => {
  const truth = new FleetTruth(shape, seed);
  const arrivals = new Workload(shape, truth, seed + SEED_STRIDE).generate();
  const policy = policyOf(truth);
  const driver = new FleetDriver(shape, truth, policy, seed + 2 * SEED_STRIDE, ownerCores);
  const meter = new OutcomeMeter(shape, driver, arrivals);
  arrivals.forEach((arrival) => driver.submit(arrival));
  scheduleFailures(driver, shape, seed + 3 * SEED_STRIDE);
  await driver.runUntil(shape.endMs);
  const outcome = meter.finish();
  const { urgent, filler, service } = outcome;
  const kindOutcomes = [urgent, filler, service];
  const share = shareEarned({
    earned: kindOutcomes.reduce((sum, { earned }) => sum + earned, 0),
    attainable: kindOutcomes.reduce((sum, { attainable }) => sum + attainable, 0),
  });
  const ownerBusyShare = driver.ownerBusyMs / shape.endMs;
  return { ...outcome, counts: driver.counts, ownerBusyShare, share };
};
