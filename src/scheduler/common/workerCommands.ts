/** Derives the message to a worker from the committed ledger and the worker's last report. */
import {
  type StartRequest,
  type WorkerCommand,
  type WorkerReport,
  WorkerTaskState,
  type WorkerTaskReport,
} from '../../platform/worker/common/workerClient.js';
import type { Assignment } from '../../platform/work/common/workRows.js';
import { allAssignments } from './cellRows.js';
import type { CellState } from './cellState.js';
import { wantedEvictions } from './wantedEvictions.js';
import { isSameAttempt, reportedTask, type WorkerView, withDriftMargin } from './workerView.js';

export interface PlannedCommand {
  readonly command: WorkerCommand;
  readonly view: WorkerView;
}

/** Until the first report nothing can be asked but who the worker is. */
const firstContact = (state: CellState): WorkerCommand => ({
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
const isStartAllowed = (state: CellState, nowMs: number): boolean => {
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

const isListed = (task: WorkerTaskReport, assignments: readonly Assignment[]): boolean =>
  assignments.some((assignment) => isSameAttempt(assignment, task));

const toAttempt = ({ taskId, attempt }: Assignment | WorkerTaskReport) => ({ taskId, attempt });

/**
 * False for an assignment that the commit under way takes back. Starting or renewing it now
 * would leave it running beside its next attempt once the commit has taken effect.
 */
const isStanding = (state: CellState, assignment: Assignment): boolean => {
  if (state.pending?.kind !== 'commit') return true;
  const { draft } = state.pending;
  return draft.racks.some((rack) =>
    draft.assignments(rack).some((other) => isSameAttempt(other, assignment)),
  );
};

const commandFor = (
  state: CellState,
  view: WorkerView,
  report: WorkerReport,
  nowMs: number,
): WorkerCommand => {
  const assignments =
    state.rows === undefined
      ? []
      : allAssignments(state.rows).filter(({ workerId }) => workerId === view.instance.id);
  const current = assignments.filter(
    (assignment) => assignment.incarnation === report.incarnation && isStanding(state, assignment),
  );
  const evicted = wantedEvictions(state, nowMs).filter(
    ({ workerId }) => workerId === view.instance.id,
  );
  const leaseUntilWorkerMs = report.workerNowMs + state.timing.workerLeaseMs;
  const startBeforeWorkerMs = report.workerNowMs + state.timing.startValidityMs;
  const isRunning = (assignment: Assignment): boolean =>
    reportedTask(view, assignment)?.state === WorkerTaskState.Running;
  const starts = isStartAllowed(state, nowMs)
    ? current.filter(
        (assignment) =>
          reportedTask(view, assignment) === undefined && !evicted.includes(assignment),
      )
    : [];
  const strays =
    state.rows === undefined ? [] : report.tasks.filter((task) => !isListed(task, assignments));
  const runningStrays = strays.filter((task) => task.state === WorkerTaskState.Running);
  return {
    incarnation: report.incarnation,
    cellEpoch: state.lease.epoch,
    renewals: current
      .filter(isRunning)
      .map((assignment) => ({ ...toAttempt(assignment), leaseUntilWorkerMs })),
    starts: starts.map((assignment) =>
      toStart(assignment, startBeforeWorkerMs, leaseUntilWorkerMs),
    ),
    evictions: [...evicted.filter(isRunning), ...runningStrays].map(toAttempt),
    throttles: [],
    acknowledgements: strays
      .filter((task) => task.state !== WorkerTaskState.Running)
      .map(toAttempt),
  };
};

const hasNews = (command: WorkerCommand): boolean =>
  command.starts.length + command.evictions.length + command.acknowledgements.length > 0;

/** True while the owner may renew leases although it cannot reach the table. */
const mayRenew = (state: CellState, nowMs: number): boolean =>
  nowMs - state.lease.heldAtMs <= state.timing.maximumRenewalWithoutTableMs;

/** The next message to one worker: at each renewal, and at once when there is news. */
export const planCommand = (
  state: CellState,
  view: WorkerView,
  nowMs: number,
): PlannedCommand | undefined => {
  if (view.isCommandInFlight || !mayRenew(state, nowMs)) return undefined;
  const isRenewalDue = nowMs - view.commandSentAtMs >= state.timing.workerRenewalIntervalMs;
  const sent = { ...view, commandSentAtMs: nowMs, isCommandInFlight: true };
  if (view.report === undefined) {
    return isRenewalDue ? { command: firstContact(state), view: sent } : undefined;
  }
  const command = commandFor(state, view, view.report, nowMs);
  if (!isRenewalDue && !hasNews(command)) return undefined;
  const grantsLease = command.renewals.length + command.starts.length > 0;
  // The report was made before it was received, so a lease counted from it ends by then.
  const grantedUntilMs = view.reportedAtMs + withDriftMargin(state.timing.workerLeaseMs);
  const startBeforeWorkerMs = view.report.workerNowMs + state.timing.startValidityMs;
  return {
    command,
    view: {
      ...sent,
      leasesOverAtMs: grantsLease
        ? Math.max(view.leasesOverAtMs, grantedUntilMs)
        : view.leasesOverAtMs,
      startsGoodUntilWorkerMs:
        command.starts.length > 0
          ? Math.max(view.startsGoodUntilWorkerMs, startBeforeWorkerMs)
          : view.startsGoodUntilWorkerMs,
    },
  };
};
