/** How an attempt at a backend server ended. */

export const AttemptEnd = {
  Answered: 'answered',
  /** Surely nothing ran: nothing was sent, or the server said so by the agreed header. */
  NotRun: 'not-run',
  /** Sent, and no whole answer came. */
  Lost: 'lost',
  /** Sent, and given up before the answer came. */
  TimedOut: 'timed-out',
} as const;
export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];
