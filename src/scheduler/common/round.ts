/** One round of a cell's owner: everything that is due goes into one transaction. */
import { fractionOf } from '../../base/common/hash.js';
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
import { type HandOnMemory, handOnWaitingTasks, nextHandOnMemory, publishRoom } from './handOn.js';
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
  readonly learnt: FailureTracking;
  readonly assignedCount: number;
  /** Attempts that have to leave for urgent work, as keys. */
  readonly preempted: ReadonlySet<string>;
  readonly handOn: HandOnMemory;
  /** Since when teams have waited for a worker with their quota granted. */
  readonly quotaWaits: CellState['quotaWaits'];
}

/** Ends the queued tasks of cancelled jobs; running ones end when their workers say so. */
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

/** Hands shards of a withdrawn zone, once nothing of them runs here, to zones in use. */
const moveShards = (state: CellState, draft: CellDraft): void => {
  const view = state.configuration?.view;
  const zones = view === undefined ? [] : zonesInUse(view);
  if (state.withdrawnSinceMs === undefined || zones.length === 0) return;
  draft.shardIds.forEach((shardId) => {
    if (draft.rowCount >= state.timing.maximumRowsPerRound) return;
    const row = draft.work(shardId);
    const isRunning = row?.tasks.some((task) => task.state === BatchTaskState.Assigned) ?? true;
    if (row === undefined || isRunning || row.tasks.every(isEnded)) return;
    // Drawn from the id: by the turn, single shards would all come to the first zone.
    const zoneIndex = Math.floor(fractionOf(shardId) * zones.length);
    draft.moveWork(shardId, zones[zoneIndex] as string);
  });
};

const publishedWorkers = new WeakMap<EndpointRow, ReadonlyMap<string, string>>();

/** The worker of each published task; kept with the row, which hardly ever changes. */
const workersByTask = (row: EndpointRow): ReadonlyMap<string, string> => {
  const known = publishedWorkers.get(row);
  if (known !== undefined) return known;
  const workers = new Map(row.servers.map(({ taskId, workerId }) => [taskId, workerId] as const));
  publishedWorkers.set(row, workers);
  return workers;
};

/**
 * A server that a former owner published stays while this owner may yet hear of its worker: for
 * as long as a lease lasts that was renewed until the cell was taken over.
 */
const isStillPublished = (
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
  if (view?.report === undefined) return isStillPublished(state, assignment, published, nowMs);
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

/** True when the configuration is fresh enough, and allows, to start work in this zone. */
export const mayAssign = (state: CellState, nowMs: number): boolean => {
  if (state.configuration === undefined || state.withdrawnSinceMs !== undefined) return false;
  const ageMs = nowMs - state.configuration.confirmedAtMs;
  return ageMs <= state.timing.configurationFreshnessMs;
};

/** How long a new owner waits for its workers to answer before it assigns. */
const SETTLING_MS = 1_000;

/**
 * False while a new owner has yet to hear from workers that are likely to answer. It would pile
 * everything that is queued, all replicas of a service among it, on the first ones to answer. A
 * worker that cannot be reached holds assigning up for a second at most.
 */
export const hasSettled = (state: CellState, nowMs: number): boolean =>
  nowMs - state.tookOverAtMs >= SETTLING_MS ||
  [...state.workers.values()].every((view) => !view.isListed || view.report !== undefined);

/** Works out all changes that are due now. */
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
  // A task that failed is queued in this very round: it would be tried again at once, and on the
  // worker that failed it, if the round assigned before it had learnt of the failure.
  const learnt = trackFailures(state, ends, nowMs);
  const informed = { ...state, ...learnt };
  const parts = quotaPartsOf(state, rows);
  const assigned = isAssigning
    ? assignQueuedWork(informed, rows, draft, parts, policy, operationId, nowMs)
    : undefined;
  const roomless = assigned?.roomless ?? new Set<string>();
  const receivers = isAssigning
    ? handOnWaitingTasks(state, draft, operationId, nowMs)
    : new Set<string>();
  moveOrRefuseOversizedWork(state, draft, nowMs);
  moveShards(state, draft);
  if (rows.cancellations.size > 0) draft.closeCancellations();
  updateEndpoints(state, draft, nowMs);
  updateUnreached(state, rows, draft, nowMs);
  publishQuotaShare(state, draft, parts, nowMs);
  publishRoom(state, draft, assigned?.capacity, roomless.size > 0, nowMs);
  const quotaWaits = nextQuotaWaits(state, draft, parts, nowMs);
  return {
    ...{ draft, ends, learnt, quotaWaits },
    handOn: isAssigning ? nextHandOnMemory(state.handOn, roomless, receivers, nowMs) : state.handOn,
    assignedCount: assigned?.count ?? 0,
    preempted: assigned?.preempted ?? new Set<string>(),
  };
};
