/** Transfers queued tasks that find no room in this cell to cells that have room. */
import {
  type ConfigurationView,
  zonesInUse,
} from '../../services/configuration/common/configurationView.js';
import {
  fitsInto,
  multipliedResources,
  NO_RESOURCES,
  remainingResources,
  type Resources,
  subtractResources,
  sumResources,
} from '../../services/worker/common/resources.js';
import {
  type BatchTask,
  BatchTaskState,
  type WorkRow,
} from '../../services/workload/common/workRows.js';
import type { CellDraft } from './cellDraft.js';
import type { CellState } from './cellState.js';
import type { FreeCapacity } from './freeCapacity.js';
import { cellCapacity } from './quotaRound.js';

/** The owner's state of task transfers. A new owner starts with an empty one. */
export interface TaskTransferState {
  /** Since when a shard has found no room, by shard id. */
  readonly noRoomSinceMs: ReadonlyMap<string, number>;
  /** When tasks were last transferred to a cell, by cell. */
  readonly lastTransferAtMs: ReadonlyMap<string, number>;
  /** When a task last found no room in this cell. */
  readonly lastNoRoomAtMs: number;
  /** When the room of this cell was last computed. */
  readonly roomComputedAtMs: number;
}

export const INITIAL_TASK_TRANSFER: TaskTransferState = {
  noRoomSinceMs: new Map(),
  lastTransferAtMs: new Map(),
  lastNoRoomAtMs: Number.NEGATIVE_INFINITY,
  roomComputedAtMs: Number.NEGATIVE_INFINITY,
};

/**
 * How long a shard must have found no room before its tasks are transferred. A short wait is
 * normal, because a full cell completes several batch tasks a second.
 */
const TRANSFER_DELAY_MS = 2_000;
/**
 * Minimum time between two transfers to the same cell. It is longer than a cell takes to read
 * transferred tasks, assign them and publish its remaining room.
 */
const TRANSFER_INTERVAL_MS = 2_000;
/** How long no task may have waited before the cell publishes room. */
const ROOM_STABLE_MS = 5_000;
/**
 * How often the room is computed. Summing the free capacity of all workers in each round would cost
 * more than the rest of the round.
 */
const ROOM_INTERVAL_MS = 1_000;
/** Changes of room by less than this share of the cell's capacity are not published. */
const MINIMUM_CHANGE_RATIO = 1 / 8;

const isRoomChanged = (room: Resources, published: Resources, total: Resources): boolean => {
  const isLargeChange = (left: number, right: number, totalAmount: number): boolean =>
    Math.abs(left - right) > totalAmount * MINIMUM_CHANGE_RATIO;
  return (
    isLargeChange(room.processorMillis, published.processorMillis, total.processorMillis) ||
    isLargeChange(room.memoryBytes, published.memoryBytes, total.memoryBytes) ||
    isLargeChange(room.acceleratorCount, published.acceleratorCount, total.acceleratorCount)
  );
};

const isRoomDue = ({ roomComputedAtMs }: TaskTransferState, nowMs: number): boolean =>
  nowMs - roomComputedAtMs >= ROOM_INTERVAL_MS;

/**
 * Publishes how much room the cell has for tasks of other cells: none while or shortly after its
 * own tasks wait, otherwise its free capacity. Without the delay, a cell whose queue empties and
 * fills repeatedly would be sent tasks in each gap.
 */
export const publishRoom = (
  state: CellState,
  draft: CellDraft,
  capacity: (() => FreeCapacity) | undefined,
  hasWaiting: boolean,
  nowMs: number,
): void => {
  const before = draft.exchange.room ?? NO_RESOURCES;
  const isClosed = state.withdrawnSinceMs !== undefined || hasWaiting;
  const isRoomStable = nowMs - state.taskTransfer.lastNoRoomAtMs >= ROOM_STABLE_MS;
  const isDue = isClosed || (isRoomStable && isRoomDue(state.taskTransfer, nowMs));
  if (!isDue || (!isClosed && capacity === undefined)) return;
  // The negative free capacity of a worker that has shrunk below its usage counts as none.
  const room = isClosed
    ? NO_RESOURCES
    : sumResources(
        capacity?.().openCandidates.map(({ free }) => remainingResources(free, NO_RESOURCES)) ?? [],
      );
  const isClosing = isClosed && !fitsInto(before, NO_RESOURCES);
  if (!isClosing && !isRoomChanged(room, before, cellCapacity(state))) return;
  draft.setExchange({ ...draft.exchange, room });
};

/**
 * True if the task never ran, or if each of its earlier attempts was reported as evicted. An
 * attempt on a worker that became unreachable may have finished, and only this cell can still learn
 * of it. If the task moved, it would be completed a second time.
 */
const isSafeToMove = (task: BatchTask): boolean =>
  task.state === BatchTaskState.Queued &&
  task.failureWeight === 0 &&
  task.attempt === 1 + task.evictionCount;

