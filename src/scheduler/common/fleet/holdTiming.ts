/**
 * Decides when each worker gets its next hold call, and how long the worker may wait to answer it.
 */
import type { FleetTiming } from './fleetTiming.js';
import type { FleetWorkerView } from './fleetWorkerView.js';

/** The pause after a failed hold. A worker's lease covers many such pauses. */
export const HOLD_RETRY_MS = 300;
/**
 * How long the next hold waits until the last ends are recorded. Without this wait the worker would
 * list them again at once. Recording takes some 20 ms; the limit ends the wait if the table is
 * unavailable.
 */
const RECORDING_TIMEOUT_MS = 250;
/** Short enough to see a serving task's tail latency soon after it exceeds the target. */
const SERVING_WAIT_MS = 600;
/**
 * The wait while the owner's heartbeat is overdue. It lets the owner renew the workers' leases up
 * to the last moment, and at once when the table is available again.
 */
const OVERDUE_HEARTBEAT_WAIT_MS = 500;

export const isHoldDue = (view: FleetWorkerView, nowMs: number): boolean => {
  if (view.isHoldInFlight || nowMs < view.nextHoldAtMs) return false;
  // An unlisted worker may have runs of a former owner until it has answered.
  if (!view.isListed && view.runs.size === 0 && view.hasAnswered) return false;
  if (view.isNewProcess) return true;
  const isRecording = view.handledSequence > view.recordedSequence;
  return !isRecording || nowMs >= view.lastAnswerAtMs + RECORDING_TIMEOUT_MS;
};

const hasFillersBesideServing = (view: FleetWorkerView): boolean => {
  let hasServing = false;
  let hasFiller = false;
  view.runs.forEach(({ task }) => {
    if (task.step.targetLatencyMs > 0) hasServing = true;
    if (task.step.isFiller) hasFiller = true;
  });
  return hasServing && hasFiller;
};

/**
 * A call that renews a lease returns this long before the lease ends, so that the next call can
 * renew it in time. Leases are short while the roster still limits those of a worker that has
 * become reachable again.
 */
const RENEWAL_MARGIN_MS = 1_000;
const LEAST_RENEWING_WAIT_MS = 100;

/** How long the worker may wait for a run to end, if no lease makes an earlier answer necessary. */
const baseWaitMs = (view: FleetWorkerView, timing: FleetTiming): number => {
  // The first answer is needed at once, also from a worker that was unreachable.
  if (!view.hasAnswered || view.isNewProcess || view.isSilent) return 0;
  if (view.handledSequence > view.recordedSequence) return 0;
  return hasFillersBesideServing(view) ? SERVING_WAIT_MS : timing.holdWaitMs;
};

export interface HoldUrgency {
  /** Whether the call grants a lease. */
  readonly isRenewal: boolean;
  /** Whether the renewal of the owner's own lease is overdue, so that it may soon stop granting. */
  readonly isHeartbeatOverdue: boolean;
}

/** How long the worker may wait for a run to end before it answers. */
export const holdWaitMs = (
  view: FleetWorkerView,
  timing: FleetTiming,
  { isRenewal, isHeartbeatOverdue }: HoldUrgency,
  nowMs: number,
): number => {
  const baseMs = baseWaitMs(view, timing);
  const waitMs = isHeartbeatOverdue ? Math.min(baseMs, OVERDUE_HEARTBEAT_WAIT_MS) : baseMs;
  if (!isRenewal) return waitMs;
  const spareMs = Math.floor(view.leasesOverAtMs - nowMs) - RENEWAL_MARGIN_MS;
  return Math.min(waitMs, Math.max(LEAST_RENEWING_WAIT_MS, spareMs));
};
