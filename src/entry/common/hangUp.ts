/** Decides on a request whose caller hung up before its answer. */

export const HangUpAction = {
  /** No attempt is running: the request leaves the queue and is never sent. */
  Dequeue: 'let-go',
  /** The running attempts are cancelled and their connections closed. */
  Abort: 'abort',
  /** The request was sent and must run to its end; it keeps its permit until then. */
  LetFinish: 'let-end',
} as const;
export type HangUpAction = (typeof HangUpAction)[keyof typeof HangUpAction];

export interface HangUpState {
  readonly isIdempotent: boolean;
  /** Whether an attempt is running. */
  readonly isAttemptRunning: boolean;
  /** Whether a byte of a running attempt may have been sent. */
  readonly isSent: boolean;
}

/**
 * Under saturation impatient callers hang up after a while and send the same request again. If
 * hang-ups were ignored, each would leave a request behind that holds a position in the queue, a
 * slot and a part of the retry budget for an answer that nobody reads. The more callers hung up,
 * the longer the others would wait, until they hung up too.
 *
 * Work that is not idempotent runs to its end once a byte of it may have been sent. If it were cut
 * short, its outcome could not be recorded under its key, and the caller's repeat would get the
 * outcome "unknown".
 */
export const hangUpAction = ({
  isIdempotent,
  isAttemptRunning,
  isSent,
}: HangUpState): HangUpAction => {
  if (!isAttemptRunning) return HangUpAction.Dequeue;
  return isIdempotent || !isSent ? HangUpAction.Abort : HangUpAction.LetFinish;
};
