/** What the scheduler has decided and learnt, for the log. */
import type { LogFields } from '../../../services/log/common/log.js';
import type { LogEvent } from '../../../services/log/common/logEvents.js';
import type { PaceChange } from './harmControl.js';
import type { TaskRun } from './taskRecords.js';

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
  Harm: 'harm',
  /** It makes no progress. */
  Stuck: 'stuck',
} as const;
export type StopReason = (typeof StopReason)[keyof typeof StopReason];

const describeRun = ({ task, run, workerId }: TaskRun): string => `${task.name}#${run}@${workerId}`;

/** Runs as TASK#RUN@WORKER, so that a search for a submission's id finds them. */
export const describeRuns = (runs: readonly TaskRun[]): string => runs.map(describeRun).join(' ');

export class FleetNotes {
  #notes: FleetNote[] = [];

  add(event: LogEvent, fields: LogFields): void {
    this.#notes.push({ event, fields });
  }

  /** One line for each submission's tasks that are started together. */
  addStarts(runs: readonly TaskRun[], epoch: number, nowMs: number): void {
    const bySubmission = new Map<string, TaskRun[]>();
    runs.forEach((run) => {
      const { id } = run.task.submission.submission;
      bySubmission.set(id, [...(bySubmission.get(id) ?? []), run]);
    });
    bySubmission.forEach((started, id) => {
      const waitingSinceMs = Math.min(...started.map(({ task }) => task.waitingSinceMs));
      const waitedMs = Math.round(nowMs - waitingSinceMs);
      this.add('tasks-started', { id, epoch, waitedMs, runs: describeRuns(started) });
    });
  }

  addStops(runs: readonly TaskRun[], reason: StopReason): void {
    if (runs.length > 0) this.add('runs-stopped', { reason, runs: describeRuns(runs) });
  }

  addPaces(changes: readonly PaceChange[]): void {
    if (changes.length === 0) return;
    const paces = changes.map(({ run, percent }) => `${describeRun(run)}=${percent}%`).join(' ');
    this.add('runs-paced', { paces });
  }

  /** Everything since the last call. */
  drain(): readonly FleetNote[] {
    const notes = this.#notes;
    this.#notes = [];
    return notes;
  }
}
