/** Draws which faults a run meets and when; the same seed gives the same plan. */
import type { RandomSource } from '../../../src/base/common/random.js';

export const FaultKind = {
  StopInTurn: 'stop-in-turn',
  StopOne: 'stop-one',
  KillInstances: 'kill-instances',
  FreezeInstance: 'freeze-instance',
  WorkersLeave: 'workers-leave',
  AddWorkers: 'add-workers',
  CrashWorkers: 'crash-workers',
  /** Processes of workers end and are back within a second or so, several times. */
  RestartWorkers: 'restart-workers',
  LoseWorkers: 'lose-workers',
  CutWorkers: 'cut-workers',
  /** Workers that run on cannot be reached while all instances are killed. */
  KillBesideCut: 'kill-beside-cut',
  /** A zone and the rest, the store among it, do not reach one another. */
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
  /** Of instances or workers that it meets. */
  readonly count: number;
  readonly isSilent: boolean;
  /** Seeds what is chosen when it happens. */
  readonly choiceSeed: number;
}

const FIRST_AT_MS = 3_000;
const INCIDENT_MS = 34_000;
const STOPPED_INSTANCE_COUNT = 6;
const LEAVING_WORKER_COUNT = 20;
/** Most gaps are short, so that faults overlap; some leave room for the checks of calm times. */
const MAXIMUM_CALM_RATIO = 0.3;
const CALM_GAP_MS = 13_000;
const MAXIMUM_GAP_MS = 3_500;
const DURATION_MS = { least: 1_000, spread: 6_000 };
const ZONE_CUT_MS = { least: 4_000, spread: 3_000 };
const CHOICE_SEED_COUNT = 2 ** 30;

/** Instances stop in turn while workers leave without refusing connections. */
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

/** Long enough for entries to expire while leases last. */
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

/** Faults of a run in the order of their times. */
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
