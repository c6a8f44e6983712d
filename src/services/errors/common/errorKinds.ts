/**
 * The complete list of error kinds and the table that maps each kind to its answer. Every refusal
 * or failure that a caller or an operator can see has one of these kinds.
 */

/** Whether the work behind a failed request ran. */
export const WorkOutcome = { NotRun: 'not-run', Ran: 'ran', Unknown: 'unknown' } as const;
export type WorkOutcome = (typeof WorkOutcome)[keyof typeof WorkOutcome];

export const ErrorKind = {
  BadRequest: 'bad-request',
  BodyTooLarge: 'body-too-large',
  UnknownService: 'unknown-service',
  UnknownObject: 'unknown-object',
  Unauthorised: 'unauthorised',
  Forbidden: 'forbidden',
  NoServer: 'no-server',
  Saturated: 'saturated',
  DeadlineExceeded: 'deadline-exceeded',
  DeadlineExceededAfterSend: 'deadline-exceeded-after-send',
  ServerRefused: 'server-refused',
  AnswerLost: 'answer-lost',
  AlreadyClaimed: 'already-claimed',
  CallerLeft: 'caller-left',
  ShuttingDown: 'shutting-down',
  StoreUnavailable: 'store-unavailable',
  StoreAnswerLost: 'store-answer-lost',
  WorkerUnavailable: 'worker-unavailable',
  PlanStale: 'plan-stale',
  PlanExpired: 'plan-expired',
  PlanConflict: 'plan-conflict',
  IntentImpossible: 'intent-impossible',
  ConfigurationUnknown: 'configuration-unknown',
  /** Reported by the command line tool: no daemon accepted the call. */
  DaemonUnreachable: 'daemon-unreachable',
  /** Reported by the command line tool: a daemon may have run the call, but its answer was lost. */
  DaemonAnswerLost: 'daemon-answer-lost',
  Internal: 'internal',
} as const;
export type ErrorKind = (typeof ErrorKind)[keyof typeof ErrorKind];

/** The answer to a request that failed with an error kind. */
export interface ErrorAnswer {
  readonly statusCode: number;
  readonly workOutcome: WorkOutcome;
  /** Whether a retry of the same request can succeed. */
  readonly isWorthRetrying: boolean;
  /** The retry delay before jitter; zero if a retry is pointless. */
  readonly retryAfterMs: number;
}

const finalAnswer = (statusCode: number, workOutcome: WorkOutcome): ErrorAnswer => ({
  statusCode,
  workOutcome,
  isWorthRetrying: false,
  retryAfterMs: 0,
});

const retryAnswer = (
  statusCode: number,
  workOutcome: WorkOutcome,
  retryAfterMs: number,
): ErrorAnswer => ({ statusCode, workOutcome, isWorthRetrying: true, retryAfterMs });

/** The answer for each kind. `not-run` is used only where nothing can have been sent. */
export const ERROR_ANSWERS: Readonly<Record<ErrorKind, ErrorAnswer>> = {
  [ErrorKind.BadRequest]: finalAnswer(400, WorkOutcome.NotRun),
  [ErrorKind.BodyTooLarge]: finalAnswer(413, WorkOutcome.NotRun),
  [ErrorKind.UnknownService]: finalAnswer(404, WorkOutcome.NotRun),
  [ErrorKind.UnknownObject]: finalAnswer(404, WorkOutcome.NotRun),
  [ErrorKind.Unauthorised]: finalAnswer(401, WorkOutcome.NotRun),
  [ErrorKind.Forbidden]: finalAnswer(403, WorkOutcome.NotRun),
  [ErrorKind.NoServer]: retryAnswer(503, WorkOutcome.NotRun, 1_000),
  [ErrorKind.Saturated]: retryAnswer(503, WorkOutcome.NotRun, 1_000),
  [ErrorKind.DeadlineExceeded]: retryAnswer(504, WorkOutcome.NotRun, 1_000),
  [ErrorKind.DeadlineExceededAfterSend]: retryAnswer(504, WorkOutcome.Unknown, 1_000),
  [ErrorKind.ServerRefused]: retryAnswer(503, WorkOutcome.NotRun, 1_000),
  [ErrorKind.AnswerLost]: retryAnswer(502, WorkOutcome.Unknown, 1_000),
  [ErrorKind.AlreadyClaimed]: finalAnswer(409, WorkOutcome.Unknown),
  [ErrorKind.CallerLeft]: finalAnswer(499, WorkOutcome.Unknown),
  [ErrorKind.ShuttingDown]: retryAnswer(503, WorkOutcome.NotRun, 500),
  [ErrorKind.StoreUnavailable]: retryAnswer(503, WorkOutcome.NotRun, 2_000),
  [ErrorKind.StoreAnswerLost]: retryAnswer(503, WorkOutcome.Unknown, 2_000),
  [ErrorKind.WorkerUnavailable]: retryAnswer(503, WorkOutcome.Unknown, 1_000),
  [ErrorKind.PlanStale]: finalAnswer(409, WorkOutcome.NotRun),
  [ErrorKind.PlanExpired]: finalAnswer(410, WorkOutcome.NotRun),
  [ErrorKind.PlanConflict]: finalAnswer(409, WorkOutcome.NotRun),
  [ErrorKind.IntentImpossible]: finalAnswer(422, WorkOutcome.NotRun),
  [ErrorKind.ConfigurationUnknown]: retryAnswer(503, WorkOutcome.NotRun, 1_000),
  [ErrorKind.DaemonUnreachable]: retryAnswer(503, WorkOutcome.NotRun, 1_000),
  [ErrorKind.DaemonAnswerLost]: retryAnswer(502, WorkOutcome.Unknown, 1_000),
  [ErrorKind.Internal]: finalAnswer(500, WorkOutcome.Unknown),
};

/** A failure inside the program, as the left side of an `Either`. */
export interface Failure {
  readonly kind: ErrorKind;
  /** One human-readable sentence. */
  readonly message: string;
  /** Overrides the outcome from `ERROR_ANSWERS` where more is known; `not-run` must be certain. */
  readonly workOutcome?: WorkOutcome;
  /** Overrides the retry delay from `ERROR_ANSWERS`. */
  readonly retryAfterMs?: number;
}

export const failure = (kind: ErrorKind, message: string): Failure => ({ kind, message });

/** The JSON body of every error answer. */
export interface ErrorBody {
  readonly error: ErrorKind;
  readonly message: string;
  readonly workOutcome: WorkOutcome;
  readonly isWorthRetrying: boolean;
  readonly retryAfterMs: number;
}

export const errorBody = (cause: Failure): ErrorBody => {
  const answer = ERROR_ANSWERS[cause.kind];
  return {
    error: cause.kind,
    message: cause.message,
    workOutcome: cause.workOutcome ?? answer.workOutcome,
    isWorthRetrying: answer.isWorthRetrying,
    retryAfterMs: cause.retryAfterMs ?? answer.retryAfterMs,
  };
};
