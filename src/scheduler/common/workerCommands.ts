/** Derives the command to a worker from the committed ledger and the worker's last report. */
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
  /** Undefined if there is nothing to send. */
  readonly command: WorkerCommand | undefined;
  readonly view: WorkerView;
}

/** An empty command. Before the first report it only asks a worker for its incarnation. */
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
 * True if starts are allowed. A start needs a recent proof that the zone is in use: a configuration
 * read, or a commit that required the version of the zone row. In addition, each start is valid
 * only up to a time on the worker's clock, counted from its last report. Tasks can therefore start
 * after an accepted withdrawal for at most the sum of both durations.
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

/** True if a transaction in flight drops the assignment. It is then neither started nor renewed. */
const isBeingDropped = (state: CellState, assignment: Assignment): boolean =>
  state.pending?.kind === 'commit' && state.pending.droppedAttempts.has(attemptKey(assignment));

/**
 * Committed attempts to start: those that the worker has not reported. An attempt that a
 * transaction in flight drops is left out, because the next attempt may run elsewhere once it
 * commits.
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
 * The assignments whose leases are renewed, from the last known rows. They are used even after a
 * lost answer, because otherwise the tasks' leases would lapse while the table is down for minutes.
 * This is safe: a task that the lost transaction dropped has already ended on the worker, so its
 * lease cannot be renewed.
 */
const renewableAssignments = (state: CellState, workerId: string): readonly Assignment[] => {
  const rows = state.rows ?? state.lastKnownRows;
  return rows === undefined ? [] : assignmentsOf(rows, workerId);
};

/**
 * Throttles that the worker does not report as active. Comparing with the report repeats a throttle
 * whose command was lost or that the worker has forgotten.
 */
const wantedThrottles = (
  state: CellState,
  view: WorkerView,
  report: WorkerReport,
  evicted: ReadonlySet<Assignment>,
): WorkerCommand['throttles'] => {
  const shares = state.interference.controls.get(view.instance.id)?.shares;
  // If interference control is disabled, throttles that it set before are removed.
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
  // No lease is granted while the worker's lease bound is stored in the unreached row.
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
 * The attempts of a command that only renews all of the worker's assignments, with the inputs that
 * they were computed from. Undefined for any other command.
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
 * Returns a command that repeats the last renewal if nothing else can be due; otherwise undefined.
 * With 123 workers that each get the same renewal once a second, computing the commands took a
 * third of the decision time.
 *
 * The assignments and the report's tasks must be the same objects as before. Every other input of a
 * command either marks it as stale (the instance list, the configuration, a withheld start) or is
 * checked here: a withdrawn zone with its drain time, surplus replicas, preempted or cancelled
 * work, and attempts that a transaction in flight drops. A new input must do one of the two.
 */
const repeatRenewal = (
  state: CellState,
  view: WorkerView,
  report: WorkerReport,
): WorkerCommand | undefined => {
  const { repeatableRenewal: repeatable } = view;
  if (repeatable === undefined || view.isCommandStale || state.withdrawnSinceMs !== undefined) {
    return undefined;
  }
  // A worker may forget a throttle without any other change in its report.
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

/** Keys of the starts, evictions, throttles and acknowledgements, to find those not sent yet. */
const instructionKeys = (command: WorkerCommand): ReadonlySet<string> =>
  new Set([
    ...command.starts.map(startKey),
    ...command.evictions.map((attempt) => `evict ${attemptKey(attempt)}`),
    ...command.throttles.map((one) => `throttle ${attemptKey(one)} ${one.processorShare}`),
    ...command.acknowledgements.map((attempt) => `forget ${attemptKey(attempt)}`),
  ]);

/** True while the owner may renew leases without having reached the table. */
const mayRenewLeases = (state: CellState, nowMs: number): boolean =>
  nowMs - state.lease.lastHeartbeatSentAtMs <= state.timing.maximumRenewalWithoutTableMs;

/**
 * The time bounds in the view after `command` was sent. They determine when the worker may be given
 * up.
 */
const boundsAfterSending = (
  state: CellState,
  view: WorkerView,
  report: WorkerReport,
  command: WorkerCommand,
): Pick<WorkerView, 'leasesOverAtMs' | 'startsValidUntilWorkerMs'> => {
  const grantsLease = command.renewals.length + command.starts.length > 0;
  // The report was made before it was received, so a lease counted from the report ends by then.
  const grantedUntilMs = view.reportedAtMs + withDriftMargin(state.timing.workerLeaseMs);
  const startBeforeWorkerMs = report.workerNowMs + state.timing.startValidityMs;
  return {
    leasesOverAtMs: grantsLease
      ? Math.max(view.leasesOverAtMs, grantedUntilMs)
      : view.leasesOverAtMs,
    startsValidUntilWorkerMs:
      command.starts.length > 0
        ? Math.max(view.startsValidUntilWorkerMs, startBeforeWorkerMs)
        : view.startsValidUntilWorkerMs,
  };
};

/**
 * Plans the next command to a worker: at each renewal, and at once if there is a new instruction.
 * A cell of 123 workers has some 140 events a second, so a worker without changes costs only two
 * comparisons instead of a search through the ledger.
 */
export const planCommand = (
  state: CellState,
  view: WorkerView,
  nowMs: number,
): PlannedCommand | undefined => {
  if (view.isCommandInFlight) return undefined;
  const isRenewalDue = nowMs - view.commandSentAtMs >= state.timing.workerRenewalIntervalMs;
  if ((!isRenewalDue && !view.isCommandStale) || !mayRenewLeases(state, nowMs)) return undefined;
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
  // While the rows are in doubt only renewals are sent, so the command has to be computed again.
  const isCommandStale = withheldCount > 0 || state.rows === undefined;
  const keys = instructionKeys(command);
  if (!isRenewalDue && [...keys].every((key) => view.sentKeys.has(key))) {
    return { command: undefined, view: { ...view, isCommandStale, repeatableRenewal: undefined } };
  }
  return {
    command,
    view: {
      ...sent,
      ...boundsAfterSending(state, view, report, command),
      isCommandStale,
      sentKeys: keys,
      repeatableRenewal: toRepeatableRenewal(state, view, command, keys),
    },
  };
};
