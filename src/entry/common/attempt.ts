/** How an attempt at a backend server ended and what follows from it. */

export const AttemptEnd = {
  Answered: 'answered',
  /** Surely nothing ran: nothing was sent, or the server said so by the agreed header. */
  NotRun: 'not-run',
  /** Sent, and no whole answer came. */
  Lost: 'lost',
  /** Sent, and the deadline passed first. */
  TimedOut: 'timed-out',
} as const;
export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

export interface RetryQuestion {
  readonly end: AttemptEnd;
  readonly isIdempotent: boolean;
  readonly attemptCount: number;
  readonly maximumAttemptCount: number;
  readonly deadlineAtMs: number;
}

/**
 * Whether another attempt is allowed, apart from the retry budget. Work that may have run is
 * sent again only when that does no harm.
 */
export const mayRetry = (question: RetryQuestion, nowMs: number): boolean => {
  if (question.end === AttemptEnd.Answered || question.end === AttemptEnd.TimedOut) return false;
  if (question.attemptCount >= question.maximumAttemptCount) return false;
  if (nowMs >= question.deadlineAtMs) return false;
  return question.end === AttemptEnd.NotRun || question.isIdempotent;
};
