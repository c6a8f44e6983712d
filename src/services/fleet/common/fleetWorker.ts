/** A worker that keeps its own leases, and the calls that it takes. */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import type { Failure } from '../../errors/common/errorKinds.js';
import type { Resources } from '../../worker/common/resources.js';

/** What a worker says of itself in the table. */
export interface FleetWorkerEntry {
  readonly id: string;
  readonly address: string;
  readonly serviceName: string;
  readonly availabilityZone: string;
  readonly isDraining: boolean;
  /** How much longer a worker that drained went on at the least, when it wrote this. */
  readonly remainingMs?: number;
  readonly capacity: Resources;
  readonly labels: readonly string[];
  readonly rack: string;
  /** The incarnation: when the process started, in Unix milliseconds; zero when not told. */
  readonly incarnation: number;
}

/** How a run ended. */
export const RunEnd = {
  Done: 'done',
  Failed: 'failed',
  Stopped: 'stopped',
  /** The worker's lease ran out. */
  Lapsed: 'lapsed',
  /** Another member of the gang ended. */
  Broken: 'broken',
  /** The other members of the gang did not come in time. */
  Alone: 'alone',
} as const;
export type RunEnd = (typeof RunEnd)[keyof typeof RunEnd];

export interface RunningTask {
  readonly taskName: string;
  readonly run: number;
  readonly checkpoint: string;
  readonly workedPercent: number;
  /**
   * Rough, over the last half second: the tail latency in milliseconds of a task that serves,
   * the thousandths of a processor in use of any other.
   */
  readonly recentFigure: number;
}

export interface FinishedRun {
  /** Counts the ends of one incarnation of the worker, from one. */
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
  /** The list of ends was cut: more follow once these are acknowledged. */
  readonly isFinishedCut: boolean;
}

export interface HoldRequest {
  readonly workerId: string;
  readonly address: string;
  readonly fence: number;
  /** Ends up to this sequence are recorded and may be forgotten. */
  readonly acknowledgedSequence: number;
  /** Until when, on the worker's clock, what runs there may run; absent to grant nothing. */
  readonly leaseEndWorkerMs?: number;
  /** How long the worker may wait for an end before it answers. */
  readonly waitMs: number;
}

/** Names one run of a task on one worker. */
export interface RunReference {
  readonly workerId: string;
  readonly address: string;
  readonly taskName: string;
  readonly run: number;
  readonly fence: number;
}

export interface StartRequest extends RunReference {
  readonly spec: string;
  /** The lease that the start carries; past it the worker refuses the start. */
  readonly leaseEndWorkerMs: number;
  readonly checkpoint: string;
}

export const StartOutcome = {
  Started: 'started',
  /** The worker has seen a higher fence: another scheduler is in charge. */
  Fenced: 'fenced',
  /** The run, or a later one, has been stopped or has ended there. */
  Superseded: 'superseded',
  /** The start came after its lease. */
  Late: 'late',
  NoRoom: 'no-room',
  /** The worker is unwell and has done nothing. */
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

/** A failure means that the order may have been carried out, or may yet be. */
export interface FleetClient {
  hold(request: HoldRequest): TaskEither<Failure, HoldOutcome>;
  start(request: StartRequest): TaskEither<Failure, StartOutcome>;
  stop(reference: RunReference): TaskEither<Failure, OrderOutcome>;
  /** Lets a task work at `percent` of its speed. */
  pace(reference: RunReference, percent: number): TaskEither<Failure, OrderOutcome>;
}
