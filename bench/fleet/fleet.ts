/**
 * Simulates a deployment under the fleet scheduler. Services with periodic load run next to batch
 * work that slows some of them. The simulation includes a burst of fillers, lost workers, faulty
 * workers and a crash of the owner.
 *
 * `npm run bench -- fleet [--workers 46 [--cores C]] [--seeds 10] [--backlog F] [--ablate] [--baselines]
 * [--owner-cores C]`
 *
 * - `--owner-cores` charges the owner's decisions and calls to a processor with that many cores.
 * - `fleet bounds` runs the seeds of CI and checks the results against the committed bounds.
 * - `fleet profile` breaks down the owner's processor time by activity.
 * - `fleet calls` measures the processor time of the owner's calls over loopback.
 */
import { type ArgsDef, parseArgs } from 'citty';

import {
  DEFAULT_FLEET_POLICY,
  type FleetPolicy,
} from '../../src/scheduler/common/fleet/fleetPolicy.js';
import type { Benchmark } from '../benchmark.js';
import { readBounds } from '../bounds.js';
import { ABLATIONS } from './ablations.js';
import { ArrivalOrder, OracleInterferenceControl, NoInterferenceControl } from './baselines.js';
import { type FleetResult, simulateFleet } from './fleetRun.js';
import { FLEET_SHAPES, type FleetShape } from './fleetShape.js';
import { type BatchOutcome, type LargeOutcomes, shareEarned, shareServed } from './outcome.js';
import { reportOwnerCalls } from './ownerCalls.js';
import { reportOwnerCost } from './ownerCost.js';
import type { FleetTruth } from './truth.js';

const NAME = 'fleet';
const BOUNDS_SEEDS = 2;
const MS_PER_S = 1_000;
const MILLIS_PER_CORE = 1_000;

const ARGUMENTS = {
  mode: { type: 'positional', required: false },
  workers: {
    type: 'string',
    default: '46',
    description: 'number of workers: 46, 57, 342, 380 or 860',
  },
  cores: {
    type: 'string',
    description: 'cores of the smallest worker, to select between fleets of the same size',
  },
  backlog: {
    type: 'string',
    description: 'multiplies the arrival rate of fillers for all traffic',
  },
  seeds: { type: 'string', default: '10', description: 'number of seeds, starting at 1' },
  ablate: { type: 'boolean', description: 'disable one mechanism at a time' },
  baselines: { type: 'boolean', description: 'also run the baselines' },
  'owner-cores': {
    type: 'string',
    description: 'cores of the processor that the owner is charged to',
  },
  from: {
    type: 'string',
    default: '12',
    description: 'profile: virtual second at which the measurement starts',
  },
  seconds: {
    type: 'string',
    default: '8',
    description: 'profile, calls: duration of the measurement',
  },
  rate: { type: 'string', default: '600', description: 'calls: hold or start requests per second' },
  runs: {
    type: 'string',
    default: '9',
    description: 'calls: runs listed in the answer to each hold request',
  },
  stretch: {
    type: 'string',
    default: '1',
    description: 'profile: factor by which batch tasks are longer and arrive less often',
  },
} as const satisfies ArgsDef;

type PolicyFactory = (truth: FleetTruth, shape: FleetShape) => FleetPolicy;

const DEFAULT: PolicyFactory = () => DEFAULT_FLEET_POLICY;

const ORACLE: PolicyFactory = (truth, shape) => ({
  ...DEFAULT_FLEET_POLICY,
  newInterferenceControl: () => new OracleInterferenceControl(truth, shape),
});

const UNCONTROLLED: PolicyFactory = () => ({
  ...DEFAULT_FLEET_POLICY,
  newInterferenceControl: () => new NoInterferenceControl(),
});

const FIRST_COME: PolicyFactory = () => ({ ...DEFAULT_FLEET_POLICY, order: new ArrivalOrder() });

const BASELINES: Readonly<Record<string, PolicyFactory>> = {
  'first come, first served': FIRST_COME,
  'no interference control': UNCONTROLLED,
  'known interference costs': ORACLE,
};

/** The results of a policy for several seeds, and the mean of their shares. */
interface Summary {
  readonly share: number;
  readonly results: readonly FleetResult[];
}

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

