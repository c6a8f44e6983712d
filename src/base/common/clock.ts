/** Time as an argument: deciding code receives `nowMs`, only outer code reads a clock. */

/** A monotonic clock. Its instants mean nothing in another process. */
export interface Clock {
  nowMs(): number;
}
