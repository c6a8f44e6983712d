/** A worker that enforces its own leases, and the calls that it accepts. */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import type { Failure } from '../../errors/common/errorKinds.js';
import type { Resources } from '../../worker/common/resources.js';

/** A worker's own entry in the table. */
export interface FleetWorkerEntry {
  readonly id: string;
  readonly address: string;
  readonly serviceName: string;
  readonly availabilityZone: string;
  readonly isDraining: boolean;
  /** The minimum time that a draining worker continues to run, from when it wrote the entry. */
  readonly remainingMs?: number;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly rack: string;
  /** The start time of the worker's process in Unix milliseconds; zero if not reported. */
  readonly incarnation: number;
}

/** How a run ended. */
export const RunEnd = {
  Done: 'done',
  Failed: 'failed',
  Stopped: 'stopped',
  /** The worker's lease expired. */
  Lapsed: 'lapsed',
  /** Another member of the gang ended. */
  Broken: 'broken',
  /** The other members of the gang did not start in time. */
  Alone: 'alone',
} as const;
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

export interface RunningTask {
  readonly taskName: string;
  readonly run: number;
  readonly checkpoint: string;
  readonly workedPercent: number;
  /**
   * A rough measurement over the last half second: the tail latency in milliseconds of a serving
   * task, or the processor use of any other task in thousandths of a processor.
   */
  readonly recentMeasurement: number;
}

export interface FinishedRun {
  /** The number of this end, counted from one for each incarnation of the worker. */
  readonly sequence: number;
  readonly taskName: string;
  readonly run: number;
  readonly end: RunEnd;
  readonly checkpoint: string;
}

export interface HoldAnswer {
  readonly workerClockMs: number;
  readonly incarnation: number;
  readonly running: readonly RunningTask[];
  readonly finished: readonly FinishedRun[];
  /** Whether `finished` is truncated; more ends follow when these are acknowledged. */
  readonly isFinishedTruncated: boolean;
  /** The call acknowledged ends up to this sequence number; 0 if it acknowledged none. */
  readonly acknowledgedSequence: number;
}

export interface HoldRequest {
  readonly workerId: string;
  readonly address: string;
  readonly fence: number;
  /**
   * Ends of the process `incarnation` up to this sequence number are recorded, and it may forget
   * them. Each process numbers its ends from one, so no other process may receive this number.
   */
  readonly acknowledgedSequence: number;
  readonly incarnation: number;
  /** The end of the lease for all runs of the worker, on its clock; absent to grant no lease. */
  readonly leaseEndWorkerMs?: number;
  /** How long the worker may wait for a run to end before it answers. */
  readonly waitMs: number;
}

/** Identifies one run of a task on one worker. */
export interface RunReference {
  readonly workerId: string;
  readonly address: string;
  readonly taskName: string;
  readonly run: number;
  readonly fence: number;
}

export interface StartRequest extends RunReference {
  readonly spec: string;
  /** The end of the lease that the start grants; the worker refuses the start after it. */
  readonly leaseEndWorkerMs: number;
  readonly checkpoint: string;
}

export const StartOutcome = {
  Started: 'started',
  /** The worker has seen a higher fencing token: another scheduler owns the fleet. */
  Fenced: 'fenced',
  /** This run or a later one has already been stopped or has ended on the worker. */
  Superseded: 'superseded',
  /** The start arrived after its lease had expired. */
  Late: 'late',
  NoRoom: 'no-room',
  /** The worker is unhealthy and has not acted on the request. */
  Refused: 'refused',
} as const;
export type StartOutcome = (typeof StartOutcome)[keyof typeof StartOutcome];

export const OrderOutcome = { Accepted: 'accepted', Fenced: 'fenced' } as const;
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

export type HoldOutcome =
  | { readonly kind: 'held'; readonly answer: HoldAnswer }
  | { readonly kind: 'fenced' }
  /** Another incarnation answers at the address. */
  | { readonly kind: 'other-incarnation' };

/**
 * The client of the workers. After a failure the order may have taken effect, or may still do so.
 */
export interface FleetClient {
  hold(request: HoldRequest): TaskEither<Failure, HoldOutcome>;
  start(request: StartRequest): TaskEither<Failure, StartOutcome>;
  stop(reference: RunReference): TaskEither<Failure, OrderOutcome>;
  /** Throttles a task to `percent` of its speed. */
  pace(reference: RunReference, percent: number): TaskEither<Failure, OrderOutcome>;
  /** Closes all connections, as workers accept few; calls that are under way fail. */
  disconnect(): void;
}
