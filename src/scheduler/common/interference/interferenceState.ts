/**
 * Estimates of interference in a cell, and the control actions that its owner has taken. The state
 * is kept in memory only. A new owner starts without estimates, keeps the throttles that its
 * workers report and learns anew.
 */
import type { LatencySample } from '../../../services/worker/common/latencySamples.js';
import type { InterferencePolicy } from './interferencePolicy.js';
import { PairEstimates } from './pairEstimates.js';

/** The control state of one worker. */
export interface WorkerControl {
  /** Identifies the tasks and throttles last seen on the worker, to detect changes. */
  readonly fingerprint: string;
  /** When the owner first saw that the tasks or throttles on the worker had changed. */
  readonly changedAtMs: number;
  /** When the owner last throttled, released or evicted a task on the worker. */
  readonly actedAtMs: number;
  /**
   * Since when services have been too slow although all tasks whose throttling helps are throttled.
   */
  readonly throttlingInsufficientSinceMs: number | undefined;
  /** The share of its processors that each running task should get, by attempt key. */
  readonly shares: ReadonlyMap<string, number>;
  /** When each running task (by attempt key) and each service (by name) was first seen. */
  readonly firstSeenAtMs: ReadonlyMap<string, number>;
}

export interface InterferenceState {
  readonly estimates: PairEstimates;
  /** The ratio of used to declared processors, by kind. */
  readonly usageRatios: ReadonlyMap<string, number>;
  readonly controls: ReadonlyMap<string, WorkerControl>;
  /** Samples that wait for a report of the tasks that ran while they were measured. */
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

/**
 * Maximum number of pending samples: two sets of samples of 1,000 servers. The oldest are dropped.
 */
const MAXIMUM_PENDING_SAMPLES = 2_000;

export const withPendingSamples = (
  interference: InterferenceState,
  samples: readonly LatencySample[],
): InterferenceState => ({
  ...interference,
  pendingSamples: [...interference.pendingSamples, ...samples].slice(-MAXIMUM_PENDING_SAMPLES),
});

/** The ratio of used to declared processors of a kind; 1 until measured. */
export const usageRatio = (interference: InterferenceState, kind: string): number =>
  interference.usageRatios.get(kind) ?? 1;
