/** What has been tried for one request, and what may be tried or said next. */
import {
  ERROR_ANSWERS,
  ErrorKind,
  failure,
  type Failure,
  WorkOutcome,
} from '../../services/errors/common/errorKinds.js';
import { AttemptEnd } from './attempt.js';
import { type HangUpStep, hangUpStep } from './hangUp.js';

export interface ProgressOptions {
  readonly isIdempotent: boolean;
  readonly maximumAttemptCount: number;
  readonly deadlineAtMs: number;
}

/**
 * Keeps the one fact that every answer depends on: whether the work may have run. An attempt
 * that was sent and lost makes it so for good; that a later attempt was refused, or found no
 * room, changes nothing about the first.
 */
export class RequestProgress {
  readonly #options: ProgressOptions;

  #attemptCount = 0;

  #runningCount = 0;

  #mayHaveRun = false;

  #isAbandoned = false;

  #lastEnd: AttemptEnd = AttemptEnd.NotRun;

  constructor(options: ProgressOptions) {
    this.#options = options;
  }

  get attemptCount(): number {
    return this.#attemptCount;
  }

  /** Whether an attempt is under way or was sent without a known outcome. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun || this.#runningCount > 0;
  }

  /**
   * Begins an attempt. False, and the attempt must not be made, when work that is not
   * idempotent may have run already: the caller would be billed twice.
   */
  tryStart(): boolean {
    if (!this.#options.isIdempotent && this.mayHaveRun) return false;
    this.#attemptCount += 1;
    this.#runningCount += 1;
    return true;
  }

  noteEnd(end: AttemptEnd): void {
    this.#runningCount -= 1;
    this.#lastEnd = end;
    if (end !== AttemptEnd.NotRun) this.#mayHaveRun = true;
  }

  /** Decides on a request whose caller hung up; from then on it is not tried again. */
  noteHangUp(isSent: boolean): HangUpStep {
    this.#isAbandoned = true;
    const { isIdempotent } = this.#options;
    return hangUpStep({ isIdempotent, isUnderWay: this.#runningCount > 0, isSent });
  }

  /** Whether another attempt is allowed, apart from the retry budget. */
  mayRetry(nowMs: number): boolean {
    const { isIdempotent, maximumAttemptCount, deadlineAtMs } = this.#options;
    if (this.#isAbandoned) return false;
    if (this.#attemptCount >= maximumAttemptCount || nowMs >= deadlineAtMs) return false;
    return isIdempotent || !this.mayHaveRun;
  }

  /** The final answer when the attempts have come to nothing. */
  finalFailure(nowMs: number): Failure {
    if (this.#isAbandoned) return this.#abandonedFailure();
    const isPastDeadline = nowMs >= this.#options.deadlineAtMs;
    if (this.mayHaveRun) {
      return isPastDeadline
        ? failure(ErrorKind.DeadlineExceededAfterSend, 'no answer before the deadline')
        : failure(ErrorKind.AnswerLost, 'the connection ended before the whole answer');
    }
    if (isPastDeadline)
      return failure(ErrorKind.DeadlineExceeded, 'nothing was sent before the deadline');
    const isRefusal = this.#lastEnd === AttemptEnd.NotRun;
    return isRefusal
      ? failure(ErrorKind.ServerRefused, 'the backend server did not take the request')
      : failure(ErrorKind.Internal, 'the request was given up');
  }

  /** Read by nobody but the claim of its key and the counters: the caller is gone. */
  #abandonedFailure(): Failure {
    const workOutcome = this.mayHaveRun ? WorkOutcome.Unknown : WorkOutcome.NotRun;
    return { ...failure(ErrorKind.CallerLeft, 'the caller hung up'), workOutcome };
  }

  /** A refusal as it may be told: never as not run when an earlier attempt may have run. */
  toReportedFailure(cause: Failure): Failure {
    const outcome = cause.workOutcome ?? ERROR_ANSWERS[cause.kind].workOutcome;
    if (!this.mayHaveRun || outcome !== WorkOutcome.NotRun) return cause;
    return { ...cause, workOutcome: WorkOutcome.Unknown };
  }
}
