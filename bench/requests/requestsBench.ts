/** Benchmarks the decisions of the request path under load: `npm run bench -- requests`. */
// eslint-disable-next-line import-x/no-extraneous-dependencies -- benchmarks are not shipped
import { Bench } from 'tinybench';

import { SeededRandom } from '../../src/base/common/random.js';
import { Admission } from '../../src/entry/common/admission.js';
import { ServerVerdict } from '../../src/entry/common/admissionDecision.js';
import type { ServerRecord } from '../../src/entry/common/serverRecords.js';
import { settingsSchema } from '../../src/services/settings/common/settings.js';
import { LatencyWeightedOfTwo, LeastInFlightOfTwo } from '../../src/entry/common/serverChoice.js';
import type { Benchmark } from '../benchmark.js';
import { readBounds } from '../bounds.js';
import { RandomChoice, RoundRobin } from './baselineChoosers.js';
import { heapBytesPerRequest } from './heapGrowth.js';
import { idealPercentileMs, type Scenario } from './arrivals.js';
import { LoadModel, type ModelPolicy, type ModelResult } from './loadModel.js';
import {
  HASTY,
  type Impatience,
  IMPATIENT,
  IMPATIENT_WITHOUT_CANCELLATION,
  impatientCallers,
  scenarios,
  type Size,
  SIZES,
} from './scenarios.js';

const SEED = 20_261;
const P99 = 0.99;

