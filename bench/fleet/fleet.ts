/**
 * What the fleet's scheduler makes of a modelled deployment: services whose load swings beside batch
 * work that slows some of them, a burst, lost and faulty workers and a change of the owner.
 *
 * `npm run bench -- fleet [--workers 46] [--seeds 10] [--ablate] [--baselines]`; with `bounds` the
 * few seeds of CI are played and held against the committed bounds.
 */
import { type ArgsDef, parseArgs } from 'citty';

import {
  DEFAULT_FLEET_POLICY,
  type FleetPolicy,
} from '../../src/scheduler/common/fleet/fleetPolicy.js';
import type { Benchmark } from '../benchmark.js';
import { readBounds } from '../bounds.js';
import { ABLATIONS } from './ablations.js';
import { ArrivalOrder, KnownInterferenceControl, NoInterferenceControl } from './baselines.js';
import { type FleetDay, playFleetDay } from './fleetRun.js';
import { FLEET_SHAPES, type FleetShape } from './fleetShape.js';
import { type BatchOutcome, shareEarned } from './outcome.js';
import type { FleetTruth } from './truth.js';

const NAME = 'fleet';
const BOUNDS_SEEDS = 2;
const MS_PER_S = 1_000;

const ARGUMENTS = {
  mode: { type: 'positional', required: false },
  workers: { type: 'string', default: '46', description: 'size of the fleet: 46, 342 or 860' },
  seeds: { type: 'string', default: '10', description: 'seeds from 1 to this one' },
  ablate: { type: 'boolean', description: 'switch off one mechanism at a time' },
  baselines: { type: 'boolean', description: 'play the baselines too' },
} as const satisfies ArgsDef;

type PolicyOf = (truth: FleetTruth, shape: FleetShape) => FleetPolicy;

const OWN: PolicyOf = () => DEFAULT_FLEET_POLICY;

const KNOWN: PolicyOf = (truth, shape) => ({
  ...DEFAULT_FLEET_POLICY,
  newInterferenceControl: () => new KnownInterferenceControl(truth, shape),
});

const UNCONTROLLED: PolicyOf = () => ({
  ...DEFAULT_FLEET_POLICY,
  newInterferenceControl: () => new NoInterferenceControl(),
});

const FIRST_COME: PolicyOf = () => ({ ...DEFAULT_FLEET_POLICY, order: new ArrivalOrder() });

const BASELINES: Readonly<Record<string, PolicyOf>> = {
  'first come, first served': FIRST_COME,
  'no control of interference': UNCONTROLLED,
  'all costs known': KNOWN,
};

/** Days of several seeds, as means. */
interface Summary {
  readonly share: number;
  readonly days: readonly FleetDay[];
}

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);

const play = async (shape: FleetShape, policyOf: PolicyOf, seedCount: number): Promise<Summary> => {
  const days: FleetDay[] = [];
  for (let seed = 1; seed <= seedCount; seed += 1) {
    // eslint-disable-next-line no-await-in-loop -- one day after the other
    days.push(await playFleetDay(shape, (truth) => policyOf(truth, shape), seed));
  }
  return { days, share: mean(days.map(({ share }) => share)) };
};

const batchText = (name: string, outcomes: readonly BatchOutcome[]): string => {
  const count = (of: (outcome: BatchOutcome) => number): string =>
    mean(outcomes.map(of)).toFixed(0);
  const counts = [
    count(({ inTime }) => inTime),
    count(({ late }) => late),
    count(({ never }) => never),
  ];
  return `${name} ${mean(outcomes.map(shareEarned)).toFixed(3)} (${counts.join('/')})`;
};

const line = (name: string, { share, days }: Summary): string => {
  const per = (of: (day: FleetDay) => number, digits = 0): string =>
    mean(days.map(of)).toFixed(digits);
  const startCount = mean(days.map(({ counts }) => counts.startCount));
  const schedulerMs = mean(days.map(({ counts }) => counts.schedulerMs));
  return [
    `${name.padEnd(28)} share ${share.toFixed(3)}`,
    batchText(
      'fillers',
      days.map(({ filler }) => filler),
    ),
    batchText(
      'largest',
      days.map(({ largest }) => largest),
    ),
    batchText(
      'urgent',
      days.map(({ urgent }) => urgent),
    ),
    `services ${per(({ service }) => shareEarned(service), 3)}`,
    `over ${per(({ overS }) => overS)} s, noticed ${per(({ noticedCount }) => noticedCount, 1)}`,
    `stops ${per(({ counts }) => counts.stopCount)}, paces ${per(({ counts }) => counts.paceCount)}`,
    `lost ${per(({ counts }) => counts.wastedProcessorSeconds)} core-s`,
    `${(schedulerMs / Math.max(1, startCount)).toFixed(2)} ms a start`,
  ].join('; ');
};

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const report = async (
  shape: FleetShape,
  policies: Readonly<Record<string, PolicyOf>>,
  seedCount: number,
): Promise<void> => {
  const entries = Object.entries(policies);
  for (let index = 0; index < entries.length; index += 1) {
    const [name, policyOf] = entries[index] as [string, PolicyOf];
    // eslint-disable-next-line no-await-in-loop -- one policy after the other
    print(line(name, await play(shape, policyOf, seedCount)));
  }
};

const holdsBounds = async (shape: FleetShape): Promise<boolean> => {
  const bounds = await readBounds(NAME);
  const own = await play(shape, OWN, BOUNDS_SEEDS);
  const known = await play(shape, KNOWN, BOUNDS_SEEDS);
  const uncontrolled = await play(shape, UNCONTROLLED, BOUNDS_SEEDS);
  const firstCome = await play(shape, FIRST_COME, BOUNDS_SEEDS);
  print(line('own policy', own));
  print(line('all costs known', known));
  print(line('no control of interference', uncontrolled));
  print(line('first come, first served', firstCome));
  const noticed = Math.max(...own.days.map(({ noticedCount }) => noticedCount));
  const checks: readonly (readonly [string, number, boolean])[] = [
    ['minimumShareToKnown', own.share / known.share, true],
    ['minimumShareToUncontrolled', own.share / uncontrolled.share, true],
    ['minimumShareToFirstCome', own.share / firstCome.share, true],
    ['maximumNoticedSpells', noticed, false],
  ];
  return checks.every(([name, value, isMinimum]) => {
    const bound = bounds[name] ?? Number.NaN;
    const isHeld = isMinimum ? value >= bound : value <= bound;
    print(`${isHeld ? 'ok' : 'CROSSED'}  ${name} ${bound}, measured ${value.toFixed(3)}`);
    return isHeld;
  });
};

export const fleet: Benchmark = {
  name: NAME,
  run: async (args) => {
    const parsed = parseArgs<typeof ARGUMENTS>([...args], ARGUMENTS);
    const workerCount = Number(parsed.workers);
    const shape = FLEET_SHAPES.find((one) => one.workerCount === workerCount);
    if (shape === undefined) {
      print(`no fleet of ${parsed.workers} workers`);
      return false;
    }
    if (parsed.mode === 'bounds') return holdsBounds(shape);
    const ablated = Object.entries(ABLATIONS).map(
      ([name, policy]) => [`without ${name}`, () => policy] as const,
    );
    const startedAtMs = performance.now();
    const policies = {
      'own policy': OWN,
      ...(parsed.baselines ? BASELINES : {}),
      ...(parsed.ablate ? Object.fromEntries(ablated) : {}),
    };
    await report(shape, policies, Number(parsed.seeds));
    print(`played in ${((performance.now() - startedAtMs) / MS_PER_S).toFixed(0)} s`);
    return true;
  },
};
