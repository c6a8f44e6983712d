/** Weights and limits of what is done against interference, from the settings. */

export interface InterferencePolicy {
  /** With it off nothing is learnt, throttled, evicted or kept apart for interference. */
  readonly isEnabled: boolean;
  /** How much slower batch work may make a service before it is throttled: 0.1 is a tenth. */
  readonly toleratedSlowdown: number;
  /** A throttle is taken back only while the slowdown stays below this without it. */
  readonly releaseSlowdown: number;
  /** A batch task is not placed where it would make a service slower than this. */
  readonly placementSlowdown: number;
  /**
   * By how many standard deviations what is known of a pair is lowered before anything is
   * throttled for it: more favours batch work, less the services.
   */
  readonly doubtDeviations: number;
  /** The least share of its processors that a throttled task keeps. */
  readonly minimumProcessorShare: number;
  /** How old the usage in a worker's report may be. */
  readonly usageLagMs: number;
  /** The least time between two steps against interference on one worker. */
  readonly settleMs: number;
  /** How much slower a service has to be, with all throttled that helps, for an eviction. */
  readonly evictionSlowdown: number;
  /** How long throttling has to have been in vain before a task is evicted. */
  readonly evictAfterMs: number;
  /** Evictions for interference that may be under way in a cell at a time. */
  readonly maximumEvictionsUnderWay: number;
  /** What a restart costs, as time of the task's processors; weighed with the progress lost. */
  readonly restartCostMs: number;
  /** The time in which what is known of a pair falls to a half when nothing confirms it. */
  readonly halfLifeMs: number;
}
