/** Tells the log, in a bounded number of lines, what waits longer than it should and why. */
import type { LogFields } from '../../../services/log/common/log.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { TaskRecord } from './taskRecords.js';

/** Why a task that is due was not placed in a round. */
export const WaitReason = {
  /** No usable worker has room for it. */
  NoRoom: 'no-room',
  /** The limit of starts in one round was reached before its turn. */
  RoundFull: 'round-full',
} as const;
export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];

export type WaitCounts = ReadonlyMap<WaitReason, number>;

const REPORT_INTERVAL_MS = 1_000;
/** A task that has waited for less is told of when it starts. */
const NOTABLE_WAIT_MS = 1_000;
/** Workers named in one line; the count tells of the others. */
const NAMED_WORKERS = 20;

const oldestOf = (tasks: Iterable<TaskRecord>): TaskRecord | undefined => {
  let oldest: TaskRecord | undefined;
  [...tasks].forEach((task) => {
    if (oldest === undefined || task.waitingSinceMs < oldest.waitingSinceMs) oldest = task;
  });
  return oldest;
};

export class WaitReport {
  #nextTasksAtMs = Number.NEGATIVE_INFINITY;

  #nextWorkersAtMs = Number.NEGATIVE_INFINITY;

  /** The fields of a line on tasks that wait, when one is due. */
  tasks(waiting: Iterable<TaskRecord>, counts: WaitCounts, nowMs: number): LogFields | undefined {
    if (nowMs < this.#nextTasksAtMs || counts.size === 0) return undefined;
    const oldest = oldestOf(waiting);
    const waitedMs = nowMs - (oldest?.waitingSinceMs ?? nowMs);
    if (oldest === undefined || waitedMs < NOTABLE_WAIT_MS) return undefined;
    this.#nextTasksAtMs = nowMs + REPORT_INTERVAL_MS;
    const reasons = [...counts].map(([reason, count]) => `${reason}=${count}`).join(' ');
    return { taskName: oldest.name, longestWaitMs: Math.round(waitedMs), reasons };
  }

  /** The fields of a line on workers whose runs are not known yet, when one is due. */
  workers(views: Iterable<FleetWorkerView>, nowMs: number): LogFields | undefined {
    if (nowMs < this.#nextWorkersAtMs) return undefined;
    const awaited = [...views].filter(
      ({ isHeard, leasesOverAtMs }) => !isHeard && nowMs < leasesOverAtMs,
    );
    if (awaited.length === 0) return undefined;
    this.#nextWorkersAtMs = nowMs + REPORT_INTERVAL_MS;
    const named = awaited.slice(0, NAMED_WORKERS).map(({ id }) => id);
    const longestMs = Math.max(...awaited.map(({ leasesOverAtMs }) => leasesOverAtMs - nowMs));
    return { count: awaited.length, workers: named.join(' '), atMostMs: Math.round(longestMs) };
  }
}
