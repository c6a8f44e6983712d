/**
 * Benchmarks services colocated with batch work at the sizes of two users:
 * `npm run bench -- colocation`. All runs are in virtual time and drawn from seeds, so the figures
 * are the same on every machine.
 */
import { settingsSchema } from '../../src/services/settings/common/settings.js';
import { fitsInto } from '../../src/services/worker/common/resources.js';
import type { InterferencePolicy } from '../../src/scheduler/common/interference/interferencePolicy.js';
import {
  type PlacementCandidate,
  type PlacementPolicy,
  type PlacementRequest,
  SpreadAndPackPolicy,
} from '../../src/scheduler/common/placement.js';
import type { Benchmark } from '../benchmark.js';
import { readBounds } from '../bounds.js';
import { type ColocationFigures, ColocationRun, type ColocationVariant } from './colocationRun.js';
import { AMMAN, BAJIO, type ColocationSize } from './workloadModel.js';

const SEEDS = [11, 12] as const;
const TOLERATED_SLOWDOWN = 1.15;

/** The baseline: a batch task goes to the first worker with free capacity for its declared size. */
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

const DEFAULTS = settingsSchema.shape.scheduler.parse({}).interference;
const OFF: InterferencePolicy = { ...DEFAULTS, isEnabled: false };

/** The interference policy in each user's settings. */
const AMMAN_POLICY: InterferencePolicy = DEFAULTS;
const BAJIO_POLICY: InterferencePolicy = {
  ...DEFAULTS,
  doubtDeviations: 0.8,
  toleratedSlowdown: 0.1,
  releaseSlowdown: 0.09,
  placementSlowdown: 0.1,
  evictionSlowdown: 0.13,
};

const BASELINES: readonly ColocationVariant[] = [
  {
    name: 'first fit by declared size',
    policy: new FirstFitPolicy(),
    isSizeLearnt: false,
    interference: OFF,
  },
  {
    name: 'no learning',
    policy: new SpreadAndPackPolicy(),
    isSizeLearnt: false,
    interference: OFF,
  },
  {
    name: 'learnt sizes',
    policy: new SpreadAndPackPolicy(),
    isSizeLearnt: true,
    interference: OFF,
  },
];

const SIZES = [
  { size: AMMAN, policy: AMMAN_POLICY },
  { size: BAJIO, policy: BAJIO_POLICY },
] as const;

/** The ratio of evictions to the evictions that the latency bound needed. */
const evictionRatio = ({ evictionCount, neededEvictionCount }: ColocationFigures): number =>
  evictionCount === 0 ? 1 : evictionCount / Math.max(1, neededEvictionCount);

const formatFigures = (name: string, figures: ColocationFigures): string =>
  [
    `  ${name.padEnd(28)}`,
    `p99 beside no batch ${figures.p99Ratio.toFixed(3)}`,
    `throughput beside ideal ${figures.throughputRatio.toFixed(3)}`,
    `evictions ${figures.evictionCount}, beside needed ${evictionRatio(figures).toFixed(2)}`,
    `zone leaves and returns ${figures.zoneRatio.toFixed(3)}, beside own pace ${figures.zoneToOwnPace.toFixed(3)}`,
  ].join(' | ');

const runOne = (
  size: ColocationSize,
  variant: ColocationVariant,
  seed: number,
): ColocationFigures => {
  const figures = new ColocationRun(size, variant, TOLERATED_SLOWDOWN, seed).run();
  process.stdout.write(`${formatFigures(`${variant.name}, seed ${seed}`, figures)}\n`);
  return figures;
};

/** Combines the figures of several seeds: ratios are averaged and evictions are added. */
const combineFigures = (figuresBySeed: readonly ColocationFigures[]): ColocationFigures => {
  const sum = (select: (figures: ColocationFigures) => number): number =>
    figuresBySeed.reduce((total, figures) => total + select(figures), 0);
  return {
    p99Ratio: sum(({ p99Ratio }) => p99Ratio) / figuresBySeed.length,
    throughputRatio: sum(({ throughputRatio }) => throughputRatio) / figuresBySeed.length,
    evictionCount: sum(({ evictionCount }) => evictionCount),
    neededEvictionCount: sum(({ neededEvictionCount }) => neededEvictionCount),
    zoneRatio: sum(({ zoneRatio }) => zoneRatio) / figuresBySeed.length,
    zoneToOwnPace: sum(({ zoneToOwnPace }) => zoneToOwnPace) / figuresBySeed.length,
  };
};

/** Prints each figure with its bound. Returns whether all figures are within their bounds. */
const checkBounds = (
  name: string,
  figures: ColocationFigures,
  bounds: Readonly<Record<string, number>>,
): boolean => {
  const highest = [
    ['P99Ratio', figures.p99Ratio],
    ['EvictionRatio', evictionRatio(figures)],
  ] as const;
  const lowest = [
    ['ThroughputRatio', figures.throughputRatio],
    ['ZoneRatio', figures.zoneRatio],
    ['ZoneToOwnPace', figures.zoneToOwnPace],
  ] as const;
  const verdicts = [
    ...highest.map(([figure, value]) => ({ key: `maximum${figure}`, value, isHighest: true })),
    ...lowest.map(([figure, value]) => ({ key: `minimum${figure}`, value, isHighest: false })),
  ].map(({ key, value, isHighest }) => {
    const bound = bounds[`${name}.${key}`] ?? Number.NaN;
    const isWithinBound = isHighest ? value <= bound : value >= bound;
    const mark = isWithinBound ? 'ok     ' : 'CROSSED';
    process.stdout.write(`  ${mark} ${name} ${key} ${value.toFixed(3)} (bound ${bound})\n`);
    return isWithinBound;
  });
  return verdicts.every(Boolean);
};

/** With the argument `bounds`, only the product runs and the baselines are left out. */
const run = async ([mode]: readonly string[]): Promise<boolean> => {
  const bounds = await readBounds('colocation');
  const verdicts = SIZES.map(({ size, policy }) => {
    process.stdout.write(`${size.name}: ${size.workerCount} workers in 3 zones; virtual time\n`);
    if (mode !== 'bounds') BASELINES.forEach((variant) => runOne(size, variant, SEEDS[0]));
    const variant = {
      name: 'product',
      policy: new SpreadAndPackPolicy(),
      isSizeLearnt: true,
      interference: policy,
    };
    const figures = combineFigures(SEEDS.map((seed) => runOne(size, variant, seed)));
    process.stdout.write(`${formatFigures('product, both seeds', figures)}\n`);
    return checkBounds(size.name, figures, bounds);
  });
  return verdicts.every(Boolean);
};

export const colocation: Benchmark = { name: 'colocation', run };
