/** Scenarios: what arrives when, and what one shared queue would make of it. */
import type { RandomSource } from '../../src/base/common/random.js';
import { SeededRandom } from '../../src/base/common/random.js';
import type { Urgency } from '../../src/services/configuration/common/documents.js';
import { Outcome } from './outcome.js';
import { VirtualTime } from '../virtualTime.js';

export const ONE_WAY_MS = 1;
export const SLOT_COUNT = 8;
/** Service times are log-normal: most near the median, a few several times as long. */
const SIGMA = 0.6;

export interface Traffic {
  readonly serviceName: string;
  readonly urgency: Urgency;
  /** Its share of all arrivals. */
  readonly share: number;
  readonly deadlineMs: number;
  readonly meanMs: number;
  readonly callerId?: string;
  /** After how long without an answer its callers hang up and send the same again at once. */
  readonly callerTimeoutMs?: number;
  /** How often they do so before they stay away. */
  readonly resendCount?: number;
}

export interface Scenario {
  readonly name: string;
  readonly workerCount: number;
  readonly entryCount: number;
  readonly durationMs: number;
  readonly warmUpMs: number;
  readonly traffic: readonly Traffic[];
  /** Offered work as a share of what all slots can do. */
  readonly utilisation: (nowMs: number) => number;
  /** Factor on a worker's service times. */
  readonly serviceTimeFactor?: (worker: number, nowMs: number) => number;
  /** Whether the worker refuses connections at once. */
  readonly isFailing?: (worker: number, nowMs: number) => boolean;
  /** Whether backend servers end work whose connection was closed. */
  readonly areServersCancelling?: boolean;
  /** Zones whose workers are out of the routes, by number. */
  readonly isZoneWithdrawn?: (zone: number, nowMs: number) => boolean;
  readonly isEntryDead?: (entry: number, nowMs: number) => boolean;
  /** The chance of an entry to get a request, against the others. */
  readonly entryWeight?: (entry: number) => number;
}

const logNormal = (random: RandomSource, mean: number): number => {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextFraction()));
  const normal = radius * Math.cos(2 * Math.PI * random.nextFraction());
  return mean * Math.exp(SIGMA * normal - (SIGMA * SIGMA) / 2);
};

const exponential = (random: RandomSource, mean: number): number =>
  -Math.log(1 - random.nextFraction()) * mean;

const meanWorkMs = (traffic: readonly Traffic[]): number =>
  traffic.reduce((sum, { share, meanMs }) => sum + share * meanMs, 0);

const pickTraffic = (traffic: readonly Traffic[], random: RandomSource): Traffic => {
  let remainingShare = random.nextFraction();
  const picked = traffic.find(({ share }) => {
    remainingShare -= share;
    return remainingShare < 0;
  });
  return picked ?? (traffic[0] as Traffic);
};

/** Draws the arrivals of a scenario; the same seed gives the same ones to every policy. */
export const generateArrivals = (
  scenario: Scenario,
  time: VirtualTime,
  random: RandomSource,
  handle: (traffic: Traffic, workMs: number) => void,
): void => {
  const { traffic, utilisation, workerCount, durationMs } = scenario;
  const slotCount = workerCount * SLOT_COUNT;
  const next = (): void => {
    const kind = pickTraffic(traffic, random);
    handle(kind, logNormal(random, kind.meanMs));
    const arrivalsPerMs = (utilisation(time.nowMs) * slotCount) / meanWorkMs(traffic);
    if (time.nowMs < durationMs) time.after(exponential(random, 1 / arrivalsPerMs), next);
  };
  next();
};

/** The 99th percentile of one shared queue in front of all slots, which knows all. */
export const idealPercentileMs = (scenario: Scenario, seed: number, share: number): number => {
  const time = new VirtualTime();
  const outcome = new Outcome();
  const waiting: (() => void)[] = [];
  let freeSlotCount = scenario.workerCount * SLOT_COUNT;
  generateArrivals(scenario, time, new SeededRandom(seed), (_traffic, workMs) => {
    const arrivedAtMs = time.nowMs;
    const begin = (): void => {
      freeSlotCount -= 1;
      time.after(workMs, () => {
        freeSlotCount += 1;
        if (arrivedAtMs >= scenario.warmUpMs) {
          outcome.latenciesMs.push(time.nowMs - arrivedAtMs + 2 * ONE_WAY_MS);
        }
        waiting.shift()?.();
      });
    };
    if (freeSlotCount > 0) begin();
    else waiting.push(begin);
  });
  time.runUntil(scenario.durationMs * 2);
  return outcome.percentileMs(share);
};
