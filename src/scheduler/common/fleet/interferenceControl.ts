/** Decides which fillers may run beside services, and at which pace. */
import type { LearntInterference } from '../../../services/submissions/common/submissionRows.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import type { TaskRecord, TaskRun } from './taskRecords.js';

export interface PaceChange {
  readonly run: TaskRun;
  readonly percent: number;
}

/** Conditions under which a filler may be started on a worker. */
export interface Admission {
  /** The highest pace at which the services there are expected to stay within their targets. */
  readonly percent: number;
  /** The lowest headroom of any service there at its highest load. */
  readonly headroom: number;
}

/** What is to be done about the fillers of one worker. */
export interface InterferenceAnswer {
  readonly paces: readonly PaceChange[];
  /** Runs to stop, so that their tasks can continue where they slow no service. */
  readonly moves: readonly TaskRun[];
}

export const NO_ANSWER: InterferenceAnswer = { paces: [], moves: [] };

export interface InterferenceControl {
  /** Loads the estimates of the previous owner. */
  inherit(pairs: LearntInterference, nowMs: number): void;

  /** What is known of pairs of images, for a successor. */
  learnt(): LearntInterference;

  /** Takes the worker's newest figures in. */
  observe(view: FleetWorkerView, nowMs: number): void;

  /** Returns undefined if the filler should not be started on the worker now. */
  admit(view: FleetWorkerView, filler: TaskRecord, nowMs: number): Admission | undefined;

  /** What is to work faster or slower on the worker from now on. */
  answer(view: FleetWorkerView, nowMs: number): InterferenceAnswer;
}
