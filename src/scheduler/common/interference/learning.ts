/** Learns from samples of latency that surely belong to what a worker runs now. */
import type { LatencySample } from '../../../services/worker/common/latencySamples.js';
import type { WorkerView } from '../workerView.js';
import type { InterferencePolicy } from './interferencePolicy.js';
import type { InterferenceState, WorkerControl } from './interferenceState.js';
import type { Exposure } from './serviceModel.js';
import type { WorkerLoad } from './workerLoad.js';

/** How long a sample waits for the report that it needs. */
const MAXIMUM_SAMPLE_AGE_MS = 30_000;
/** Weight of one more measurement of what a kind uses. */
const USAGE_SAMPLE_WEIGHT = 0.1;
/** Use is measured on tasks that are throttled no further than this. */
const MINIMUM_MEASURED_SHARE = 0.2;

export const SampleStatus = { Learnt: 'learnt', Stale: 'stale', Waiting: 'waiting' } as const;
export type SampleStatus = (typeof SampleStatus)[keyof typeof SampleStatus];

/** The instant after which the report in hand was surely made. */
const reportMadeAfterMs = (view: WorkerView): number =>
  !view.isCommandInFlight && view.commandSentAtMs <= view.reportedAtMs
    ? view.commandSentAtMs
    : Number.NEGATIVE_INFINITY;

/**
 * Tells whether a sample may be learnt from. Measurements lag: a sample that began before the
 * last change on its worker would charge a task that has just come with what one that has left
 * did, or clear a throttled one before the throttle took effect, and the two would alternate for
 * ever. So it has to begin after the change, and a report made after its end, late enough for
 * its usage, has to show the same tasks.
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

/** Takes one sample into the estimates. */
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
