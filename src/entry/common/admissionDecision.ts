/** The decisions of admission, and the outcomes that are reported to it. */
import type { Failure } from '../../services/errors/common/errorKinds.js';
import type { WaitingRequest } from './fairQueue.js';
import type { ServerRecord } from './serverRecords.js';

export const AdmissionKind = {
  Admitted: 'admitted',
  Queued: 'queued',
  Refused: 'refused',
} as const;
export type AdmissionKind = (typeof AdmissionKind)[keyof typeof AdmissionKind];

/** The decision on a request at its arrival. */
export type AdmissionDecision<Waiting extends WaitingRequest> =
  | { readonly kind: 'admitted'; readonly server: ServerRecord<Waiting> }
  | { readonly kind: 'queued'; readonly displaced: Rejected<Waiting> | undefined }
  | { readonly kind: 'refused'; readonly failure: Failure };

/** A request that has waited and may be sent now; it holds a permit on the server. */
export interface Dispatched<Waiting extends WaitingRequest> {
  readonly waiting: Waiting;
  readonly server: ServerRecord<Waiting>;
}

/** A request that has waited and is rejected; it has to be answered at once. */
export interface Rejected<Waiting extends WaitingRequest> {
  readonly waiting: Waiting;
  readonly failure: Failure;
}

/** The conclusion from an attempt about its server. */
export const ServerVerdict = {
  /** The answer is not a server error. */
  Success: 'success',
  /** A server error, a refusal or no answer; the latency is not counted. */
  Failure: 'failure',
  /** Cancelled because another attempt was answered; the latency is a lower bound. */
  Overtaken: 'overtaken',
  /** Cancelled because the caller hung up; the server may go on working for a while. */
  Abandoned: 'abandoned',
  /** The permit was not used. */
  Unused: 'unused',
} as const;
export type ServerVerdict = (typeof ServerVerdict)[keyof typeof ServerVerdict];

/** The end of an attempt that held a permit, as far as the choice of servers depends on it. */
export interface AttemptOutcome {
  readonly latencyMs: number;
  readonly verdict: ServerVerdict;
  readonly isServerLeaving: boolean;
}

/** The reason for a second attempt at a running request. */
export const SecondAttemptReason = { Hedge: 'hedge', Silence: 'silence' } as const;
export type SecondAttemptReason = (typeof SecondAttemptReason)[keyof typeof SecondAttemptReason];
