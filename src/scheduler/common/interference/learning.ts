/** Learns from latency samples that certainly belong to the tasks that a worker runs now. */
import type { LatencySample } from '../../../services/worker/common/latencySamples.js';
import type { WorkerView } from '../workerView.js';
import type { InterferencePolicy } from './interferencePolicy.js';
import type { InterferenceState, WorkerControl } from './interferenceState.js';
import type { Exposure } from './serviceModel.js';
import type { WorkerLoad } from './workerLoad.js';

/** How long a sample waits for the report that confirms the running tasks. */
const MAXIMUM_SAMPLE_AGE_MS = 30_000;
/** Weight of a new measurement in the usage ratio of a kind. */
const USAGE_SAMPLE_WEIGHT = 0.1;
/** Usage is measured only on tasks whose share is at least this value. */
const MINIMUM_MEASURED_SHARE = 0.2;

export const SampleStatus = { Learnt: 'learnt', Stale: 'stale', Waiting: 'waiting' } as const;
export type SampleStatus = (typeof SampleStatus)[keyof typeof SampleStatus];

/** The instant after which the latest report was certainly made. */
const reportMadeAfterMs = (view: WorkerView): number =>
  !view.isCommandInFlight && view.commandSentAtMs <= view.reportedAtMs
    ? view.commandSentAtMs
    : Number.NEGATIVE_INFINITY;

/**
 * Decides whether a sample can be learnt from. Samples arrive late. A sample that began before the
 * last change on its worker would blame a new task for the slowdown caused by one that has left, or
 * clear a throttled task before the throttle took effect, and throttling and releasing would
 * alternate forever. A sample must therefore begin after the change. In addition, a report that was
 * made after the sample's end, and at least `usageLagMs` after the change, must show the same
 * tasks.
 */
export const sampleStatus = (
  sample: LatencySample,
  view: WorkerView | undefined,
  control: WorkerControl | undefined,
  policy: InterferencePolicy,
  nowMs: number,
): SampleStatus => {
  if (view === undefined || control === undefined) return SampleStatus.Stale;
  const isOld = nowMs - sample.endedAtMs > MAXIMUM_SAMPLE_AGE_MS;
  if (isOld || sample.startedAtMs < control.changedAtMs) return SampleStatus.Stale;
  const neededAtMs = Math.max(sample.endedAtMs, control.changedAtMs + policy.usageLagMs);
  return reportMadeAfterMs(view) >= neededAtMs ? SampleStatus.Learnt : SampleStatus.Waiting;
};

const withUsageRatios = (interference: InterferenceState, load: WorkerLoad): InterferenceState => {
  const usageRatios = new Map(interference.usageRatios);
  load.batch.forEach(({ kind, usedShare, declaredShare, processorShare }) => {
    const grantedShare = declaredShare * processorShare;
    if (grantedShare === 0 || processorShare < MINIMUM_MEASURED_SHARE) return;
    const known = usageRatios.get(kind) ?? 1;
    usageRatios.set(kind, known + (usedShare / grantedShare - known) * USAGE_SAMPLE_WEIGHT);
  });
  return { ...interference, usageRatios };
};

const exposuresOf = (load: WorkerLoad): ReadonlyMap<string, Exposure> => {
  const exposures = new Map<string, Exposure>();
  load.batch.forEach(({ kind, usedShare, processorShare }) => {
    const known = exposures.get(kind) ?? { used: 0, wanted: 0 };
    const wanted = processorShare === 0 ? 0 : usedShare / processorShare;
    exposures.set(kind, { used: known.used + usedShare, wanted: known.wanted + wanted });
  });
  return exposures;
};

/** Updates the estimates and usage ratios with one sample. */
export const withLearntSample = (
  interference: InterferenceState,
  sample: LatencySample,
  load: WorkerLoad,
  nowMs: number,
): InterferenceState => {
  const estimates = interference.estimates.withObservation(
    sample.serviceName,
    {
      latencyMs: sample.meanLatencyMs,
      requestCount: sample.requestCount,
      exposures: exposuresOf(load),
    },
    nowMs,
  );
  return withUsageRatios({ ...interference, estimates }, load);
};