const countThatFits = (size: Resources, room: Resources): number => {
  const limits = [
    size.processorMillis === 0 ? Infinity : room.processorMillis / size.processorMillis,
    size.memoryBytes === 0 ? Infinity : room.memoryBytes / size.memoryBytes,
    size.acceleratorCount === 0 ? Infinity : room.acceleratorCount / size.acceleratorCount,
  ];
  return Math.max(0, Math.floor(Math.min(...limits)));
};

/** This cell's share of the room that each other zone in use has published. */
const roomInOtherCells = (
  state: CellState,
  view: ConfigurationView,
  nowMs: number,
): Map<string, Resources> => {
  const others = zonesInUse(view).filter((zone) => zone !== state.cell);
  const isIntervalOver = (zone: string): boolean =>
    nowMs - (state.taskTransfer.lastTransferAtMs.get(zone) ?? Number.NEGATIVE_INFINITY) >=
    TRANSFER_INTERVAL_MS;
  const shareOf = (amount: number): number => Math.floor(amount / others.length);
  return new Map(
    others.filter(isIntervalOver).map((zone) => {
      const room = state.otherCellsExchange.get(zone)?.room ?? NO_RESOURCES;
      return [
        zone,
        {
          processorMillis: shareOf(room.processorMillis),
          memoryBytes: shareOf(room.memoryBytes),
          acceleratorCount: shareOf(room.acceleratorCount),
        },
      ];
    }),
  );
};

const transferFromShard = (
  state: CellState,
  draft: CellDraft,
  row: WorkRow,
  rooms: Map<string, Resources>,
  operationId: string,
): string | undefined => {
  const handedOnBy = [...(row.handedOnBy ?? []), state.cell];
  const movable = row.tasks.filter(isSafeToMove);
  const [best] = [...rooms]
    .filter(([zone]) => !handedOnBy.includes(zone))
    .map(([zone, room]) => ({ zone, room, count: countThatFits(row.size, room) }))
    .sort((left, right) => right.count - left.count);
  if (best === undefined || best.count === 0 || movable.length === 0) return undefined;
  const tasks = movable.slice(0, best.count);
  const transferredSize = multipliedResources(row.size, tasks.length);
  rooms.set(best.zone, subtractResources(best.room, transferredSize));
  // The operation id is unique, so the row cannot exist in the other cell yet.
  const shardId = `${row.jobId}~${operationId}.${draft.rowCount}`;
  draft.splitWork(row.shardId, { ...row, shardId, handedOnBy, tasks }, best.zone);
  return best.zone;
};

/**
 * Transfers queued tasks of shards that have found no room for a while, as many as another cell has
 * room for. Running tasks stay. Returns the receiving cells.
 *
 * The load of cells differs because jobs are distributed by capacity regardless of what is free,
 * because a zone has just returned, or because a zone runs large services. Each cell uses at most
 * an equal share of another cell's room and then waits until that cell has published its room
 * again, so all cells together never send more than fits. A task never returns to a cell that has
 * transferred it, so it moves at most once per zone. As for every move, the transaction requires
 * the version of the inbox: a cancellation that has not been read yet makes it fail.
 */
export const transferWaitingTasks = (
  state: CellState,
  draft: CellDraft,
  operationId: string,
  nowMs: number,
): ReadonlySet<string> => {
  const view = state.configuration?.view;
  const receivingCells = new Set<string>();
  if (view === undefined || state.withdrawnSinceMs !== undefined) return receivingCells;
  const waiting = [...state.taskTransfer.noRoomSinceMs].filter(
    ([shardId, sinceMs]) =>
      nowMs - sinceMs >= TRANSFER_DELAY_MS && !state.oversizedSinceMs.has(shardId),
  );
  if (waiting.length === 0) return receivingCells;
  const rooms = roomInOtherCells(state, view, nowMs);
  waiting.forEach(([shardId]) => {
    const row = draft.work(shardId);
    const isOpen = row !== undefined && !draft.cancelledJobIds.has(row.jobId);
    if (!isOpen || draft.rowCount >= state.timing.maximumRowsPerRound) return;
    const receivingCell = transferFromShard(state, draft, row, rooms, operationId);
    if (receivingCell !== undefined) receivingCells.add(receivingCell);
  });
  return receivingCells;
};

/** The transfer state after a round in which the given shards found no room. */
export const nextTaskTransfer = (
  before: TaskTransferState,
  shardIdsWithoutRoom: ReadonlySet<string>,
  receivingCells: ReadonlySet<string>,
  nowMs: number,
): TaskTransferState => ({
  noRoomSinceMs: new Map(
    [...shardIdsWithoutRoom].map((shardId) => [
      shardId,
      before.noRoomSinceMs.get(shardId) ?? nowMs,
    ]),
  ),
  lastTransferAtMs: new Map([
    ...before.lastTransferAtMs,
    ...[...receivingCells].map((cell) => [cell, nowMs] as const),
  ]),
  lastNoRoomAtMs: shardIdsWithoutRoom.size > 0 ? nowMs : before.lastNoRoomAtMs,
  roomComputedAtMs: isRoomDue(before, nowMs) ? nowMs : before.roomComputedAtMs,
});
