/** Reports long waits for placement or for workers, in a bounded number of log lines. */
import type { LogFields } from '../../../services/log/common/log.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { PlacementObstacle } from './placementObstacle.js';
import { isInterrupted, type TaskRecord } from './taskRecords.js';
import type { WaitCounts } from './waitReason.js';

const REPORT_INTERVAL_MS = 1_000;
/** Shorter waits are logged when the task starts. */
const MINIMUM_REPORTED_WAIT_MS = 1_000;
/** Workers named in one line; the count in the line includes the others. */
const MAXIMUM_NAMED_WORKERS = 20;

/** Kinds of tasks that wait for different reasons, the most urgent kind first. */
export const WaitingKind = {
  /** A persistent task that has run before: its users are without service. */
  Interrupted: 'interrupted',
  /** A persistent task that has never run. */
  Persistent: 'lasting',
  Batch: 'batch',
  Filler: 'filler',
} as const;
export type WaitingKind = (typeof WaitingKind)[keyof typeof WaitingKind];

/** Returns, for each obstacle to placing a task, the number of workers that it affects. */
export type ObstaclesOf = (task: TaskRecord) => ReadonlyMap<PlacementObstacle, number>;

export const waitingKindOf = (task: TaskRecord): WaitingKind => {
  if (isInterrupted(task)) return WaitingKind.Interrupted;
  if (task.step.isPersistent) return WaitingKind.Persistent;
  return task.step.isFiller ? WaitingKind.Filler : WaitingKind.Batch;
};

interface Waiting {
  readonly oldest: TaskRecord;
  readonly count: number;
}

/** The longest-waiting task of each kind, and the number of tasks of that kind. */
const waitingByKind = (tasks: Iterable<TaskRecord>): ReadonlyMap<WaitingKind, Waiting> => {
  const byKind = new Map<WaitingKind, Waiting>();
  [...tasks].forEach((task) => {
    const kind = waitingKindOf(task);
    const known = byKind.get(kind);
    const isOlder = known === undefined || task.waitingSinceMs < known.oldest.waitingSinceMs;
    byKind.set(kind, { oldest: isOlder ? task : known.oldest, count: (known?.count ?? 0) + 1 });
  });
  return byKind;
};

const describeCounts = (counts: ReadonlyMap<string, number>): string =>
  [...counts].map(([reason, count]) => `${reason}=${count}`).join(' ');

export class WaitReport {
  #nextTasksAtMs = Number.NEGATIVE_INFINITY;

  #nextWorkersAtMs = Number.NEGATIVE_INFINITY;

  /** Returns the fields of a log line for each kind of waiting task, or none while not due. */
  tasks(
    waiting: Iterable<TaskRecord>,
    counts: WaitCounts,
    obstaclesOf: ObstaclesOf,
    nowMs: number,
  ): readonly LogFields[] {
    if (nowMs < this.#nextTasksAtMs || counts.size === 0) return [];
    const notable = [...waitingByKind(waiting)].filter(
      ([, { oldest }]) => nowMs - oldest.waitingSinceMs >= MINIMUM_REPORTED_WAIT_MS,
    );
    if (notable.length === 0) return [];
    this.#nextTasksAtMs = nowMs + REPORT_INTERVAL_MS;
    return notable.map(([kind, { oldest, count }]) => ({
      kind,
      count,
      taskName: oldest.name,
      longestWaitMs: Math.round(nowMs - oldest.waitingSinceMs),
      reasons: describeCounts(counts),
      obstacles: describeCounts(obstaclesOf(oldest)),
    }));
  }

  /** Returns the fields of a log line on workers whose runs are unknown; undefined if not due. */
  workers(views: Iterable<FleetWorkerView>, nowMs: number): LogFields | undefined {
    if (nowMs < this.#nextWorkersAtMs) return undefined;
    const awaited = [...views].filter(
      ({ hasAnswered, leasesOverAtMs }) => !hasAnswered && nowMs < leasesOverAtMs,
    );
    if (awaited.length === 0) return undefined;
    this.#nextWorkersAtMs = nowMs + REPORT_INTERVAL_MS;
    const named = awaited.slice(0, MAXIMUM_NAMED_WORKERS).map(({ id }) => id);
    const longestMs = Math.max(...awaited.map(({ leasesOverAtMs }) => leasesOverAtMs - nowMs));
    return { count: awaited.length, workers: named.join(' '), atMostMs: Math.round(longestMs) };
  }
}
