/** What the owner of a cell knows of one worker, from the instance list and its last report. */
import type { WorkerInstance } from '../../platform/instanceList/common/instanceList.js';
import type {
  TaskAttempt,
  WorkerReport,
  WorkerTaskReport,
} from '../../platform/worker/common/workerClient.js';
import type { Assignment } from '../../platform/work/common/workRows.js';

export interface WorkerView {
  readonly instance: WorkerInstance;
  /** The last report received in this ownership of the cell. */
  readonly report: WorkerReport | undefined;
  readonly reportedAtMs: number;
  /** When, on this process's clock, every lease that the worker may hold has surely ended. */
  readonly leasesOverAtMs: number;
  /** The latest instant on the worker's clock until which a start that was sent is good. */
  readonly startsGoodUntilWorkerMs: number;
  readonly commandSentAtMs: number;
  readonly isCommandInFlight: boolean;
}

/**
 * How far two machines' clocks may run apart, as a share of the time measured, with a margin
 * for rounding. Quartz drifts by less than 0.02 %; ten times that leaves room for bad ones.
 */
const CLOCK_DRIFT_RATIO = 0.002;
const CLOCK_MARGIN_MS = 50;

/** A bound, on this process's clock, for a span on a worker's clock. */
export const withDriftMargin = (durationMs: number): number =>
  durationMs * (1 + CLOCK_DRIFT_RATIO) + CLOCK_MARGIN_MS;

/**
 * A worker that this owner has not reached yet. Its tasks may have leases from a former owner,
 * which may have renewed them until `presumedLeaseEndMs` without reaching the table.
 */
export const unreachedWorker = (
  instance: WorkerInstance,
  presumedLeaseEndMs: number,
): WorkerView => ({
  instance,
  report: undefined,
  reportedAtMs: Number.NEGATIVE_INFINITY,
  leasesOverAtMs: presumedLeaseEndMs,
  startsGoodUntilWorkerMs: Number.POSITIVE_INFINITY,
  commandSentAtMs: Number.NEGATIVE_INFINITY,
  isCommandInFlight: false,
});

const reportedLeasesOverAtMs = (report: WorkerReport, receivedAtMs: number): number => {
  const remainingMs = report.tasks.map((task) => task.leaseUntilWorkerMs - report.workerNowMs);
  return receivedAtMs + withDriftMargin(Math.max(0, ...remainingMs));
};

/**
 * Takes in a report. The first one answers a command with this owner's epoch, so from then on
 * the worker refuses a former owner, and no lease lasts beyond what the report says and what
 * this owner grants itself.
 */
export const withReport = (
  view: WorkerView,
  report: WorkerReport,
  receivedAtMs: number,
): WorkerView => {
  const isFirst = view.report === undefined;
  const reportedOverAtMs = reportedLeasesOverAtMs(report, receivedAtMs);
  return {
    ...view,
    report,
    reportedAtMs: receivedAtMs,
    leasesOverAtMs: isFirst ? reportedOverAtMs : Math.max(view.leasesOverAtMs, reportedOverAtMs),
    startsGoodUntilWorkerMs: isFirst ? report.workerNowMs : view.startsGoodUntilWorkerMs,
    isCommandInFlight: false,
  };
};

export const isSameAttempt = (left: TaskAttempt, right: TaskAttempt): boolean =>
  left.taskId === right.taskId && left.attempt === right.attempt;

/** What the worker last said of an assignment, if it is the incarnation that was given it. */
export const reportedTask = (
  view: WorkerView,
  assignment: Assignment,
): WorkerTaskReport | undefined => {
  if (view.report?.incarnation !== assignment.incarnation) return undefined;
  return view.report.tasks.find((task) => isSameAttempt(task, assignment));
};
