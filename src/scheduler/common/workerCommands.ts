/** Derives the message to a worker from the committed ledger and the worker's last report. */
import {
  type StartRequest,
  type TaskAttempt,
  type WorkerCommand,
  type WorkerReport,
  WorkerTaskState,
} from '../../services/worker/common/workerClient.js';
import type { Assignment } from '../../services/workload/common/workRows.js';
import { assignmentsOf } from './cellRows.js';
import type { CellState } from './cellState.js';
import { unrecordedFinishes } from './lateFinishes.js';
import { isEvictionWanted } from './wantedEvictions.js';
import {
  attemptKey,
  type RepeatableRenewal,
  reportedTask,
  startKey,
  type WorkerView,
  withDriftMargin,
} from './workerView.js';

export interface PlannedCommand {
  /** Undefined when there is nothing to say. */
  readonly command: WorkerCommand | undefined;
  readonly view: WorkerView;
}

/** Until the first report nothing can be asked but who the worker is. */
const emptyCommand = (state: CellState): WorkerCommand => ({
  incarnation: '',
  cellEpoch: state.lease.epoch,
  renewals: [],
  starts: [],
  evictions: [],
  throttles: [],
  acknowledgements: [],
});

/**
 * Nothing starts on what is stale. A start needs a recent proof that the zone is in use: the
 * configuration read, or the commit that named the zone's row. The start itself is good only
 * until an instant on the worker's clock counted from its last report. A withdrawal accepted
 * after the proof is thus followed by no start later than the two spans together.
 */
export const isStartAllowed = (state: CellState, nowMs: number): boolean => {
  if (state.withdrawnSinceMs !== undefined || state.configuration === undefined) return false;
  const provedAtMs = Math.max(state.configuration.confirmedAtMs, state.zoneProvedAtMs);
  return nowMs - provedAtMs <= state.timing.configurationFreshnessMs;
};

const toStart = (
  assignment: Assignment,
  startBeforeWorkerMs: number,
  leaseUntilWorkerMs: number,
): StartRequest => ({
  taskId: assignment.taskId,
  attempt: assignment.attempt,
  taskClass: assignment.taskClass,
  serviceName: assignment.serviceName,
  size: assignment.size,
  workMs: assignment.workMs,
  checkpoint: assignment.checkpoint,
  startBeforeWorkerMs,
  leaseUntilWorkerMs,
});

const toAttempt = ({ taskId, attempt }: TaskAttempt): TaskAttempt => ({ taskId, attempt });

/** What a transaction in flight takes off the worker: it is neither started nor renewed. */
const isBeingDropped = (state: CellState, assignment: Assignment): boolean =>
  state.pending?.kind === 'commit' && state.pending.droppedAttempts.has(attemptKey(assignment));

/**
 * Starts of committed attempts that the worker has not reported. An attempt that a transaction
 * in flight takes back is left out: the next attempt could run elsewhere as soon as it commits.
 */
const wantedStarts = (
  state: CellState,
  view: WorkerView,
  current: readonly Assignment[],
  evicted: ReadonlySet<Assignment>,
): readonly Assignment[] =>
  current.filter(
    (assignment) =>
      reportedTask(view, assignment) === undefined &&
      !evicted.has(assignment) &&
      !isBeingDropped(state, assignment),
  );

/**
 * Renewals go by the last rows known for certain, also while a lost answer leaves them in doubt:
 * with the table out for minutes the tasks would lapse otherwise. This is safe, since a task
 * that the lost transaction took off the worker has surely ended there and cannot be renewed.
 */
const renewableAssignments = (state: CellState, workerId: string): readonly Assignment[] => {
  const rows = state.rows ?? state.lastKnownRows;
  return rows === undefined ? [] : assignmentsOf(rows, workerId);
};

/**
 * Throttles that the worker does not report to be in force. Going by its report, a message that
 * was lost is repeated, and a worker that forgot a throttle is told again.
 */
const wantedThrottles = (
  state: CellState,
  view: WorkerView,
  report: WorkerReport,
  evicted: ReadonlySet<Assignment>,
): WorkerCommand['throttles'] => {
  const shares = state.interference.controls.get(view.instance.id)?.shares;
  // Switched off, it takes back what was throttled while it was on.
  const defaultShare = state.timing.interference.isEnabled ? undefined : 1;
  const evictedKeys = new Set([...evicted].map(attemptKey));
  return report.tasks.flatMap((task) => {
    const key = attemptKey(task);
    const processorShare = shares?.get(key) ?? defaultShare;
    if (task.state !== WorkerTaskState.Running || evictedKeys.has(key)) return [];
    if (processorShare === undefined || processorShare === (task.processorShare ?? 1)) return [];
    return [{ ...toAttempt(task), processorShare }];
  });
};

