/** Decides which fillers may run beside services, and at which pace (percentage of full speed). */
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

/** The changes to make to the fillers of one worker. */
export interface InterferenceChanges {
  readonly paces: readonly PaceChange[];
  /** Runs to stop so that their tasks can continue where they slow no service. */
  readonly moves: readonly TaskRun[];
}

export const NO_CHANGES: InterferenceChanges = { paces: [], moves: [] };

export interface InterferenceControl {
  /** Loads the estimates of the previous owner. */
  inherit(pairs: LearntInterference, nowMs: number): void;

  /** Returns the estimates for image pairs, to be stored for the next owner. */
  learnt(): LearntInterference;

  /** Processes the worker's newest samples. */
  observe(view: FleetWorkerView, nowMs: number): void;

  /** Returns undefined if the filler should not be started on the worker now. */
  admit(view: FleetWorkerView, filler: TaskRecord, nowMs: number): Admission | undefined;

  /** Decides which fillers on the worker change their pace or move away. */
  decide(view: FleetWorkerView, nowMs: number): InterferenceChanges;
}
