/** Weights and limits of interference control, from the settings. */

export interface InterferencePolicy {
  /** When false, interference causes no learning, throttling, eviction or separate placement. */
  readonly isEnabled: boolean;
  /** Slowdown of a service above which batch work is throttled: 0.1 is a tenth slower. */
  readonly toleratedSlowdown: number;
  /** A throttle is released only if the predicted slowdown without it stays below this value. */
  readonly releaseSlowdown: number;
  /** A batch task is not placed where it would slow a service by more than this value. */
  readonly placementSlowdown: number;
  /**
   * The number of standard deviations by which the estimate of a pair is lowered before anything is
   * throttled for it. A higher value favours batch work, a lower one the services.
   */
  readonly doubtDeviations: number;
  /** The minimum share of its processors that a throttled task keeps. */
  readonly minimumProcessorShare: number;
  /** The maximum age of the usage in a worker's report. */
  readonly usageLagMs: number;
  /** The minimum time between two control actions on one worker. */
  readonly settleMs: number;
  /** Slowdown of a service, with throttling at its limit, above which a task is evicted. */
  readonly evictionSlowdown: number;
  /** How long throttling must have been insufficient before a task is evicted. */
  readonly evictAfterMs: number;
  /** Evictions for interference that may be pending in a cell at a time. */
  readonly maximumEvictionsUnderWay: number;
  /** The cost of a restart in time of the task's processors, added to the progress that is lost. */
  readonly restartCostMs: number;
  /** The time in which the estimate of a pair halves when no sample confirms it. */
  readonly halfLifeMs: number;
}
