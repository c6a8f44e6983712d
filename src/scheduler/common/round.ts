/** Plans one round of a cell's owner: collects all changes that are due in one transaction. */
import { hashFraction } from '../../base/common/hash.js';
import { zonesInUse } from '../../services/configuration/common/configurationView.js';
import { WorkerTaskState } from '../../services/worker/common/workerClient.js';
import {
  type Assignment,
  type BatchTask,
  BatchTaskState,
  type EndpointRow,
  isEnded,
} from '../../services/workload/common/workRows.js';
import { assignQueuedWork } from './assigning.js';
import { CellDraft } from './cellDraft.js';
import type { CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';
import { type FailureTracking, trackFailures } from './failureTracking.js';
import { recordLateFinishes } from './lateFinishes.js';
import {
  type TaskTransferState,
  transferWaitingTasks,
  nextTaskTransfer,
  publishRoom,
} from './taskTransfer.js';
import type { PlacementPolicy } from './placement.js';
import { nextQuotaWaits, publishQuotaShare, quotaPartsOf } from './quotaRound.js';
import { type RecordedEnd, recordEnds } from './taskEnds.js';
import { moveOrRefuseOversizedWork } from './oversizedWork.js';
import { updateUnreached } from './unreachedWorkers.js';
import { isWorkerDraining } from './wantedEvictions.js';
import { reportedTask, withDriftMargin } from './workerView.js';

export interface Round {
  readonly draft: CellDraft;
  readonly ends: readonly RecordedEnd[];
  readonly failureTracking: FailureTracking;
  readonly assignedCount: number;
  /** Keys of the attempts that are preempted for urgent work or a service. */
  readonly preempted: ReadonlySet<string>;
  readonly taskTransfer: TaskTransferState;
  /** Since when a large task of a team has had enough quota but no worker with room, by team. */
  readonly quotaWaits: CellState['quotaWaits'];
}

/** Ends the queued tasks of cancelled jobs. Running tasks end when their workers report it. */
const cancelQueuedTasks = (draft: CellDraft, maximumRowCount: number): void => {
  if (draft.cancelledJobIds.size === 0) return;
  draft.shardIds.forEach((shardId) => {
    if (draft.rowCount >= maximumRowCount) return;
    const row = draft.work(shardId);
    if (row === undefined || !draft.cancelledJobIds.has(row.jobId)) return;
    if (!row.tasks.some((task) => task.state === BatchTaskState.Queued)) return;
    const cancel = (task: BatchTask): BatchTask =>
      task.state === BatchTaskState.Queued ? { ...task, state: BatchTaskState.Cancelled } : task;
    draft.setWork({ ...row, tasks: row.tasks.map(cancel) });
  });
};

/** Moves the shards of a withdrawn zone to zones in use once none of their tasks runs here. */
const moveShards = (state: CellState, draft: CellDraft): void => {
  const view = state.configuration?.view;
  const zones = view === undefined ? [] : zonesInUse(view);
  if (state.withdrawnSinceMs === undefined || zones.length === 0) return;
  draft.shardIds.forEach((shardId) => {
    if (draft.rowCount >= state.timing.maximumRowsPerRound) return;
    const row = draft.work(shardId);
    const isRunning = row?.tasks.some((task) => task.state === BatchTaskState.Assigned) ?? true;
    if (row === undefined || isRunning || row.tasks.every(isEnded)) return;
    // The zone is derived from the shard id. In turn order, shards that move one at a time would
    // all go to the first zone.
    const zoneIndex = Math.floor(hashFraction(shardId) * zones.length);
    draft.moveWork(shardId, zones[zoneIndex] as string);
  });
};

const workersByTaskCache = new WeakMap<EndpointRow, ReadonlyMap<string, string>>();

/** The worker of each published task. Cached by row, because the row rarely changes. */
const workersByTask = (row: EndpointRow): ReadonlyMap<string, string> => {
  const cached = workersByTaskCache.get(row);
  if (cached !== undefined) return cached;
  const workers = new Map(row.servers.map(({ taskId, workerId }) => [taskId, workerId] as const));
  workersByTaskCache.set(row, workers);
  return workers;
};

/**
 * True if a server that a former owner published stays published although its worker has not
 * reported to this owner yet. It stays for as long as a lease lasts that was renewed at the time of
 * the takeover.
 */
const keepsPublishedServer = (
  state: CellState,
  { taskId, workerId }: Assignment,
  published: ReadonlyMap<string, string>,
  nowMs: number,
): boolean =>
  published.get(taskId) === workerId &&
  nowMs - state.tookOverAtMs <= withDriftMargin(state.timing.workerLeaseMs);

const isServing = (
  state: CellState,
  assignment: Assignment,
  published: ReadonlyMap<string, string>,
  nowMs: number,
): boolean => {
  const view = state.workers.get(assignment.workerId);
  if (isWorkerDraining(state, assignment.workerId)) return false;
  if (view?.report === undefined) return keepsPublishedServer(state, assignment, published, nowMs);
  return reportedTask(view, assignment)?.state === WorkerTaskState.Running;
};

const wantedServers = (
  state: CellState,
  draft: CellDraft,
  published: ReadonlyMap<string, string>,
  nowMs: number,
): EndpointRow['servers'] => {
  if (state.withdrawnSinceMs !== undefined) return [];
  return draft.replicas
    .filter((assignment) => isServing(state, assignment, published, nowMs))
    .map(({ serviceName, workerId, taskId }) => ({ serviceName, workerId, taskId }));
};

const updateEndpoints = (state: CellState, draft: CellDraft, nowMs: number): void => {
  const published = workersByTask(draft.endpoints);
  const wanted = wantedServers(state, draft, published, nowMs);
  const isSame =
    wanted.length === published.size &&
    wanted.every(({ taskId, workerId }) => published.get(taskId) === workerId);
  if (isSame) return;
  const servers = [...wanted].sort((left, right) => (left.taskId < right.taskId ? -1 : 1));
  draft.setEndpoints({ servers });
};

/** True if the configuration is fresh and allows assigning work in this zone. */
export const mayAssign = (state: CellState, nowMs: number): boolean => {
  if (state.configuration === undefined || state.withdrawnSinceMs !== undefined) return false;
  const ageMs = nowMs - state.configuration.confirmedAtMs;
  return ageMs <= state.timing.configurationFreshnessMs;
};

/** How long a new owner waits for the first reports of its workers before it assigns. */
const FIRST_REPORTS_WAIT_MS = 1_000;

/**
 * False while a new owner still waits for the first reports of listed workers. Otherwise it would
 * assign everything queued, including all replicas of a service, to the first workers that answer.
 * An unreachable worker delays assigning by one second at most.
 */
export const hasHeardFromWorkers = (state: CellState, nowMs: number): boolean =>
  nowMs - state.tookOverAtMs >= FIRST_REPORTS_WAIT_MS ||
  [...state.workers.values()].every((view) => !view.isListed || view.report !== undefined);

/** Plans all changes that are due now. */
export const planRound = (
  state: CellState,
  rows: CellRows,
  policy: PlacementPolicy,
  operationId: string,
  isAssigning: boolean,
  nowMs: number,
): Round => {
  const draft = new CellDraft(state.cell, rows);
  const ends = recordEnds(state, rows, draft, nowMs);
  recordLateFinishes(state, rows, draft);
  cancelQueuedTasks(draft, state.timing.maximumRowsPerRound);
  // A failed task is queued again in this round. Failures are learned before assigning; otherwise
  // the task would be retried at once, possibly on the worker on which it failed.
  const failureTracking = trackFailures(state, ends, nowMs);
  const stateAfterEnds = { ...state, ...failureTracking };
  const parts = quotaPartsOf(state, rows);
  const assigned = isAssigning
    ? assignQueuedWork(stateAfterEnds, rows, draft, parts, policy, operationId, nowMs)
    : undefined;
  const shardIdsWithoutRoom = assigned?.shardIdsWithoutRoom ?? new Set<string>();
  const receivingCells = isAssigning
    ? transferWaitingTasks(state, draft, operationId, nowMs)
    : new Set<string>();
  moveOrRefuseOversizedWork(state, draft, nowMs);
  moveShards(state, draft);
  if (rows.cancellations.size > 0) draft.removeSettledCancellations();
  updateEndpoints(state, draft, nowMs);
  updateUnreached(state, rows, draft, nowMs);
  publishQuotaShare(state, draft, parts, nowMs);
  publishRoom(state, draft, assigned?.capacity, shardIdsWithoutRoom.size > 0, nowMs);
  const quotaWaits = nextQuotaWaits(state, draft, parts, nowMs);
  return {
    ...{ draft, ends, failureTracking, quotaWaits },
    taskTransfer: isAssigning
      ? nextTaskTransfer(state.taskTransfer, shardIdsWithoutRoom, receivingCells, nowMs)
      : state.taskTransfer,
    assignedCount: assigned?.count ?? 0,
    preempted: assigned?.preempted ?? new Set<string>(),
  };
};
