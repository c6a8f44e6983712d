/** How an attempt at a backend server ended. */

export const AttemptEnd = {
  Answered: 'answered',
  /** The work certainly did not run: nothing was sent, or the server said so by its header. */
  NotRun: 'not-run',
  /** The request was sent and no complete answer came. */
  Lost: 'lost',
  /** The request was sent and cancelled before its answer came. */
  TimedOut: 'timed-out',
} as const;
export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];
