/** What the admission decides and what it is told, as typed messages. */
import type { Failure } from '../../services/errors/common/errorKinds.js';
import type { WaitingRequest } from './fairQueue.js';
import type { ServerRecord } from './serverRecords.js';

export const AdmissionKind = {
  Admitted: 'admitted',
  Queued: 'queued',
  Refused: 'refused',
} as const;
export type AdmissionKind = (typeof AdmissionKind)[keyof typeof AdmissionKind];

/** What becomes of a request at its arrival. */
export type AdmissionDecision<Waiting extends WaitingRequest> =
  | { readonly kind: 'admitted'; readonly server: ServerRecord<Waiting> }
  | { readonly kind: 'queued'; readonly displaced: Rejected<Waiting> | undefined }
  | { readonly kind: 'refused'; readonly failure: Failure };

/** A request that waited and may be sent now; its place has been taken. */
export interface Dispatched<Waiting extends WaitingRequest> {
  readonly waiting: Waiting;
  readonly server: ServerRecord<Waiting>;
}

/** A request that waited and is given up; it has to be answered at once. */
export interface Rejected<Waiting extends WaitingRequest> {
  readonly waiting: Waiting;
  readonly failure: Failure;
}

/** What an attempt says about its server. */
export const ServerVerdict = {
  /** An answer that is no server error. */
  Success: 'success',
  /** A server error, a refusal or no answer; its latency says nothing. */
  Failure: 'failure',
  /** Given up because another attempt was answered; slow for at least this latency. */
  Overtaken: 'overtaken',
  /** Given up because its caller hung up; its server may work on for a while. */
  Abandoned: 'abandoned',
  /** The place was not used. */
  Unused: 'unused',
} as const;
export type ServerVerdict = (typeof ServerVerdict)[keyof typeof ServerVerdict];

/** How a request that had a place ended, as far as choosing servers goes. */
export interface AttemptOutcome {
  readonly latencyMs: number;
  readonly verdict: ServerVerdict;
  readonly isServerLeaving: boolean;
}

/** Why a request under way is sent a second time. */
export const ExtraReason = { Hedge: 'hedge', Silence: 'silence' } as const;
export type ExtraReason = (typeof ExtraReason)[keyof typeof ExtraReason];