const commandFor = (
  state: CellState,
  view: WorkerView,
  report: WorkerReport,
  nowMs: number,
): { readonly command: WorkerCommand; readonly withheldCount: number } => {
  const { rows } = state;
  const isOfIncarnation = ({ incarnation }: Assignment): boolean =>
    incarnation === report.incarnation;
  const isRunning = (assignment: Assignment): boolean =>
    reportedTask(view, assignment)?.state === WorkerTaskState.Running;
  const assignments = rows === undefined ? [] : assignmentsOf(rows, view.instance.id);
  const current = assignments.filter(isOfIncarnation);
  const evicted = new Set(
    assignments.filter((assignment) => isEvictionWanted(state, assignment, nowMs)),
  );
  const leaseUntilWorkerMs = report.workerNowMs + state.timing.workerLeaseMs;
  const startBeforeWorkerMs = report.workerNowMs + state.timing.startValidityMs;
  const wanted = wantedStarts(state, view, current, evicted);
  const mayGrantLeases = !state.unreachedWorkerIds.has(view.instance.id);
  const starts = mayGrantLeases && isStartAllowed(state, nowMs) ? wanted : [];
  const assignedKeys = new Set(assignments.map(attemptKey));
  const unassignedTasks =
    rows === undefined ? [] : report.tasks.filter((task) => !assignedKeys.has(attemptKey(task)));
  const unrecorded = rows === undefined ? new Set() : unrecordedFinishes(rows, view);
  const runningUnassigned = unassignedTasks.filter(
    (task) => task.state === WorkerTaskState.Running,
  );
  // A stored bound of the worker's leases has to be taken back before any is granted.
  const renewals = mayGrantLeases ? renewableAssignments(state, view.instance.id) : [];
  const command = {
    incarnation: report.incarnation,
    cellEpoch: state.lease.epoch,
    renewals: renewals
      .filter((one) => isOfIncarnation(one) && isRunning(one) && !isBeingDropped(state, one))
      .map((assignment) => ({ ...toAttempt(assignment), leaseUntilWorkerMs })),
    starts: starts.map((assignment) =>
      toStart(assignment, startBeforeWorkerMs, leaseUntilWorkerMs),
    ),
    evictions: [...[...evicted].filter(isRunning), ...runningUnassigned].map(toAttempt),
    throttles: wantedThrottles(state, view, report, evicted),
    acknowledgements: unassignedTasks
      .filter((task) => task.state !== WorkerTaskState.Running && !unrecorded.has(task.taskId))
      .map(toAttempt),
  };
  return { command, withheldCount: wanted.length - starts.length };
};

/**
 * The attempts of a message that does nothing but renew all that the worker has been given, with
 * what they were worked out from; undefined for any other message.
 */
const toRepeatableRenewal = (
  state: CellState,
  view: WorkerView,
  { incarnation, renewals, throttles }: WorkerCommand,
  keys: ReadonlySet<string>,
): RepeatableRenewal | undefined => {
  const assignments = state.rows?.assignmentsByWorker.get(view.instance.id);
  if (assignments === undefined || keys.size + throttles.length > 0) return undefined;
  const renewsAll = renewals.length === assignments.length && renewals.length === view.tasks.size;
  if (!renewsAll) return undefined;
  return { assignments, tasks: view.tasks, incarnation, attempts: renewals.map(toAttempt) };
};

/**
 * The renewal that repeats the last message, when surely nothing else is to be said. Made for 123
 * workers that are each told once a second what they were told before: to work it out took a third
 * of all deciding. The assignments and the report's tasks are the very same objects. Whatever else
 * a message depends on either marks it as stale (the list of instances, the configuration, a start
 * held back) or is ruled out here: a withdrawn zone with its drain time, surplus replicas, work that
 * makes room or is cancelled, and attempts that a transaction under way takes off. A new reason to
 * say something belongs into one of the two.
 */
