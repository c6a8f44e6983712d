/** How often the operators' changes are asked for, and how old an answer may be that goes by them. */

/** Both a waiting call and the time for its answer may take this share of the bound. */
const CALL_SHARE = 0.25;
/** The rest of the bound covers clocks that are slow. */
const AGE_SHARE = 0.9;

/** The greatest age of a state that is used where its changes must be in force within a bound. */
export const usableAgeMs = (boundMs: number): number => Math.floor(boundMs * AGE_SHARE);

export interface OperatorTiming {
  /** How long the store may delay its answer while nothing changes. */
  readonly waitMs: number;
  /** How long a call may take, from its sending to its whole answer. */
  readonly callTimeoutMs: number;
  /** Requests are not answered by a configuration that was last confirmed longer ago. */
  readonly maximumAgeMs: number;
}

/**
 * The timing for a bound within which a stored change must be in force. A state is confirmed by the
 * sending of an answered call. If the next call gets no answer, the one after it is answered before
 * the state is too old, unless the process is late by more than a seventh of the bound.
 */
export const operatorTiming = (configurationBoundMs: number): OperatorTiming => ({
  waitMs: Math.floor(configurationBoundMs * CALL_SHARE),
  callTimeoutMs: Math.floor(configurationBoundMs * 2 * CALL_SHARE),
  maximumAgeMs: usableAgeMs(configurationBoundMs),
});
