/** What the scheduler has decided and learnt, for the log. */
import type { FinishedRun } from '../../../services/fleet/common/fleetWorker.js';
import type { LogFields } from '../../../services/log/common/log.js';
import type { LogEvent } from '../../../services/log/common/logEvents.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { PaceChange } from './interferenceControl.js';
import type { WorkerEvidence } from './runEvidence.js';
import type { TaskRecord, TaskRun } from './taskRecords.js';
import { type ObstaclesOf, type WaitCounts, WaitReport } from './waitReport.js';

export interface FleetNote {
  readonly event: LogEvent;
  readonly fields: LogFields;
}

/** Why a run is stopped. */
export const StopReason = {
  Cancelled: 'cancelled',
  Failed: 'failed',
  /** Another run of the task has ended it, or nobody wants it. */
  NotWanted: 'not-wanted',
  /** It slows what serves beside it. */
  Interference: 'interference',
  /** It lasts, its worker is about to leave, and another one has room. */
  Draining: 'draining',
  /** Its worker leaves before it can end, and another one has room. */
  Unfinishable: 'unfinishable',
  /** It makes no progress. */
  Stuck: 'stuck',
  /** Its process may forget its end, being told of ends that its predecessor had under the number. */
  Forgettable: 'forgettable',
} as const;
export type StopReason = (typeof StopReason)[keyof typeof StopReason];

const describeRun = ({ task, run, workerId }: TaskRun): string => `${task.name}#${run}@${workerId}`;

/** Runs as TASK#RUN@WORKER, so that a search for a submission's id finds them. */
const describeRuns = (runs: readonly TaskRun[]): string => runs.map(describeRun).join(' ');

/**
 * Starts and ends of this time share a line each. One for each worker and round were some 150 a
 * second in a burst, and crowded the lines on submissions out of the log's limit.
 */
const GATHER_MS = 200;

export class FleetNotes {
  readonly #waitReport = new WaitReport();

  #notes: FleetNote[] = [];

  #starts: string[] = [];

  #longestWaitMs = 0;

  #ends: string[] = [];

  /** When the oldest start or end that is gathered came. */
  #gatheredSinceMs: number | undefined;

  add(event: LogEvent, fields: LogFields): void {
    this.#notes.push({ event, fields });
  }

  addStarts(runs: readonly TaskRun[], nowMs: number): void {
    if (runs.length === 0) return;
    this.#gatheredSinceMs ??= nowMs;
    runs.forEach((run) => {
      const waitedMs = Math.round(nowMs - run.task.waitingSinceMs);
      this.#longestWaitMs = Math.max(this.#longestWaitMs, waitedMs);
      this.#starts.push(`${describeRun(run)}+${waitedMs}ms`);
    });
  }

  addEnds(workerId: string, ended: readonly FinishedRun[], nowMs: number): void {
    if (ended.length === 0) return;
    this.#gatheredSinceMs ??= nowMs;
    ended.forEach(({ taskName, run, end }) => {
      this.#ends.push(`${taskName}#${run}@${workerId}=${end}`);
    });
  }

  addStops(runs: readonly TaskRun[], reason: StopReason): void {
    if (runs.length > 0) this.add('runs-stopped', { reason, runs: describeRuns(runs) });
  }

  addLosses(
    view: FleetWorkerView,
    lost: readonly TaskRun[],
    reason: WorkerEvidence['kind'],
    nowMs: number,
  ): void {
    if (lost.length === 0) return;
    this.add('runs-lost', {
      workerId: view.id,
      reason,
      // Left out for a worker that has not answered this owner.
      ...(view.isHeard && { answeredAgoMs: Math.round(nowMs - view.lastAnswerAtMs) }),
      leasesLeftMs: Math.round(view.leasesOverAtMs - nowMs),
      runs: describeRuns(lost),
    });
  }

  /** The table no longer lists the worker. */
  addUnlisted({ id, runs, staysUntilMs }: FleetWorkerView, nowMs: number): void {
    this.add('worker-unlisted', {
      workerId: id,
      runs: runs.size,
      // Left out for a worker that did not tell for how long it would stay.
      ...(staysUntilMs !== undefined && { stayedLongerMs: Math.round(nowMs - staysUntilMs) }),
    });
  }

  addPaces(changes: readonly PaceChange[]): void {
    if (changes.length === 0) return;
    const paces = changes.map(({ run, percent }) => `${describeRun(run)}=${percent}%`).join(' ');
    this.add('runs-paced', { paces });
  }

  addWaits(
    waiting: Iterable<TaskRecord>,
    counts: WaitCounts,
    obstaclesOf: ObstaclesOf,
    nowMs: number,
  ): void {
    this.#waitReport
      .tasks(waiting, counts, obstaclesOf, nowMs)
      .forEach((fields) => this.add('tasks-waiting', fields));
  }

  /** Workers that have not answered this owner and may run what a former owner started. */
  addAwaited(views: Iterable<FleetWorkerView>, nowMs: number): void {
    const fields = this.#waitReport.workers(views, nowMs);
    if (fields !== undefined) this.add('workers-awaited', fields);
  }

  /** Everything that is due to be told. */
  drain(epoch: number, nowMs: number): readonly FleetNote[] {
    const since = this.#gatheredSinceMs;
    if (since !== undefined && nowMs - since >= GATHER_MS) this.#tellGathered(epoch);
    const notes = this.#notes;
    this.#notes = [];
    return notes;
  }

  #tellGathered(epoch: number): void {
    if (this.#starts.length > 0) {
      const runs = this.#starts.join(' ');
      this.add('tasks-started', { epoch, waitedMs: this.#longestWaitMs, runs });
    }
    if (this.#ends.length > 0) this.add('tasks-ended', { epoch, ends: this.#ends.join(' ') });
    this.#starts = [];
    this.#ends = [];
    this.#longestWaitMs = 0;
    this.#gatheredSinceMs = undefined;
  }
}
