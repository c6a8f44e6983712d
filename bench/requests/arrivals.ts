/** The scenarios' arrivals, and the latency of an ideal shared queue as a reference. */
import type { RandomSource } from '../../src/base/common/random.js';
import { SeededRandom } from '../../src/base/common/random.js';
import type { Urgency } from '../../src/services/configuration/common/documents.js';
import { Outcome } from './outcome.js';
import { VirtualTime } from '../virtualTime.js';

export const ONE_WAY_MS = 1;
export const SLOT_COUNT = 8;
/** Service times are log-normal: most are near the median, a few are several times as long. */
const SIGMA = 0.6;

export interface Traffic {
  readonly serviceName: string;
  readonly urgency: Urgency;
  /** The share of all arrivals. */
  readonly share: number;
  readonly deadlineMs: number;
  readonly meanMs: number;
  readonly callerId?: string;
  /** Callers without an answer hang up after this time and resend the request at once. */
  readonly callerTimeoutMs?: number;
  /** How many times a caller resends a request before it gives up. */
  readonly resendCount?: number;
}

export interface Scenario {
  readonly name: string;
  readonly workerCount: number;
  readonly entryCount: number;
  readonly durationMs: number;
  readonly warmUpMs: number;
  readonly traffic: readonly Traffic[];
  /** Offered work as a share of the capacity of all slots. */
  readonly utilisation: (nowMs: number) => number;
  /** The factor by which a worker's service times are longer than usual. */
  readonly serviceTimeFactor?: (worker: number, nowMs: number) => number;
  /** Whether the worker refuses connections immediately. */
  readonly isFailing?: (worker: number, nowMs: number) => boolean;
  /** Whether backend servers cancel a request when its connection is closed. */
  readonly areServersCancelling?: boolean;
  /** Whether the workers of the zone with this number are removed from the routes. */
  readonly isZoneWithdrawn?: (zone: number, nowMs: number) => boolean;
  readonly isEntryDead?: (entry: number, nowMs: number) => boolean;
  /** The relative probability that an entry receives a request, at most 1. */
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

/** Generates the arrivals of a scenario. The same seed gives every policy the same arrivals. */
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

/** The percentile (`share` 0.99 for the 99th) of one shared, ideal queue in front of all slots. */
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
