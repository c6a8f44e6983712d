/** Hands queued tasks that find no room in this cell on to cells that have some. */
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

/** What an owner remembers of handing on; a new owner starts without it. */
export interface HandOnMemory {
  /** Since when shards have found no room, by shard id. */
  readonly roomlessSinceMs: ReadonlyMap<string, number>;
  /** When tasks were last handed on to each cell. */
  readonly handedOnAtMs: ReadonlyMap<string, number>;
  /** When a task last found no room here. */
  readonly waitedAtMs: number;
  /** When the room was last worked out. */
  readonly roomAtMs: number;
}

export const NO_HAND_ON: HandOnMemory = {
  roomlessSinceMs: new Map(),
  handedOnAtMs: new Map(),
  waitedAtMs: Number.NEGATIVE_INFINITY,
  roomAtMs: Number.NEGATIVE_INFINITY,
};

/** A batch task ends somewhere in a full cell several times a second, so a short wait is usual. */
const PATIENCE_MS = 2_000;
/** Longer than a cell takes to read what came, to assign it and to publish the room that is left. */
const INTERVAL_MS = 2_000;
/** Room counts as lasting once nothing has waited for so long. */
const CALM_MS = 5_000;
/** Adding up what is free on all workers in each round would cost more than the rest of it. */
const ROOM_INTERVAL_MS = 1_000;
/** Changes of room by less than this share of the cell are not worth a write. */
const NOTABLE_SHARE = 1 / 8;

const hasNotableDifference = (one: Resources, other: Resources, whole: Resources): boolean => {
  const isNotable = (left: number, right: number, all: number): boolean =>
    Math.abs(left - right) > all * NOTABLE_SHARE;
  return (
    isNotable(one.processorMillis, other.processorMillis, whole.processorMillis) ||
    isNotable(one.memoryBytes, other.memoryBytes, whole.memoryBytes) ||
    isNotable(one.acceleratorCount, other.acceleratorCount, whole.acceleratorCount)
  );
};

const isRoomDue = ({ roomAtMs }: HandOnMemory, nowMs: number): boolean =>
  nowMs - roomAtMs >= ROOM_INTERVAL_MS;

/**
 * Publishes how much room the cell has for others' tasks: none while tasks of its own wait, else
 * what is free. A cell whose queue comes and goes would otherwise be sent work in each gap.
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
  const isCalm = nowMs - state.handOn.waitedAtMs >= CALM_MS;
  const isDue = isClosed || (isCalm && isRoomDue(state.handOn, nowMs));
  if (!isDue || (!isClosed && capacity === undefined)) return;
  // A worker that has shrunk below what runs on it has less than nothing free.
  const room = isClosed
    ? NO_RESOURCES
    : sumResources(
        capacity?.().openCandidates.map(({ free }) => remainingResources(free, NO_RESOURCES)) ?? [],
      );
  const isEmptied = isClosed && !fitsInto(before, NO_RESOURCES);
  if (!isEmptied && !hasNotableDifference(room, before, cellCapacity(state))) return;
  draft.setExchange({ ...draft.exchange, room });
};

/**
 * A task whose worker was cut off may have finished unheard, which only this cell can still hear
 * of; moved, it would be completed a second time. Tasks that never ran, or whose every earlier
 * attempt has said that it was evicted, are safe to move.
 */
const mayMove = (task: BatchTask): boolean =>
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

/** This cell's share of the room that each other cell in use has published. */
const roomElsewhere = (
  state: CellState,
  view: ConfigurationView,
  nowMs: number,
): Map<string, Resources> => {
  const others = zonesInUse(view).filter((zone) => zone !== state.cell);
  const isRested = (zone: string): boolean =>
    nowMs - (state.handOn.handedOnAtMs.get(zone) ?? Number.NEGATIVE_INFINITY) >= INTERVAL_MS;
  const shareOf = (amount: number): number => Math.floor(amount / others.length);
  return new Map(
    others.filter(isRested).map((zone) => {
      const room = state.exchangeElsewhere.get(zone)?.room ?? NO_RESOURCES;
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

const handOnShard = (
  state: CellState,
  draft: CellDraft,
  row: WorkRow,
  rooms: Map<string, Resources>,
  operationId: string,
): string | undefined => {
  const handedOnBy = [...(row.handedOnBy ?? []), state.cell];
  const movable = row.tasks.filter(mayMove);
  const [best] = [...rooms]
    .filter(([zone]) => !handedOnBy.includes(zone))
    .map(([zone, room]) => ({ zone, room, count: countThatFits(row.size, room) }))
    .sort((left, right) => right.count - left.count);
  if (best === undefined || best.count === 0 || movable.length === 0) return undefined;
  const tasks = movable.slice(0, best.count);
  const taken = multipliedResources(row.size, tasks.length);
  rooms.set(best.zone, subtractResources(best.room, taken));
  // No other transaction has this id, so the row cannot exist in the other cell yet.
  const shardId = `${row.jobId}~${operationId}.${draft.rowCount}`;
  draft.splitWork(row.shardId, { ...row, shardId, handedOnBy, tasks }, best.zone);
  return best.zone;
};

/**
 * Made for cells whose loads differ: jobs are dealt by capacity without knowing what is free, a
 * zone has just returned, or one has large services. A shard that has found no room for a while
 * gives up as many queued tasks as another cell says it has room for; running ones stay. Each cell
 * takes up at most its even share of another's room and waits until that cell has published
 * again, so all of them together never send more than there is. A task never comes back to a
 * cell that has handed it on, so it moves at most once for each zone. The owner's inbox condition
 * holds as for every move: a cancellation that was not read yet makes the transaction fail.
 */
export const handOnWaitingTasks = (
  state: CellState,
  draft: CellDraft,
  operationId: string,
  nowMs: number,
): ReadonlySet<string> => {
  const view = state.configuration?.view;
  const receivers = new Set<string>();
  if (view === undefined || state.withdrawnSinceMs !== undefined) return receivers;
  const waiting = [...state.handOn.roomlessSinceMs].filter(
    ([shardId, sinceMs]) => nowMs - sinceMs >= PATIENCE_MS && !state.oversizedSinceMs.has(shardId),
  );
  if (waiting.length === 0) return receivers;
  const rooms = roomElsewhere(state, view, nowMs);
  waiting.forEach(([shardId]) => {
    const row = draft.work(shardId);
    const isOpen = row !== undefined && !draft.cancelledJobIds.has(row.jobId);
    if (!isOpen || draft.rowCount >= state.timing.maximumRowsPerRound) return;
    const receiver = handOnShard(state, draft, row, rooms, operationId);
    if (receiver !== undefined) receivers.add(receiver);
  });
  return receivers;
};

/** What to remember after a round in which those shards found no room. */
export const nextHandOnMemory = (
  before: HandOnMemory,
  roomless: ReadonlySet<string>,
  receivers: ReadonlySet<string>,
  nowMs: number,
): HandOnMemory => ({
  roomlessSinceMs: new Map(
    [...roomless].map((shardId) => [shardId, before.roomlessSinceMs.get(shardId) ?? nowMs]),
  ),
  handedOnAtMs: new Map([
    ...before.handedOnAtMs,
    ...[...receivers].map((cell) => [cell, nowMs] as const),
  ]),
  waitedAtMs: roomless.size > 0 ? nowMs : before.waitedAtMs,
  roomAtMs: isRoomDue(before, nowMs) ? nowMs : before.roomAtMs,
});
