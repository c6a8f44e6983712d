/** What becomes of a request whose caller hung up before its answer. */

export const HangUpStep = {
  /** Nothing is under way: it leaves its place in the queue and is never sent. */
  LetGo: 'let-go',
  /** What is under way is given up and its connection closed; the place is free at once. */
  Abort: 'abort',
  /** It was sent and must not be cut short: it ends by itself, keeps its place until then. */
  LetEnd: 'let-end',
} as const;
export type HangUpStep = (typeof HangUpStep)[keyof typeof HangUpStep];

export interface HangUpState {
  readonly isIdempotent: boolean;
  /** Whether an attempt is under way. */
  readonly isUnderWay: boolean;
  /** Whether a byte of an attempt under way may have left. */
  readonly isSent: boolean;
}

/**
 * Made for impatient callers under saturation: each hangs up after a while and sends the same
 * again. Without this every hang-up leaves a request behind that holds a place in the queue, a
 * slot and a part of the retry budget for an answer that nobody reads, so the more callers give
 * up, the longer the others wait, until they give up too.
 *
 * Work that is not idempotent is left to end once a byte of it may have left: cut short, its
 * outcome could not be recorded under its key, and the caller's repeat would be told "unknown".
 */
export const hangUpStep = ({ isIdempotent, isUnderWay, isSent }: HangUpState): HangUpStep => {
  if (!isUnderWay) return HangUpStep.LetGo;
  return isIdempotent || !isSent ? HangUpStep.Abort : HangUpStep.LetEnd;
};
