/** The load scenarios of the request path benchmark. */
import { Urgency } from '../../src/services/configuration/common/documents.js';
import type { Scenario, Traffic } from './arrivals.js';

export interface Size {
  readonly name: string;
  readonly workerCount: number;
}

export const SIZES: readonly Size[] = [
  { name: 'amman', workerCount: 35 },
  { name: 'bajio', workerCount: 45 },
];

const ENTRY_COUNT = 7;
const MEAN_MS = 20;
const DEADLINE_MS = 1_000;
const DURATION_MS = 8_000;
const WARM_UP_MS = 2_000;
const STEADY_LOAD = 0.7;
const LONG_MEAN_MS = 2_000;

const urgent: Traffic = {
  serviceName: 'rounds',
  urgency: Urgency.Urgent,
  share: 0.3,
  deadlineMs: DEADLINE_MS,
  meanMs: MEAN_MS,
};
const low: Traffic = { ...urgent, serviceName: 'plans', urgency: Urgency.Low, share: 0.7 };
const long: Traffic = {
  ...low,
  serviceName: 'proofs',
  urgency: Urgency.Normal,
  share: 0.01,
  deadlineMs: 30_000,
  meanMs: LONG_MEAN_MS,
};

const isBetween = (nowMs: number, startMs: number, endMs: number): boolean =>
  nowMs >= startMs && nowMs < endMs;

/** About one worker in fifty is ten times slower. The slow workers change every 100 ms. */
const noisyServiceTimeFactor = (worker: number, nowMs: number): number => {
  const period = Math.floor(nowMs / 100);
  return (worker * 7_919 + period * 104_729) % 50 === 0 ? 10 : 1;
};

export const steady = ({ workerCount }: Size): Scenario => ({
  name: 'steady',
  workerCount,
  entryCount: ENTRY_COUNT,
  durationMs: DURATION_MS,
  warmUpMs: WARM_UP_MS,
  traffic: [urgent, low],
  utilisation: () => STEADY_LOAD,
});

/** When callers hang up and resend, and whether servers cancel work for closed connections. */
export interface Impatience {
  readonly name: string;
  readonly callerTimeoutMs: number;
  readonly resendCount: number;
  readonly areServersCancelling: boolean;
}

export const IMPATIENT = {
  name: 'impatient',
  callerTimeoutMs: 150,
  resendCount: 3,
  areServersCancelling: true,
} as const satisfies Impatience;
export const IMPATIENT_WITHOUT_CANCELLATION = {
  ...IMPATIENT,
  name: 'impatient, servers work on',
  areServersCancelling: false,
} as const satisfies Impatience;
/** Callers hang up before a usual answer arrives, and the servers go on with the unwanted work. */
export const HASTY = {
  name: 'hasty, servers work on',
  callerTimeoutMs: 10,
  resendCount: 20,
  areServersCancelling: false,
} as const satisfies Impatience;

/** A burst of hang-ups and resent requests while other callers are patient. */
export const impatientCallers = (
  size: Size,
  { name, callerTimeoutMs, resendCount, areServersCancelling }: Impatience,
): Scenario => ({
  ...steady(size),
  name,
  traffic: [
    urgent,
    { ...low, share: 0.3 },
    { ...low, serviceName: 'proofs', share: 0.4, callerTimeoutMs, resendCount },
  ],
  utilisation: (nowMs) => (isBetween(nowMs, 3_000, 6_000) ? 1.5 : STEADY_LOAD),
  areServersCancelling,
});

export const scenarios = (size: Size): readonly Scenario[] => {
  const base = steady(size);
  return [
    base,
    {
      ...base,
      name: 'burst',
      utilisation: (nowMs) => (isBetween(nowMs, 4_000, 6_000) ? 3 * STEADY_LOAD : STEADY_LOAD),
    },
    { ...base, name: 'skewed', entryWeight: (entry) => (entry === 0 ? 1 : 0.5) },
    { ...base, name: 'slow-worker', serviceTimeFactor: (worker) => (worker === 3 ? 10 : 1) },
    {
      ...base,
      name: 'noisy-neighbours',
      serviceTimeFactor: (worker, nowMs) => noisyServiceTimeFactor(worker, nowMs),
    },
    { ...base, name: 'failing-worker', isFailing: (worker) => worker === 3 },
    {
      ...base,
      name: 'long-and-short',
      traffic: [urgent, { ...low, share: 0.69 }, long],
    },
    { ...base, name: 'saturated', utilisation: () => 2 },
    { ...base, name: 'outage', isFailing: () => true },
    { ...base, name: 'entry-dies', isEntryDead: (entry, nowMs) => entry === 0 && nowMs > 4_000 },
    {
      ...base,
      name: 'zone-leaves',
      utilisation: () => 0.55,
      isZoneWithdrawn: (zone, nowMs) => zone === 0 && isBetween(nowMs, 3_500, 6_000),
    },
  ];
};
