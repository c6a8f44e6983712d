/** The state that `RequestDispatch` keeps of each active request. */
import type { Either } from 'fp-ts/lib/Either.js';

import type { Failure } from '../../services/errors/common/errorKinds.js';
import type { TraceSpan } from '../../services/tracing/common/tracing.js';
import type { SecondAttemptReason } from '../common/admissionDecision.js';
import type { CallerRequest, RequestOptions } from '../common/callerRequest.js';
import type { WaitingRequest } from '../common/fairQueue.js';
import type { HangUpSignal } from '../common/hangUpSignal.js';
import type { RequestProgress } from '../common/requestProgress.js';
import type { ServerRecord } from '../common/serverRecords.js';
import type { AttemptRun, BackendAnswer } from './attemptRun.js';

/** A request that has no final answer yet, with its deadline, its attempts and its trace. */
export interface ActiveRequest extends WaitingRequest {
  readonly request: CallerRequest;
  readonly options: RequestOptions;
  readonly progress: RequestProgress;
  readonly span: TraceSpan | undefined;
  readonly hangUp: HangUpSignal;
  waitingSinceMs: number;
  avoidedWorkerId: string | undefined;
  queueSpan: TraceSpan | undefined;
  readonly runningAttempts: RunningAttempt[];
  /** Runs when the request has its permit, before it is sent; an answer ends the request. */
  prepare: (() => Promise<Either<Failure, BackendAnswer | undefined>>) | undefined;
  /** Set while `prepare` runs; the server is undefined once the permit was released. */
  preparing:
    { readonly server: ServerRecord<ActiveRequest> | undefined; startedAtMs: number } | undefined;
  isDone: boolean;
  settle: (result: Either<Failure, BackendAnswer>) => void;
}

export interface RunningAttempt {
  readonly server: ServerRecord<ActiveRequest>;
  readonly run: AttemptRun;
  readonly startedAtMs: number;
  readonly secondAttemptReason: SecondAttemptReason | undefined;
  readonly span: TraceSpan | undefined;
  isOvertaken: boolean;
  isAbandoned: boolean;
}