const printLine = (text: string): void => {
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
const PRODUCT_CHOOSER: ChooserName = 'latency-weighted of two';

/** Scenarios that also run with the baseline choosers. */
const COMPARED_SCENARIOS: readonly string[] = [
  'steady',
  'slow-worker',
  'noisy-neighbours',
  'saturated',
];

const toPolicy = (
  name: ChooserName,
  isHedgingEnabled = false,
  areHangUpsHandled = true,
): ModelPolicy => ({
  createChooser: choosers[name],
  admission: entryDefaults,
  isHedgingEnabled,
  areHangUpsHandled,
});

const percent = (share: number): string => `${(share * 100).toFixed(1)} %`;

const formatResult = (label: string, result: ModelResult): string => {
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

const runOne = (scenario: Scenario, policy: ModelPolicy, label: string): ModelResult => {
  const result = new LoadModel(scenario, policy, SEED).run();
  printLine(`  ${formatResult(label, result)}`);
  return result;
};

/** Figures of the services of patient callers while other callers are impatient. */
interface ImpatienceFigures {
  readonly othersInTime: number;
  readonly urgentP99Ms: number;
  readonly useful: number;
}

const runImpatientCallers = (
  size: Size,
  impatience: Impatience,
  areHangUpsHandled: boolean,
): ImpatienceFigures => {
  const scenario = impatientCallers(size, impatience);
  const label = `${impatience.name}, ${areHangUpsHandled ? 'product' : 'hang-ups unnoticed'}`;
  const result = runOne(scenario, toPolicy(PRODUCT_CHOOSER, true, areHangUpsHandled), label);
  const plans = result.outcomes.get('plans');
  const othersInTime = (plans?.inTime ?? 0) / (plans?.offered ?? 1);
  printLine(`    patient low work in time ${percent(othersInTime)}`);
  return {
    othersInTime,
    urgentP99Ms: result.outcomes.get('rounds')?.percentileMs(P99) ?? 0,
    useful: result.all.usefulWorkMs / result.capacityMs,
  };
};

/** The ratio of each figure with hang-ups handled to the same load with hang-ups ignored. */
const impatienceRatios = (size: Size): readonly [string, number][] => {
  type Ratio = (figure: keyof ImpatienceFigures) => number;
  const compare = (impatience: Impatience, unhandled: ImpatienceFigures): Ratio => {
    const handled = runImpatientCallers(size, impatience, true);
    return (figure) => handled[figure] / unhandled[figure];
  };
  const unhandled = runImpatientCallers(size, IMPATIENT, false);
  const impatient = compare(IMPATIENT, unhandled);
  const withoutCancellation = compare(IMPATIENT_WITHOUT_CANCELLATION, unhandled);
  const hasty = compare(HASTY, runImpatientCallers(size, HASTY, false));
  return [
    ['minimumImpatientOthersToUnnoticed', impatient('othersInTime')],
    ['minimumImpatientUsefulToUnnoticed', impatient('useful')],
    ['minimumServersWorkOnUsefulToUnnoticed', withoutCancellation('useful')],
    ['maximumServersWorkOnUrgentP99ToUnnoticed', withoutCancellation('urgentP99Ms')],
    ['minimumHastyOthersToUnnoticed', hasty('othersInTime')],
    ['maximumHastyUrgentP99ToUnnoticed', hasty('urgentP99Ms')],
  ];
};

const runSize = (size: Size, areBaselinesRun: boolean): ReadonlyMap<string, number> => {
  printLine(
    `${size.name}: ${size.workerCount} workers of 8 slots, 7 entries; virtual time, seed ${SEED}`,
  );
  const allScenarios = scenarios(size);
  const results = new Map<string, ModelResult>();
  const unhedged = runOne(
    allScenarios.find(({ name }) => name === 'noisy-neighbours') as Scenario,
    toPolicy(PRODUCT_CHOOSER),
    'noisy-neighbours, product without hedging',
  );
  allScenarios.forEach((scenario) => {
    const isCompared = areBaselinesRun && COMPARED_SCENARIOS.includes(scenario.name);
    (Object.keys(choosers) as ChooserName[])
      .filter(() => isCompared)
      .forEach((name) => runOne(scenario, toPolicy(name), `${scenario.name}, ${name}`));
    results.set(
      scenario.name,
      runOne(scenario, toPolicy(PRODUCT_CHOOSER, true), `${scenario.name}, product`),
    );
  });
  const resultOf = (name: string): ModelResult => results.get(name) as ModelResult;
  const p99 = (name: string): number => resultOf(name).all.percentileMs(P99);
  const urgentP99 = (name: string): number =>
    resultOf(name).outcomes.get('rounds')?.percentileMs(P99) ?? 0;
  const useful = (name: string): number =>
    resultOf(name).all.usefulWorkMs / resultOf(name).capacityMs;
  const inTime = (name: string): number => resultOf(name).all.inTime / resultOf(name).all.offered;
  const idealMs = idealPercentileMs(allScenarios[0] as Scenario, SEED, P99);
  printLine(`  one shared queue that knows all, steady: p99 ${idealMs.toFixed(1)}`);
  return new Map([
    ['maximumSteadyP99ToIdeal', p99('steady') / idealMs],
    ['maximumSlowWorkerP99ToSteady', p99('slow-worker') / p99('steady')],
    ['minimumSaturatedUseful', useful('saturated')],
    ['maximumSaturatedUrgentP99ToSteady', urgentP99('saturated') / urgentP99('steady')],
    ['maximumOutageAttempts', resultOf('outage').attemptCount / resultOf('outage').all.offered],
    ['minimumFailingWorkerInTime', inTime('failing-worker')],
    ['maximumEntryDiesP99ToSteady', p99('entry-dies') / p99('steady')],
    ['maximumSkewedP99ToSteady', p99('skewed') / p99('steady')],
    ['minimumZoneLeavesInTime', inTime('zone-leaves')],
    ['maximumBurstUrgentP99ToSteady', urgentP99('burst') / urgentP99('steady')],
    [
      'maximumNoisyNeighboursP99ToUnhedged',
      p99('noisy-neighbours') / unhedged.all.percentileMs(P99),
    ],
    ['maximumLongAndShortUrgentP99ToSteady', urgentP99('long-and-short') / urgentP99('steady')],
    ...impatienceRatios(size),
  ]);
};

/** Prints each figure with its bound. Returns whether all figures are within their bounds. */
const checkBounds = (
  size: string,
  figures: ReadonlyMap<string, number>,
  bounds: Readonly<Record<string, number>>,
): boolean => {
  let areWithinBounds = true;
  figures.forEach((value, name) => {
    const bound = bounds[name];
    const isMinimum = name.startsWith('minimum');
    const isWithinBound = bound !== undefined && (isMinimum ? value >= bound : value <= bound);
    areWithinBounds &&= isWithinBound;
    printLine(
      `  ${isWithinBound ? 'ok     ' : 'CROSSED'} ${size} ${name} ${value.toFixed(3)} (bound ${bound})`,
    );
  });
  return areWithinBounds;
};

const WORKER_COUNT = 860;
const IN_FLIGHT_COUNT = 500;
const NS_PER_MS = 1_000_000;

/** Prints the time of one decision at the design size. Real time varies, so CI has no bound. */
const timeDecision = async (): Promise<void> => {
  const random = new SeededRandom(SEED);
  const admission = new Admission(entryDefaults, new LatencyWeightedOfTwo(random), random);
  const servers = Array.from({ length: WORKER_COUNT }, (_, index) => ({
    workerId: `w${index}`,
    origin: `http://w${index}`,
    availabilityZone: 'zone-a',
    slotCount: 8,
    connectionCount: 64,
  }));
  admission.updateRoutes(new Map([['rounds', servers]]), () => 'urgent', 7);
  const waiting = {
    callerId: '',
    deadlineAtMs: 1e9,
    waitingSinceMs: 0,
    avoidedWorkerId: undefined,
  };
  const end = { latencyMs: 20, verdict: ServerVerdict.Success, isServerLeaving: false };
  const inFlight: ServerRecord[] = [];
  let nowMs = 0;
  const bench = new Bench({ time: 500 });
  bench.add('choose, admit and finish', () => {
    nowMs += 0.1;
    const decision = admission.admit('rounds', waiting, nowMs);
    if (decision.kind === 'admitted') inFlight.push(decision.server);
    if (inFlight.length < IN_FLIGHT_COUNT) return;
    const server = inFlight.shift();
    if (server !== undefined) admission.finish('rounds', server, end, nowMs);
  });
  await bench.run();
  const { result } = bench.tasks[0] ?? {};
  if (result === undefined || !('latency' in result)) return;
  const { p50, p99 } = result.latency;
  printLine(
    `one decision at ${WORKER_COUNT} workers: median ${(p50 * NS_PER_MS).toFixed(0)} ns, p99 ${(p99 * NS_PER_MS).toFixed(0)} ns`,
  );
};

/** With the argument `bounds`, only the product runs and the baselines are left out. */
export const requestsBenchmark: Benchmark = {
  name: 'requests',
  run: async ([mode]) => {
    const bounds = await readBounds('requests');
    const isCompared = mode !== 'bounds';
    if (isCompared) await timeDecision();
    const heap = new Map([
      ['maximumHeapBytesPerRequest', heapBytesPerRequest(entryDefaults, SEED)],
    ]);
    const isHeapWithinBound = checkBounds('memory', heap, bounds);
    const verdicts = SIZES.map((size) => checkBounds(size.name, runSize(size, isCompared), bounds));
    return isHeapWithinBound && verdicts.every(Boolean);
  },
};
