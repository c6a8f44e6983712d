/** What the owner of a cell knows of one worker, from the instance list and its last report. */
import type { WorkerInstance } from '../../services/instanceList/common/instanceList.js';
import type {
  TaskAttempt,
  WorkerReport,
  WorkerTaskReport,
} from '../../services/worker/common/workerClient.js';
import type { Assignment } from '../../services/workload/common/workRows.js';

export interface WorkerView {
  readonly instance: WorkerInstance;
  /** False once the instance list no longer shows it. */
  readonly isListed: boolean;
  /** The last report received in this ownership of the cell. */
  readonly report: WorkerReport | undefined;
  readonly reportedAtMs: number;
  /** When, on this process's clock, every lease that the worker may hold has surely ended. */
  readonly leasesOverAtMs: number;
  /** The latest instant on the worker's clock until which a start that was sent is good. */
  readonly startsGoodUntilWorkerMs: number;
  readonly commandSentAtMs: number;
  readonly isCommandInFlight: boolean;
  /** The report's tasks by attempt; only their states are those of the last report. */
  readonly tasks: ReadonlyMap<string, WorkerTaskReport>;
  /**
   * Starts, evictions and acknowledgements of the last command. They are news once; after that
   * they are repeated at renewals only. A worker that cannot write a checkpoint would otherwise
   * be told to evict again at each of its answers, as fast as the network carries them.
   */
  readonly sentKeys: ReadonlySet<string>;
  /** True when something changed since the last message, so that it is worked out anew. */
  readonly isMessageStale: boolean;
  /** Set while the last message did nothing but renew all that the worker has. */
  readonly repeatableRenewal: RepeatableRenewal | undefined;
}

/** What a message that only renewed was worked out from, and the attempts that it renewed. */
export interface RepeatableRenewal {
  readonly assignments: readonly Assignment[];
  readonly tasks: ReadonlyMap<string, WorkerTaskReport>;
  readonly incarnation: string;
  readonly attempts: readonly TaskAttempt[];
}

const NO_TASKS: ReadonlyMap<string, WorkerTaskReport> = new Map();
const NO_KEYS: ReadonlySet<string> = new Set();

/** One attempt as a key; task ids never hold a hash sign followed by a number at their end. */
export const attemptKey = ({ taskId, attempt }: TaskAttempt): string => `${taskId}#${attempt}`;

/**
 * How far two machines' clocks may run apart, as a share of the time measured, with a margin
 * for rounding. Quartz drifts by less than 0.02 %; ten times that leaves room for bad ones.
 */
const CLOCK_DRIFT_RATIO = 0.002;
const CLOCK_MARGIN_MS = 50;

/** A bound, on this process's clock, for a span on a worker's clock. */
export const withDriftMargin = (durationMs: number): number =>
  durationMs * (1 + CLOCK_DRIFT_RATIO) + CLOCK_MARGIN_MS;

/** The worst case of a former owner: it renewed until its limit, a moment before that. */
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
 * A worker that this owner has not reached yet. Its tasks may have leases from a former owner,
 * which may have renewed them until `leasesOverAtMs` without reaching the table.
 */
export const unreachedWorker = (instance: WorkerInstance, leasesOverAtMs: number): WorkerView => ({
  instance,
  isListed: true,
  report: undefined,
  reportedAtMs: Number.NEGATIVE_INFINITY,
  leasesOverAtMs,
  startsGoodUntilWorkerMs: Number.POSITIVE_INFINITY,
  commandSentAtMs: Number.NEGATIVE_INFINITY,
  isCommandInFlight: false,
  tasks: NO_TASKS,
  sentKeys: NO_KEYS,
  isMessageStale: true,
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
 * The report's tasks by attempt. Most reports repeat the one before, apart from usage and leases;
 * the map is then kept, by which everything worked out from it is known to be still good.
 */
const tasksByAttempt = (view: WorkerView, report: WorkerReport): WorkerView['tasks'] => {
  const isRepeat = view.report?.incarnation === report.incarnation;
  if (isRepeat && view.report?.tasks === report.tasks) return view.tasks;
  if (isRepeat && isSameTasks(view.tasks, report.tasks)) return view.tasks;
  return new Map(report.tasks.map((task) => [attemptKey(task), task]));
};

const START_KEY = 'start ';

/** The key of a start in `toldKeys`. */
export const startKey = (attempt: TaskAttempt): string => `${START_KEY}${attemptKey(attempt)}`;

/**
 * What was told and need not be told again before the next renewal. Starts that came too late at
 * the worker are news once more: it refuses them without a word, and a renewal, by then dated by
 * a report a whole interval old, would repeat them too late for ever on a busy machine, so that
 * an accepted job never ran. By the fresh report they are good again for `startValidityMs`. One
 * message more an interval at the most, for the report that answers it is younger than that.
 */
const remainingSentKeys = (
  view: WorkerView,
  report: WorkerReport,
  tasks: WorkerView['tasks'],
): ReadonlySet<string> => {
  if (report.workerNowMs <= view.startsGoodUntilWorkerMs) return view.sentKeys;
  const isRefusedStart = (key: string): boolean =>
    key.startsWith(START_KEY) && !tasks.has(key.slice(START_KEY.length));
  const kept = [...view.sentKeys].filter((key) => !isRefusedStart(key));
  return kept.length === view.sentKeys.size ? view.sentKeys : new Set(kept);
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
  const tasks = tasksByAttempt(view, report);
  const sentKeys = remainingSentKeys(view, report, tasks);
  return {
    ...view,
    report,
    reportedAtMs: receivedAtMs,
    leasesOverAtMs: isFirst ? reportedOverAtMs : Math.max(view.leasesOverAtMs, reportedOverAtMs),
    startsGoodUntilWorkerMs: isFirst ? report.workerNowMs : view.startsGoodUntilWorkerMs,
    isCommandInFlight: false,
    tasks,
    sentKeys,
    isMessageStale: view.isMessageStale || tasks !== view.tasks || sentKeys !== view.sentKeys,
  };
};

/**
 * What the worker last said of an assignment, if it is the incarnation that was given it. A
 * cell has some 2,500 assignments and looks at all of them in a round, so this is a look-up.
 */
export const reportedTask = (
  view: WorkerView,
  assignment: Assignment,
): WorkerTaskReport | undefined =>
  view.report?.incarnation === assignment.incarnation
    ? view.tasks.get(attemptKey(assignment))
    : undefined;

/** True while the worker's last word is recent enough to go by. */
export const isInContact = (view: WorkerView, reportFreshnessMs: number, nowMs: number): boolean =>
  view.report !== undefined && nowMs - view.reportedAtMs <= reportFreshnessMs;
