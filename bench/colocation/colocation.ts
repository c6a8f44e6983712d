/**
 * Services and batch work together, as the two users run them: `npm run bench -- colocation`.
 * Everything is of virtual time and of a seed, so the figures are the same on every machine.
 */
import { fitsInto } from '../../src/platform/worker/common/resources.js';
import {
  type PlacementCandidate,
  type PlacementPolicy,
  type PlacementRequest,
  SpreadAndPackPolicy,
} from '../../src/scheduler/common/placement.js';
import type { Benchmark } from '../benchmark.js';
import { type ColocationFigures, ColocationRun, type ColocationWay } from './colocationRun.js';
import { AMMAN, BAJIO } from './truth.js';

const SEED = 11;
const TOLERATED_SLOWDOWN = 1.15;

/** The baseline: batch tasks go to the first worker with room for the declared size. */
class FirstFitPolicy implements PlacementPolicy {
  readonly #services = new SpreadAndPackPolicy();

  choose(
    request: PlacementRequest,
    candidates: readonly PlacementCandidate[],
  ): PlacementCandidate | undefined {
    if (request.isSpread) return this.#services.choose(request, candidates);
    return candidates.find(({ free }) => fitsInto(request.size, free));
  }
}

const WAYS: readonly ColocationWay[] = [
  { name: 'first fit by declared size', policy: new FirstFitPolicy(), isSizeLearnt: false },
  { name: 'no learning', policy: new SpreadAndPackPolicy(), isSizeLearnt: false },
  { name: 'learnt sizes', policy: new SpreadAndPackPolicy(), isSizeLearnt: true },
];

const line = (name: string, figures: ColocationFigures): string =>
  [
    `  ${name.padEnd(28)}`,
    `p99 beside no batch ${figures.p99Ratio.toFixed(3)}`,
    `throughput beside ideal ${figures.throughputRatio.toFixed(3)}`,
    `evictions ${figures.evictionCount}, beside needed ${figures.evictionRatio.toFixed(2)}`,
    `zone leaves and returns ${figures.zoneRatio.toFixed(3)}`,
  ].join(' | ');

const run = async (): Promise<boolean> => {
  [AMMAN, BAJIO].forEach((size) => {
    process.stdout.write(`${size.name}: ${size.workerCount} workers; virtual time, seed ${SEED}\n`);
    WAYS.forEach((way) => {
      const figures = new ColocationRun(size, way, TOLERATED_SLOWDOWN, SEED).run();
      process.stdout.write(`${line(way.name, figures)}\n`);
    });
  });
  return true;
};

export const colocation: Benchmark = { name: 'colocation', run };
