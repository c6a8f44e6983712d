/** What the owner of a cell knows about a worker, from the instance list and the last report. */
import type { WorkerInstance } from '../../services/instanceList/common/instanceList.js';
import type {
  TaskAttempt,
  WorkerReport,
  WorkerTaskReport,
} from '../../services/worker/common/workerClient.js';
import type { Assignment } from '../../services/workload/common/workRows.js';

export interface WorkerView {
  readonly instance: WorkerInstance;
  /** False once the instance list no longer contains the worker. */
  readonly isListed: boolean;
  /** The last report received in this ownership of the cell. */
  readonly report: WorkerReport | undefined;
  readonly reportedAtMs: number;
  /** The time on this process's clock by which every lease that the worker may hold has ended. */
  readonly leasesOverAtMs: number;
  /** The latest time on the worker's clock until which a start that was sent is valid. */
  readonly startsValidUntilWorkerMs: number;
  readonly commandSentAtMs: number;
  readonly isCommandInFlight: boolean;
  /**
   * The reported tasks by attempt key. Only their states are current; other fields may be older.
   */
  readonly tasks: ReadonlyMap<string, WorkerTaskReport>;
  /**
   * Keys of the starts, evictions, throttles and acknowledgements of the last command. They are
   * sent at once only the first time; after that they are repeated with renewals only. Otherwise a
   * worker that cannot write a checkpoint would get the eviction again after each of its answers,
   * as fast as the network allows.
   */
  readonly sentKeys: ReadonlySet<string>;
  /** True if something changed since the last command, so that it has to be computed again. */
  readonly isCommandStale: boolean;
  /** Set while the last command only renewed all of the worker's assignments. */
  readonly repeatableRenewal: RepeatableRenewal | undefined;
}

/** A command that only renewed leases: the inputs it was computed from and the renewed attempts. */
export interface RepeatableRenewal {
  readonly assignments: readonly Assignment[];
  readonly tasks: ReadonlyMap<string, WorkerTaskReport>;
  readonly incarnation: string;
  readonly attempts: readonly TaskAttempt[];
}

const NO_TASKS: ReadonlyMap<string, WorkerTaskReport> = new Map();
const NO_KEYS: ReadonlySet<string> = new Set();

/** The key of an attempt. It is unique because no task id ends with a hash sign and a number. */
export const attemptKey = ({ taskId, attempt }: TaskAttempt): string => `${taskId}#${attempt}`;

/**
 * How far the clocks of two machines may drift apart, as a ratio of the measured duration, with a
 * margin for rounding. Quartz drifts by less than 0.02 %; ten times that allows for bad clocks.
 */
const CLOCK_DRIFT_RATIO = 0.002;
const CLOCK_MARGIN_MS = 50;

/** The longest duration on this process's clock for a duration on a worker's clock. */
export const withDriftMargin = (durationMs: number): number =>
  durationMs * (1 + CLOCK_DRIFT_RATIO) + CLOCK_MARGIN_MS;

/**
 * When all leases of a former owner have ended at the latest: it may have renewed them without the
 * table up to its limit.
 */
export const presumedLeaseEndMs = (state: {
  readonly tookOverAtMs: number;
  readonly timing: {
    readonly maximumRenewalWithoutTableMs: number;
    readonly workerLeaseMs: number;
  };
}): number =>
  state.tookOverAtMs +
  withDriftMargin(state.timing.maximumRenewalWithoutTableMs + state.timing.workerLeaseMs);

/**
 * The view of a worker that this owner has not reached yet. Its tasks may have leases from a former
 * owner that last until `leasesOverAtMs`.
 */
export const unreachedWorkerView = (
  instance: WorkerInstance,
  leasesOverAtMs: number,
): WorkerView => ({
  instance,
  isListed: true,
  report: undefined,
  reportedAtMs: Number.NEGATIVE_INFINITY,
  leasesOverAtMs,
  startsValidUntilWorkerMs: Number.POSITIVE_INFINITY,
  commandSentAtMs: Number.NEGATIVE_INFINITY,
  isCommandInFlight: false,
  tasks: NO_TASKS,
  sentKeys: NO_KEYS,
  isCommandStale: true,
  repeatableRenewal: undefined,
});

