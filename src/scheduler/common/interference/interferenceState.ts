/**
 * What the owner of a cell knows of interference and has done about it. In memory only: a new
 * owner starts with nothing, keeps what its workers report to be throttled and learns anew.
 */
import type { LatencySample } from '../../../services/worker/common/latencySamples.js';
import type { InterferencePolicy } from './interferencePolicy.js';
import { PairEstimates } from './pairEstimates.js';

/** What was done about one worker. */
export interface WorkerControl {
  /** Tells the tasks and throttles of the last look apart from those of the next. */
  readonly fingerprint: string;
  /** When the owner first saw that what runs on the worker is other than before. */
  readonly changedAtMs: number;
  /** When it last throttled, released or evicted there. */
  readonly actedAtMs: number;
  /** Since when services are too slow although all that helps is throttled. */
  readonly throttlingInsufficientSinceMs: number | undefined;
  /** The share of its processors that each running task is to have, by attempt. */
  readonly shares: ReadonlyMap<string, number>;
  /** When each running task, by attempt, and each service, by name, was first seen. */
  readonly firstSeenAtMs: ReadonlyMap<string, number>;
}

export interface InterferenceState {
  readonly estimates: PairEstimates;
  /** What tasks of a kind use of the processors they declare. */
  readonly usageRatios: ReadonlyMap<string, number>;
  readonly controls: ReadonlyMap<string, WorkerControl>;
  /** Samples that wait for a report of what ran meanwhile. */
  readonly pendingSamples: readonly LatencySample[];
  readonly nextStepAtMs: number;
}

export const initialInterference = (
  policy: InterferencePolicy,
  nowMs: number,
): InterferenceState => ({
  estimates: new PairEstimates(policy.halfLifeMs),
  usageRatios: new Map(),
  controls: new Map(),
  pendingSamples: [],
  nextStepAtMs: nowMs,
});

/** Samples that may wait: two looks at 1,000 servers. The oldest go first. */
const MAXIMUM_PENDING_SAMPLES = 2_000;

export const withSamples = (
  interference: InterferenceState,
  samples: readonly LatencySample[],
): InterferenceState => ({
  ...interference,
  pendingSamples: [...interference.pendingSamples, ...samples].slice(-MAXIMUM_PENDING_SAMPLES),
});

/** What a kind uses of its declared processors; all of them until measured. */
export const usageRatio = (interference: InterferenceState, kind: string): number =>
  interference.usageRatios.get(kind) ?? 1;
