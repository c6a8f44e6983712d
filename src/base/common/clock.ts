/** The clock interface. Decision code takes `nowMs` as an argument and never reads a clock. */

/** A monotonic clock. Its values are not comparable with those of another process. */
export interface Clock {
  nowMs(): number;
}
