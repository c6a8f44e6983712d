/** The request path's decisions under load: `npm run bench -- requests`. */
import { settingsSchema } from '../../src/platform/settings/common/settings.js';
import { LatencyWeightedOfTwo, LeastInFlightOfTwo } from '../../src/entry/common/serverChoice.js';
import type { Benchmark } from '../benchmark.js';
import { readBounds } from '../bounds.js';
import { RandomChoice, RoundRobin } from './baselineChoosers.js';
import { idealPercentileMs, type Scenario } from './arrivals.js';
import { LoadModel, type ModelPolicy, type ModelResult } from './loadModel.js';
import { scenarios, type Size, SIZES } from './scenarios.js';

const SEED = 20_261;
const P99 = 0.99;

const say = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const entryDefaults = settingsSchema.shape.entry.parse(undefined);
const choosers = {
  random: (random) => new RandomChoice(random),
  'round robin': (random) => new RoundRobin(random),
  'least in flight of two': (random) => new LeastInFlightOfTwo(random),
  'latency-weighted of two': (random) => new LatencyWeightedOfTwo(random),
} as const satisfies Record<string, ModelPolicy['createChooser']>;
type ChooserName = keyof typeof choosers;
const OWN: ChooserName = 'latency-weighted of two';

/** Scenarios in which the ways of choosing are shown beside one another. */
const COMPARED: readonly string[] = ['steady', 'slow-worker', 'saturated', 'burst'];

const policy = (name: ChooserName, isHedging = false): ModelPolicy => ({
  createChooser: choosers[name],
  admission: entryDefaults,
  isHedging,
});

const percent = (share: number): string => `${(share * 100).toFixed(1)} %`;

const line = (label: string, result: ModelResult): string => {
  const { all, outcomes, capacityMs } = result;
  const rounds = outcomes.get('rounds');
  return [
    label.padEnd(44),
    `p50 ${all.percentileMs(0.5).toFixed(1)}`.padEnd(11),
    `p99 ${all.percentileMs(P99).toFixed(1)}`.padEnd(12),
    `urgent p99 ${(rounds?.percentileMs(P99) ?? 0).toFixed(1)}`.padEnd(18),
    `in time ${percent(all.inTime / all.offered)}`.padEnd(18),
    `urgent in time ${percent((rounds?.inTime ?? 0) / (rounds?.offered ?? 1))}`.padEnd(24),
    `useful ${percent(all.usefulWorkMs / capacityMs)}`.padEnd(17),
    `attempts ${(result.attemptCount / all.offered).toFixed(3)}`,
  ].join('');
};

const runOne = (scenario: Scenario, own: ModelPolicy, label: string): ModelResult => {
  const result = new LoadModel(scenario, own, SEED).run();
  say(`  ${line(label, result)}`);
  return result;
};

const runSize = (size: Size, areBaselinesRun: boolean): ReadonlyMap<string, number> => {
  say(
    `${size.name}: ${size.workerCount} workers of 8 slots, 7 entries; virtual time, seed ${SEED}`,
  );
  const all = scenarios(size);
  const results = new Map<string, ModelResult>();
  all.forEach((scenario) => {
    const isCompared = areBaselinesRun && COMPARED.includes(scenario.name);
    (Object.keys(choosers) as ChooserName[])
      .filter(() => isCompared)
      .forEach((name) => runOne(scenario, policy(name), `${scenario.name}, ${name}`));
    results.set(scenario.name, runOne(scenario, policy(OWN, true), `${scenario.name}, product`));
  });
  const figure = (name: string): ModelResult => results.get(name) as ModelResult;
  const p99 = (name: string): number => figure(name).all.percentileMs(P99);
  const urgentP99 = (name: string): number =>
    figure(name).outcomes.get('rounds')?.percentileMs(P99) ?? 0;
  const useful = (name: string): number => figure(name).all.usefulWorkMs / figure(name).capacityMs;
  const inTime = (name: string): number => figure(name).all.inTime / figure(name).all.offered;
  const idealMs = idealPercentileMs(all[0] as Scenario, SEED, P99);
  say(`  one shared queue that knows all, steady: p99 ${idealMs.toFixed(1)}`);
  return new Map([
    ['maximumSteadyP99ToIdeal', p99('steady') / idealMs],
    ['maximumSlowWorkerP99ToSteady', p99('slow-worker') / p99('steady')],
    ['minimumSaturatedUseful', useful('saturated')],
    ['maximumSaturatedUrgentP99ToSteady', urgentP99('saturated') / urgentP99('steady')],
    ['maximumOutageAttempts', figure('outage').attemptCount / figure('outage').all.offered],
    ['minimumFailingWorkerInTime', inTime('failing-worker')],
    ['maximumEntryDiesP99ToSteady', p99('entry-dies') / p99('steady')],
    ['maximumSkewedP99ToSteady', p99('skewed') / p99('steady')],
    ['minimumZoneLeavesInTime', inTime('zone-leaves')],
    ['maximumBurstUrgentP99ToSteady', urgentP99('burst') / urgentP99('steady')],
    ['maximumLongAndShortUrgentP99ToSteady', urgentP99('long-and-short') / urgentP99('steady')],
  ]);
};

/** Prints each figure beside its bound and tells whether all hold. */
const checkBounds = (
  size: string,
  figures: ReadonlyMap<string, number>,
  bounds: Readonly<Record<string, number>>,
): boolean => {
  let areHeld = true;
  figures.forEach((value, name) => {
    const bound = bounds[name];
    const isLowest = name.startsWith('minimum');
    const isHeld = bound !== undefined && (isLowest ? value >= bound : value <= bound);
    areHeld &&= isHeld;
    say(`  ${isHeld ? 'ok     ' : 'CROSSED'} ${size} ${name} ${value.toFixed(3)} (bound ${bound})`);
  });
  return areHeld;
};

/** With the argument `bounds` only the product is run, without the ways it is compared with. */
export const requestsBenchmark: Benchmark = {
  name: 'requests',
  run: async ([mode]) => {
    const bounds = await readBounds('requests');
    const isCompared = mode !== 'bounds';
    const verdicts = SIZES.map((size) => checkBounds(size.name, runSize(size, isCompared), bounds));
    return verdicts.every(Boolean);
  },
};
