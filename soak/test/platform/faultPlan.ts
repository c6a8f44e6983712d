/** Draws the faults of a run and their times. The same seed gives the same plan. */
import type { RandomSource } from '../../../src/base/common/random.js';

export const FaultKind = {
  StopInTurn: 'stop-in-turn',
  StopOne: 'stop-one',
  KillInstances: 'kill-instances',
  /** An instance ends, and workers see no end of its connections. */
  LosePower: 'lose-power',
  FreezeInstance: 'freeze-instance',
  WorkersLeave: 'workers-leave',
  AddWorkers: 'add-workers',
  CrashWorkers: 'crash-workers',
  /** Worker processes crash and restart several times, each time within about a second. */
  RestartWorkers: 'restart-workers',
  /** Worker processes restart within a tenth of a second while the store is slow. */
  RestartBesideSlowStore: 'restart-beside-slow-store',
  LoseWorkers: 'lose-workers',
  /** Workers answer orders slowly, but holds at once. */
  SlowOrders: 'slow-orders',
  CutWorkers: 'cut-workers',
  /** All instances are killed while some running workers are unreachable. */
  KillBesideCut: 'kill-beside-cut',
  /** A zone is cut off from the other zones and the store. */
  CutZone: 'cut-zone',
  ResetConnections: 'reset-connections',
  SilenceConnections: 'silence-connections',
  StoreDown: 'store-down',
  StoreSlow: 'store-slow',
  StoreLosesAnswers: 'store-loses-answers',
  StoreTurnsAway: 'store-turns-away',
} as const;
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

export const Scenario = { Incident: 'incident', Mixed: 'mixed', Both: 'both' } as const;
export type Scenario = (typeof Scenario)[keyof typeof Scenario];

export interface PlannedFault {
  readonly kind: FaultKind;
  readonly atMs: number;
  readonly durationMs: number;
  /** The number of affected instances or workers. */
  readonly count: number;
  readonly isSilent: boolean;
  /** The seed of the choices made when the fault is carried out. */
  readonly choiceSeed: number;
}

const FIRST_AT_MS = 3_000;
const INCIDENT_MS = 34_000;
const STOPPED_INSTANCE_COUNT = 6;
const LEAVING_WORKER_COUNT = 20;
/**
 * Most gaps between faults are short, so that faults overlap. Some gaps are long, because some
 * checks apply only in calm periods.
 */
const MAXIMUM_CALM_RATIO = 0.3;
const CALM_GAP_MS = 13_000;
const MAXIMUM_GAP_MS = 3_500;
const DURATION_MS = { least: 1_000, spread: 6_000 };
const ZONE_CUT_MS = { least: 4_000, spread: 3_000 };
const CHOICE_SEED_COUNT = 2 ** 30;

/** Instances stop one after the other while workers leave and their addresses become silent. */
const incident = (random: RandomSource): readonly PlannedFault[] => {
  const choiceSeed = random.nextIndex(CHOICE_SEED_COUNT);
  const common = { durationMs: 0, isSilent: true, choiceSeed };
  const stop = { kind: FaultKind.StopInTurn, atMs: FIRST_AT_MS, count: STOPPED_INSTANCE_COUNT };
  const leave = {
    kind: FaultKind.WorkersLeave,
    atMs: FIRST_AT_MS + 1_000,
    count: LEAVING_WORKER_COUNT,
  };
  return [
    { ...common, ...stop },
    { ...common, ...leave },
  ];
};

/** A zone cut that is long enough for worker entries to expire while leases still hold. */
const zoneCut = (random: RandomSource, atMs: number): PlannedFault => ({
  kind: FaultKind.CutZone,
  atMs,
  durationMs: ZONE_CUT_MS.least + random.nextIndex(ZONE_CUT_MS.spread),
  count: 0,
  isSilent: false,
  choiceSeed: random.nextIndex(CHOICE_SEED_COUNT),
});

const mixed = (random: RandomSource, fromMs: number, untilMs: number): readonly PlannedFault[] => {
  const kinds = Object.values(FaultKind);
  const faults: PlannedFault[] = [];
  const calmRatio = random.nextFraction() * MAXIMUM_CALM_RATIO;
  let atMs = fromMs;
  while (atMs < untilMs) {
    faults.push({
      kind: kinds[random.nextIndex(kinds.length)] ?? FaultKind.StopOne,
      atMs,
      durationMs: DURATION_MS.least + random.nextIndex(DURATION_MS.spread),
      count: 1 + random.nextIndex(6),
      isSilent: random.nextFraction() < 0.6,
      choiceSeed: random.nextIndex(CHOICE_SEED_COUNT),
    });
    const isCalm = random.nextFraction() < calmRatio;
    atMs += isCalm ? CALM_GAP_MS : random.nextIndex(MAXIMUM_GAP_MS);
  }
  return faults;
};

/** Draws the faults of a run: the incident, mixed faults, or both with a zone cut in between. */
export const drawPlan = (
  scenario: Scenario,
  random: RandomSource,
  durationMs: number,
): readonly PlannedFault[] => {
  if (scenario === Scenario.Incident) return incident(random);
  if (scenario === Scenario.Mixed) return mixed(random, FIRST_AT_MS, durationMs);
  const cut = zoneCut(random, INCIDENT_MS);
  return [...incident(random), cut, ...mixed(random, INCIDENT_MS, durationMs)];
};