const runSeeds = async (
  shape: FleetShape,
  policyOf: PolicyFactory,
  seedCount: number,
  ownerCores?: number,
): Promise<Summary> => {
  const results: FleetResult[] = [];
  for (let seed = 1; seed <= seedCount; seed += 1) {
    // eslint-disable-next-line no-await-in-loop -- runs one seed at a time
    results.push(await simulateFleet(shape, (truth) => policyOf(truth, shape), seed, ownerCores));
  }
  return { results, share: mean(results.map(({ share }) => share)) };
};

const batchText = (name: string, outcomes: readonly BatchOutcome[]): string => {
  const count = (toValue: (outcome: BatchOutcome) => number): string =>
    mean(outcomes.map(toValue)).toFixed(0);
  const counts = [
    count(({ inTime }) => inTime),
    count(({ late }) => late),
    count(({ missed }) => missed),
  ];
  return `${name} ${mean(outcomes.map(shareEarned)).toFixed(3)} (${counts.join('/')})`;
};

const servedText = (
  outcomes: readonly BatchOutcome[],
  largeOutcomes: readonly LargeOutcomes[],
): string => {
  const served = [
    outcomes,
    largeOutcomes.map(({ largest }) => largest),
    largeOutcomes.map(({ nextLargest }) => nextLargest),
  ].map((outcomesOfSize) => mean(outcomesOfSize.map(shareServed)).toFixed(3));
  return `served ${served[0]}, largest tenth ${served[1]}, next fifth ${served[2]}`;
};

const summaryLine = (name: string, { share, results }: Summary): string => {
  const meanOf = (toValue: (result: FleetResult) => number, digits = 0): string =>
    mean(results.map(toValue)).toFixed(digits);
  const startCount = mean(results.map(({ counts }) => counts.startCount));
  const schedulerMs = mean(results.map(({ counts }) => counts.schedulerMs));
  return [
    `${name.padEnd(28)} share ${share.toFixed(3)}`,
    batchText(
      'fillers',
      results.map(({ filler }) => filler),
    ),
    servedText(
      results.map(({ filler }) => filler),
      results.map(({ largeFiller }) => largeFiller),
    ),
    batchText(
      'urgent',
      results.map(({ urgent }) => urgent),
    ),
    servedText(
      results.map(({ urgent }) => urgent),
      results.map(({ largeUrgent }) => largeUrgent),
    ),
    `services ${meanOf(({ service }) => shareEarned(service), 3)}`,
    `over ${meanOf(({ overTargetS }) => overTargetS)} s, noticed ${meanOf(({ noticedCount }) => noticedCount, 1)}`,
    `stops ${meanOf(({ counts }) => counts.stopCount)}, paces ${meanOf(({ counts }) => counts.paceCount)}`,
    `lost ${meanOf(({ counts }) => counts.wastedProcessorSeconds)} core-s`,
    `${(schedulerMs / Math.max(1, startCount)).toFixed(2)} ms a start, ${startCount.toFixed(0)} starts`,
    `owner busy ${meanOf(({ ownerBusyShare }) => ownerBusyShare, 2)}`,
  ].join('; ');
};

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const report = async (
  shape: FleetShape,
  policies: Readonly<Record<string, PolicyFactory>>,
  seedCount: number,
  ownerCores?: number,
): Promise<void> => {
  const entries = Object.entries(policies);
  for (let index = 0; index < entries.length; index += 1) {
    const [name, policyOf] = entries[index] as [string, PolicyFactory];
    // eslint-disable-next-line no-await-in-loop -- runs one policy at a time
    print(summaryLine(name, await runSeeds(shape, policyOf, seedCount, ownerCores)));
  }
};

/** Multiplies the arrival rate of fillers by `factor` for the whole traffic period. */
const withFillerBurst = (shape: FleetShape, factor: number): FleetShape => {
  const { trafficFromMs: fromMs, trafficUntilMs: untilMs } = shape;
  return { ...shape, burst: { fromMs, untilMs, factor } };
};

const findShape = (workerCount: number, cores: string | undefined): FleetShape | undefined =>
  FLEET_SHAPES.find((shape) => {
    const [smallest] = shape.processorMillis;
    const hasCores = cores === undefined || smallest === Number(cores) * MILLIS_PER_CORE;
    return shape.workerCount === workerCount && hasCores;
  });