const reportedLeasesOverAtMs = (report: WorkerReport, receivedAtMs: number): number => {
  const latestMs =
    report.latestLeaseUntilWorkerMs ??
    report.tasks.reduce(
      (laterMs, task) => Math.max(laterMs, task.leaseUntilWorkerMs),
      report.workerNowMs,
    );
  return receivedAtMs + withDriftMargin(Math.max(0, latestMs - report.workerNowMs));
};

const isSameTasks = (before: WorkerView['tasks'], tasks: readonly WorkerTaskReport[]): boolean =>
  before.size === tasks.length &&
  tasks.every((task) => before.get(attemptKey(task))?.state === task.state);

/**
 * The report's tasks by attempt key. Most reports repeat the previous one apart from usage and
 * leases. The map is then reused, so that results computed from the same map object stay valid.
 */
const tasksByAttempt = (view: WorkerView, report: WorkerReport): WorkerView['tasks'] => {
  const isRepeat = view.report?.incarnation === report.incarnation;
  if (isRepeat && view.report?.tasks === report.tasks) return view.tasks;
  if (isRepeat && isSameTasks(view.tasks, report.tasks)) return view.tasks;
  return new Map(report.tasks.map((task) => [attemptKey(task), task]));
};

const START_KEY = 'start ';

/** The key of a start in `sentKeys`. */
export const startKey = (attempt: TaskAttempt): string => `${START_KEY}${attemptKey(attempt)}`;

/**
 * The instructions that need not be sent again before the next renewal. Starts that expired before
 * they reached the worker are removed, so that they are sent again at once: the worker drops them
 * silently, and their validity counts from the last report. At the next renewal that report is a
 * whole interval old, so on a busy machine the repeated starts would expire each time and an
 * accepted job would never run. Counted from the fresh report they are valid for `startValidityMs`
 * again. This costs at most one more command per interval, because the report that answers it is
 * younger than that.
 */
const remainingSentKeys = (
  view: WorkerView,
  report: WorkerReport,
  tasks: WorkerView['tasks'],
): ReadonlySet<string> => {
  if (report.workerNowMs <= view.startsValidUntilWorkerMs) return view.sentKeys;
  const isRefusedStart = (key: string): boolean =>
    key.startsWith(START_KEY) && !tasks.has(key.slice(START_KEY.length));
  const kept = [...view.sentKeys].filter((key) => !isRefusedStart(key));
  return kept.length === view.sentKeys.size ? view.sentKeys : new Set(kept);
};

/**
 * Applies a report. The first report answers a command with this owner's epoch. From then on the
 * worker refuses a former owner, so no lease outlasts those in the report and those that this owner
 * grants.
 */
export const withReport = (
  view: WorkerView,
  report: WorkerReport,
  receivedAtMs: number,
): WorkerView => {
  const isFirst = view.report === undefined;
  const reportedOverAtMs = reportedLeasesOverAtMs(report, receivedAtMs);
  const tasks = tasksByAttempt(view, report);
  const sentKeys = remainingSentKeys(view, report, tasks);
  return {
    ...view,
    report,
    reportedAtMs: receivedAtMs,
    leasesOverAtMs: isFirst ? reportedOverAtMs : Math.max(view.leasesOverAtMs, reportedOverAtMs),
    startsValidUntilWorkerMs: isFirst ? report.workerNowMs : view.startsValidUntilWorkerMs,
    isCommandInFlight: false,
    tasks,
    sentKeys,
    isCommandStale: view.isCommandStale || tasks !== view.tasks || sentKeys !== view.sentKeys,
  };
};

/**
 * The worker's last report of an assignment, if the worker is still the incarnation that the task
 * was assigned to. A round visits all of a cell's assignments, some 2,500, so this is a map lookup.
 */
export const reportedTask = (
  view: WorkerView,
  assignment: Assignment,
): WorkerTaskReport | undefined =>
  view.report?.incarnation === assignment.incarnation
    ? view.tasks.get(attemptKey(assignment))
    : undefined;

/** True if the worker's last report is recent enough to rely on. */
export const hasRecentReport = (
  view: WorkerView,
  reportFreshnessMs: number,
  nowMs: number,
): boolean => view.report !== undefined && nowMs - view.reportedAtMs <= reportFreshnessMs;
