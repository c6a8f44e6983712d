/**
 * Decides whether a run is over, so that its room is free and its task may start elsewhere. An
 * unreachable worker proves nothing, even if several ways to it fail at once. A network partition
 * between availability zones refuses connections and lets the worker's table entry expire, while
 * the worker continues to run under its leases.
 */
import type { FleetWorkerView } from './fleetWorkerView.js';
import { RunState, type TaskRun } from './taskRecords.js';

export const EvidenceKind = {
  /** No start has been sent. */
  NotSent: 'not-sent',
  /** The only start of the run was refused, or the call was certainly never sent. */
  Refused: 'refused',
  /** The worker lists the end of the run. */
  EndListed: 'end-listed',
  /** The worker lists neither the run nor its end. */
  Unlisted: 'unlisted',
  /** A new process answers for the worker. */
  AnotherProcess: 'another-process',
  /** All leases of the worker have ended without an answer from it. */
  LeasesOver: 'leases-over',
} as const;
export type EvidenceKind = (typeof EvidenceKind)[keyof typeof EvidenceKind];

export type RunEvidence =
  | { readonly kind: Exclude<EvidenceKind, typeof EvidenceKind.Unlisted> }
  | { readonly kind: typeof EvidenceKind.Unlisted; readonly requestedAtMs: number };

/** Evidence that holds for all runs of a worker. */
export interface WorkerEvidence {
  readonly kind: typeof EvidenceKind.AnotherProcess | typeof EvidenceKind.LeasesOver;
}

/**
 * Whether the list would contain the run if it were not over. This holds if the answer to its
 * start, or to the stop that bars it, came before the list was requested.
 */
const wouldBeListed = (
  { state, isStopConfirmed, settledAtMs }: TaskRun,
  requestedAtMs: number,
): boolean => (state === RunState.Running || isStopConfirmed) && settledAtMs <= requestedAtMs;

export const isRunOver = (
  run: TaskRun,
  view: FleetWorkerView,
  evidence: RunEvidence,
  nowMs: number,
): boolean => {
  switch (evidence.kind) {
    case EvidenceKind.NotSent:
      return run.state === RunState.Assigned;
    case EvidenceKind.Refused:
    case EvidenceKind.EndListed:
      return true;
    case EvidenceKind.Unlisted:
      return wouldBeListed(run, evidence.requestedAtMs);
    case EvidenceKind.AnotherProcess:
      return view.isNewProcess;
    default:
      return nowMs >= view.leasesOverAtMs;
  }
};
