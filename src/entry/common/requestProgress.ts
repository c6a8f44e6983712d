/** Tracks the attempts at one request, and decides about retries and the final answer. */
import {
  ERROR_ANSWERS,
  ErrorKind,
  failure,
  type Failure,
  WorkOutcome,
} from '../../services/errors/common/errorKinds.js';
import { AttemptEnd } from './attempt.js';
import { type HangUpAction, hangUpAction } from './hangUp.js';

export interface ProgressOptions {
  readonly isIdempotent: boolean;
  readonly maximumAttemptCount: number;
  readonly deadlineAtMs: number;
}

/**
 * Tracks the fact that every answer depends on: whether the work may have run. Once an attempt was
 * sent and lost, the work counts as possibly run for the rest of the request. A later attempt that
 * is refused, or that finds no capacity, does not change that.
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

  /** Whether an attempt is running, or was sent and may have run. */
  get mayHaveRun(): boolean {
    return this.#mayHaveRun || this.#runningCount > 0;
  }

  /**
   * Begins an attempt. Returns false, and the attempt must not be made, when the work is not
   * idempotent and may already have run: the caller would be billed twice.
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

  /** Decides on a request whose caller hung up; the request is not retried after this. */
  noteHangUp(isSent: boolean): HangUpAction {
    this.#isAbandoned = true;
    const { isIdempotent } = this.#options;
    return hangUpAction({ isIdempotent, isAttemptRunning: this.#runningCount > 0, isSent });
  }

  /** Whether another attempt is allowed, apart from the retry budget. */
  mayRetry(nowMs: number): boolean {
    const { isIdempotent, maximumAttemptCount, deadlineAtMs } = this.#options;
    if (this.#isAbandoned) return false;
    if (this.#attemptCount >= maximumAttemptCount || nowMs >= deadlineAtMs) return false;
    return isIdempotent || !this.mayHaveRun;
  }

  /** The final answer after all attempts have failed. */
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

  /** Only the claim of the key and the counters read this failure: the caller is gone. */
  #abandonedFailure(): Failure {
    const workOutcome = this.mayHaveRun ? WorkOutcome.Unknown : WorkOutcome.NotRun;
    return { ...failure(ErrorKind.CallerLeft, 'the caller hung up'), workOutcome };
  }

  /** The failure to report: never "not run" when an earlier attempt may have run. */
  toReportedFailure(cause: Failure): Failure {
    const outcome = cause.workOutcome ?? ERROR_ANSWERS[cause.kind].workOutcome;
    if (!this.mayHaveRun || outcome !== WorkOutcome.NotRun) return cause;
    return { ...cause, workOutcome: WorkOutcome.Unknown };
  }
}
