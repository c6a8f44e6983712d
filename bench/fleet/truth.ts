/** Ground truth of a simulated fleet: loads, interference costs between images, and task work. */
import { type RandomSource, SeededRandom } from '../../src/base/common/random.js';
import type { FleetShape, LogNormal } from './fleetShape.js';

const MS_PER_S = 1_000;
/** Amplitude of interference costs relative to their mean. Each cost has its own period. */
const COST_AMPLITUDE = 0.3;
const SHORTEST_COST_PERIOD_MS = 3_000;
const COST_PERIOD_RANGE_MS = 5_000;

const TWO_PI = 2 * Math.PI;

/** Samples the standard normal distribution by the Box-Muller transform. */
const normalFrom = (random: RandomSource): number =>
  Math.sqrt(-2 * Math.log(1 - random.nextFraction())) * Math.cos(TWO_PI * random.nextFraction());

/** Samples a capped log-normal distribution. */
export const sampleFrom = (random: RandomSource, { mean, sigma, maximum }: LogNormal): number =>
  Math.min(maximum, mean * Math.exp(sigma * normalFrom(random) - (sigma * sigma) / 2));

/** Samples a log-normal factor whose median is 1. */
export const factorFrom = (random: RandomSource, sigma: number): number =>
  Math.exp(sigma * normalFrom(random));

/** Samples the interarrival time of a Poisson process. */
export const interarrivalMsFrom = (random: RandomSource, perSecond: number): number =>
  (-Math.log(1 - random.nextFraction()) / perSecond) * MS_PER_S;

/** Interference cost of a filler image on a serving image, as a sine over time. */
interface PairCost {
  readonly mean: number;
  readonly periodMs: number;
  readonly phase: number;
}

export interface TaskTruth {
  readonly image: string;
  readonly processorMillis: number;
  /** Duration of the work at full speed; infinite for a service. */
  readonly workMs: number;
  readonly isFiller: boolean;
  /** Phase of a service's periodic load; undefined for batch work. */
  readonly loadPhase: number | undefined;
  readonly savesProgress: boolean;
  /** Number of runs that fail before a run succeeds. */
  readonly failureCount: number;
}

export const servingImage = (index: number): string => `service-${index}`;
export const fillerImage = (index: number): string => `batch-${index}`;

export class FleetTruth {
  readonly tasks = new Map<string, TaskTruth>();

  readonly #shape: FleetShape;

  readonly #costs = new Map<string, PairCost>();

  constructor(shape: FleetShape, seed: number) {
    this.#shape = shape;
    const random = new SeededRandom(seed);
    const { interference, service } = shape;
    for (let serving = 0; serving < service.imageCount; serving += 1) {
      for (let filler = 0; filler < interference.fillerImageCount; filler += 1) {
        const isStrong = random.nextFraction() < interference.strongShare;
        const { minimumStrongCost, maximumStrongCost, maximumWeakCost } = interference;
        const mean = isStrong
          ? minimumStrongCost + (maximumStrongCost - minimumStrongCost) * random.nextFraction()
          : maximumWeakCost * random.nextFraction();
        this.#costs.set(`${servingImage(serving)} ${fillerImage(filler)}`, {
          mean,
          periodMs: SHORTEST_COST_PERIOD_MS + COST_PERIOD_RANGE_MS * random.nextFraction(),
          phase: TWO_PI * random.nextFraction(),
        });
      }
    }
  }

  /** The share of its own processors that a service's task uses at `nowMs`. */
  loadAt(phase: number, nowMs: number): number {
    const { load, loadAmplitude, loadPeriodMs } = this.#shape.service;
    return load * (1 + loadAmplitude * Math.sin(TWO_PI * (nowMs / loadPeriodMs) + phase));
  }

  /** The share of a serving task's processors that a worker full of the filler takes away. */
  costAt(serving: string, filler: string, nowMs: number): number {
    const cost = this.#costs.get(`${serving} ${filler}`);
    if (cost === undefined) return 0;
    const oscillation = Math.sin(TWO_PI * (nowMs / cost.periodMs) + cost.phase);
    return cost.mean * (1 + COST_AMPLITUDE * oscillation);
  }
}
