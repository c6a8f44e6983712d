/** Collects what the scheduler decides and observes as records for the log. */
import type { FinishedRun, HoldAnswer } from '../../../services/fleet/common/fleetWorker.js';
import type { LogFields } from '../../../services/log/common/log.js';
import type { LogEvent } from '../../../services/log/common/logEvents.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { PaceChange } from './interferenceControl.js';
import type { WorkerEvidence } from './runEvidence.js';
import { describeResumption } from './resumption.js';
import { RoomReport } from './roomReport.js';
import type { RowSize } from './storeLimits.js';
import type { TaskRecord, TaskRun } from './taskRecords.js';
import type { WaitCounts } from './waitReason.js';
import { type ObstaclesOf, WaitReport } from './waitReport.js';

export interface DecisionLogEntry {
  readonly event: LogEvent;
  readonly fields: LogFields;
}

/** Why a run is stopped. */
export const StopReason = {
  Cancelled: 'cancelled',
  Failed: 'failed',
  /** Another run has ended the task, or the task is no longer open. */
  NotWanted: 'not-wanted',
  /** It slows down the serving tasks on its worker. */
  Interference: 'interference',
  /** It is persistent, its worker is about to leave, and another worker has room. */
  Draining: 'draining',
  /** Its worker leaves before it can end, and another worker has room. */
  Unfinishable: 'unfinishable',
  /** It makes no progress. */
  Stuck: 'stuck',
} as const;
export type StopReason = (typeof StopReason)[keyof typeof StopReason];

const describeRun = ({ task, run, workerId }: TaskRun): string => `${task.name}#${run}@${workerId}`;

/** Describes runs as TASK#RUN@WORKER, so that a search for a submission's id finds them. */
const describeRuns = (runs: readonly TaskRun[]): string => runs.map(describeRun).join(' ');

/**
 * The starts within this time share one log line, and so do the ends. With a line for each worker
 * and round, a burst wrote some 150 lines a second, and the log's rate limit then dropped the lines
 * about submissions.
 */
const BATCH_MS = 200;
/** Keeps the lines short enough for log collectors, which truncate lines of some kilobytes. */
const MAXIMUM_DELAYS_PER_LINE = 10;

export class DecisionLog {
  readonly #waitReport = new WaitReport();

  readonly #roomReport = new RoomReport();

  #entries: DecisionLogEntry[] = [];

  #starts: string[] = [];

  #longestWaitMs = 0;

  #resumptions: string[] = [];

  #ends: string[] = [];

  /** When the oldest start or end that is not yet logged was added. */
  #batchedSinceMs: number | undefined;

  add(event: LogEvent, fields: LogFields): void {
    this.#entries.push({ event, fields });
  }

  addStarts(runs: readonly TaskRun[], epoch: number, nowMs: number): void {
    if (runs.length === 0) return;
    this.#batchedSinceMs ??= nowMs;
    runs.forEach((run) => {
      const waitedMs = Math.round(nowMs - run.task.waitingSinceMs);
      this.#longestWaitMs = Math.max(this.#longestWaitMs, waitedMs);
      this.#starts.push(`${describeRun(run)}+${waitedMs}ms`);
    });
    const resumed = runs.filter(
      ({ task, previousRun }) => task.step.savesProgress && previousRun > 0,
    );
    resumed.forEach((run) => this.#resumptions.push(describeResumption(run, epoch, nowMs)));
  }

  addEnds(workerId: string, ended: readonly FinishedRun[], nowMs: number): void {
    if (ended.length === 0) return;
    this.#batchedSinceMs ??= nowMs;
    ended.forEach(({ taskName, run, end }) => {
      this.#ends.push(`${taskName}#${run}@${workerId}=${end}`);
    });
  }

  /** Records that the submission has ended with the end of the task, or for want of attempts. */
  addSubmissionEnd({ name: taskName, submission: { submission, state } }: TaskRecord): void {
    this.add('submission-ended', { id: submission.id, state, taskName });
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
      // Omitted for a worker that has not answered this owner.
      ...(view.hasAnswered && { answeredAgoMs: Math.round(nowMs - view.lastAnswerAtMs) }),
      leasesLeftMs: Math.round(view.leasesOverAtMs - nowMs),
      runs: describeRuns(lost),
    });
  }

  /** Records that a process which the owner does not know has answered for the worker. */
  addNewProcess(view: FleetWorkerView, { incarnation, running, finished }: HoldAnswer): void {
    this.add('worker-reborn', {
      workerId: view.id,
      incarnation,
      formerIncarnation: view.incarnation,
      // Of the former process.
      acknowledgedSequence: view.acknowledgedSequence,
      listed: running.length + finished.length,
      // Runs whose starts either process may have received.
      runs: describeRuns([...view.runs.values()]),
    });
  }

  /** Records that the table no longer lists the worker. */
  addUnlisted({ id, runs, staysUntilMs }: FleetWorkerView, nowMs: number): void {
    this.add('worker-unlisted', {
      workerId: id,
      runs: runs.size,
      // Omitted for a worker that did not announce how long it would stay.
      ...(staysUntilMs !== undefined && { stayedLongerMs: Math.round(nowMs - staysUntilMs) }),
    });
  }

  addTooLarge(rows: readonly RowSize[]): void {
    rows.forEach(({ key, bytes }) => this.add('row-too-large', { key, bytes }));
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

  /** Records what holds the room of the workers that tasks may start on. */
  addRoom(views: readonly FleetWorkerView[], nowMs: number): void {
    const fields = this.#roomReport.fields(views, nowMs);
    if (fields !== undefined) this.add('room-short', fields);
  }

  addDelays(descriptions: readonly string[]): void {
    for (let from = 0; from < descriptions.length; from += MAXIMUM_DELAYS_PER_LINE) {
      const submissions = descriptions.slice(from, from + MAXIMUM_DELAYS_PER_LINE).join('; ');
      this.add('submissions-delayed', { submissions });
    }
  }

  /**
   * Records the workers that have not answered this owner and may still run former owners' tasks.
   */
  addAwaited(views: Iterable<FleetWorkerView>, nowMs: number): void {
    const fields = this.#waitReport.workers(views, nowMs);
    if (fields !== undefined) this.add('workers-awaited', fields);
  }

  /** Removes and returns the records that are due. */
  drain(epoch: number, nowMs: number): readonly DecisionLogEntry[] {
    const sinceMs = this.#batchedSinceMs;
    if (sinceMs !== undefined && nowMs - sinceMs >= BATCH_MS) this.#addBatched(epoch);
    const entries = this.#entries;
    this.#entries = [];
    return entries;
  }

  #addBatched(epoch: number): void {
    if (this.#starts.length > 0) {
      const runs = this.#starts.join(' ');
      this.add('tasks-started', { epoch, waitedMs: this.#longestWaitMs, runs });
    }
    if (this.#resumptions.length > 0) {
      this.add('tasks-resumed', { epoch, runs: this.#resumptions.join(' ') });
    }
    if (this.#ends.length > 0) this.add('tasks-ended', { epoch, ends: this.#ends.join(' ') });
    this.#starts = [];
    this.#resumptions = [];
    this.#ends = [];
    this.#longestWaitMs = 0;
    this.#batchedSinceMs = undefined;
  }
}