const repeatRenewal = (
  state: CellState,
  view: WorkerView,
  report: WorkerReport,
): WorkerCommand | undefined => {
  const { repeatableRenewal: repeatable } = view;
  if (repeatable === undefined || view.isMessageStale || state.withdrawnSinceMs !== undefined) {
    return undefined;
  }
  // A worker that forgets a throttle does so without any other change in its report.
  const shares = state.interference.controls.get(view.instance.id)?.shares.values() ?? [];
  const isThrottling = [...shares].some((share) => share < 1);
  const cancelledCount = state.rows?.cancelledJobIds.size ?? 0;
  const changeCount = state.surplusTaskIds.size + state.preempted.size + cancelledCount;
  if (isThrottling || changeCount > 0) return undefined;
  if (state.pending?.kind === 'commit' && state.pending.droppedAttempts.size > 0) return undefined;
  const isSame =
    state.rows?.assignmentsByWorker.get(view.instance.id) === repeatable.assignments &&
    view.tasks === repeatable.tasks &&
    report.incarnation === repeatable.incarnation;
  if (!isSame) return undefined;
  const leaseUntilWorkerMs = report.workerNowMs + state.timing.workerLeaseMs;
  return {
    ...emptyCommand(state),
    incarnation: report.incarnation,
    renewals: repeatable.attempts.map(({ taskId, attempt }) => ({
      taskId,
      attempt,
      leaseUntilWorkerMs,
    })),
  };
};

/** Starts, evictions, throttles and acknowledgements as keys, to tell what was not told yet. */
const instructionKeys = (command: WorkerCommand): ReadonlySet<string> =>
  new Set([
    ...command.starts.map(startKey),
    ...command.evictions.map((attempt) => `evict ${attemptKey(attempt)}`),
    ...command.throttles.map((one) => `throttle ${attemptKey(one)} ${one.processorShare}`),
    ...command.acknowledgements.map((attempt) => `forget ${attemptKey(attempt)}`),
  ]);

/** True while the owner may renew leases although it cannot reach the table. */
const mayRenewLeases = (state: CellState, nowMs: number): boolean =>
  nowMs - state.lease.heldAtMs <= state.timing.maximumRenewalWithoutTableMs;

/** The view after `command` was sent: what it grants bounds when the worker may be given up. */
const boundsAfterSending = (
  state: CellState,
  view: WorkerView,
  report: WorkerReport,
  command: WorkerCommand,
): Pick<WorkerView, 'leasesOverAtMs' | 'startsGoodUntilWorkerMs'> => {
  const grantsLease = command.renewals.length + command.starts.length > 0;
  // The report was made before it was received, so a lease counted from it ends by then.
  const grantedUntilMs = view.reportedAtMs + withDriftMargin(state.timing.workerLeaseMs);
  const startBeforeWorkerMs = report.workerNowMs + state.timing.startValidityMs;
  return {
    leasesOverAtMs: grantsLease
      ? Math.max(view.leasesOverAtMs, grantedUntilMs)
      : view.leasesOverAtMs,
    startsGoodUntilWorkerMs:
      command.starts.length > 0
        ? Math.max(view.startsGoodUntilWorkerMs, startBeforeWorkerMs)
        : view.startsGoodUntilWorkerMs,
  };
};

/**
 * The next message to one worker: at each renewal, and at once when there is news. Made for a
 * cell of 123 workers with some 140 events a second: a worker about which nothing has changed
 * costs two comparisons, not a search through the ledger.
 */
export const planCommand = (
  state: CellState,
  view: WorkerView,
  nowMs: number,
): PlannedCommand | undefined => {
  if (view.isCommandInFlight) return undefined;
  const isRenewalDue = nowMs - view.commandSentAtMs >= state.timing.workerRenewalIntervalMs;
  if ((!isRenewalDue && !view.isMessageStale) || !mayRenewLeases(state, nowMs)) return undefined;
  const sent = { ...view, commandSentAtMs: nowMs, isCommandInFlight: true };
  const { report } = view;
  if (report === undefined) {
    return isRenewalDue ? { command: emptyCommand(state), view: sent } : undefined;
  }
  const repeated = repeatRenewal(state, view, report);
  if (repeated !== undefined) {
    return {
      command: repeated,
      view: { ...sent, ...boundsAfterSending(state, view, report, repeated) },
    };
  }
  const { command, withheldCount } = commandFor(state, view, report, nowMs);
  // With the rows in doubt nothing but renewals is sent, so what is due has to be found again.
  const isMessageStale = withheldCount > 0 || state.rows === undefined;
  const keys = instructionKeys(command);
  if (!isRenewalDue && [...keys].every((key) => view.sentKeys.has(key))) {
    return { command: undefined, view: { ...view, isMessageStale, repeatableRenewal: undefined } };
  }
  return {
    command,
    view: {
      ...sent,
      ...boundsAfterSending(state, view, report, command),
      isMessageStale,
      sentKeys: keys,
      repeatableRenewal: toRepeatableRenewal(state, view, command, keys),
    },
  };
};