const checkBounds = async (shape: FleetShape): Promise<boolean> => {
  const bounds = await readBounds(NAME);
  const defaultPolicy = await runSeeds(shape, DEFAULT, BOUNDS_SEEDS);
  const oracle = await runSeeds(shape, ORACLE, BOUNDS_SEEDS);
  const uncontrolled = await runSeeds(shape, UNCONTROLLED, BOUNDS_SEEDS);
  const firstCome = await runSeeds(shape, FIRST_COME, BOUNDS_SEEDS);
  print(summaryLine('default policy', defaultPolicy));
  print(summaryLine('known interference costs', oracle));
  print(summaryLine('no interference control', uncontrolled));
  print(summaryLine('first come, first served', firstCome));
  const mostNoticed = Math.max(...defaultPolicy.results.map(({ noticedCount }) => noticedCount));
  const checks: readonly (readonly [string, number, boolean])[] = [
    ['minimumShareToKnown', defaultPolicy.share / oracle.share, true],
    ['minimumShareToUncontrolled', defaultPolicy.share / uncontrolled.share, true],
    ['minimumShareToFirstCome', defaultPolicy.share / firstCome.share, true],
    [
      'minimumServiceShare',
      mean(defaultPolicy.results.map(({ service }) => shareEarned(service))),
      true,
    ],
    ['maximumNoticedSpells', mostNoticed, false],
  ];
  const checkResults = checks.map(([name, value, isMinimum]) => {
    const bound = bounds[name] ?? Number.NaN;
    const isWithinBound = isMinimum ? value >= bound : value <= bound;
    print(`${isWithinBound ? 'ok' : 'CROSSED'}  ${name} ${bound}, measured ${value.toFixed(3)}`);
    return isWithinBound;
  });
  return checkResults.every(Boolean);
};

export const fleet: Benchmark = {
  name: NAME,
  run: async (args) => {
    const parsed = parseArgs<typeof ARGUMENTS>([...args], ARGUMENTS);
    const workerCount = Number(parsed.workers);
    const foundShape = findShape(workerCount, parsed.cores);
    if (foundShape === undefined) {
      const cores = parsed.cores === undefined ? '' : ` of ${parsed.cores} cores`;
      print(`no fleet of ${parsed.workers} workers${cores}`);
      return false;
    }
    if (parsed.mode === 'bounds') return checkBounds(foundShape);
    const { seeds, from, seconds, stretch, rate, runs, backlog } = parsed;
    const positiveOptions = { seeds, from, seconds, stretch, rate, runs, backlog: backlog ?? '1' };
    const invalidOption = Object.entries(positiveOptions).find(([, value]) => !(Number(value) > 0));
    if (invalidOption !== undefined) {
      print(`--${invalidOption[0]} has to be a number above 0, not '${invalidOption[1]}'`);
      return false;
    }
    const shape = backlog === undefined ? foundShape : withFillerBurst(foundShape, Number(backlog));
    if (parsed.mode === 'profile') {
      const options = {
        seedCount: Number(seeds),
        ...{ fromMs: Number(from) * MS_PER_S, lengthMs: Number(seconds) * MS_PER_S },
        stretch: Number(stretch),
      };
      await reportOwnerCost(shape, options, print);
      return true;
    }
    if (parsed.mode === 'calls') {
      const options = {
        ...{ workerCount, repeatCount: Number(seeds), lengthMs: Number(seconds) * MS_PER_S },
        ...{ callsPerSecond: Number(rate), runCount: Number(runs) },
      };
      await reportOwnerCalls(options, print);
      return true;
    }
    if (parsed.mode !== undefined) {
      print(`no mode '${parsed.mode}'; there are: bounds, profile, calls`);
      return false;
    }
    const ownerCores =
      parsed['owner-cores'] === undefined ? undefined : Number(parsed['owner-cores']);
    if (ownerCores !== undefined && !(ownerCores > 0)) {
      print(`--owner-cores has to be a number above 0, not '${parsed['owner-cores']}'`);
      return false;
    }
    const ablated = Object.entries(ABLATIONS).map(
      ([name, policy]) => [`without ${name}`, () => policy] as const,
    );
    const startedAtMs = performance.now();
    const policies = {
      'default policy': DEFAULT,
      ...(parsed.baselines ? BASELINES : {}),
      ...(parsed.ablate ? Object.fromEntries(ablated) : {}),
    };
    await report(shape, policies, Number(parsed.seeds), ownerCores);
    print(`finished in ${((performance.now() - startedAtMs) / MS_PER_S).toFixed(0)} s`);
    return true;
  },
};
