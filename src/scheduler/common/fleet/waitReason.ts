/** What tasks that are due wait for. */

/** Why a task that is due was not placed in a round. */
export const WaitReason = {
  /** No usable worker has enough free capacity. */
  NoRoom: 'no-room',
  /** The round reached its limit of starts before the task's turn. */
  StartLimit: 'start-limit',
  /** The round reached its limit of rated workers before the task's turn. */
  RatingLimit: 'rating-limit',
} as const;
export type WaitReason = (typeof WaitReason)[keyof typeof WaitReason];

export type WaitCounts = ReadonlyMap<WaitReason, number>;

/** What a submission waits for. */
export const DelayCause = {
  ...WaitReason,
  /** The next round, which places its tasks. */
  NextRound: 'next-round',
  /** The owner may not start tasks, for lack of the table or of the callers' changes. */
  StartsPaused: 'starts-paused',
  /** The delay after a failed run or a refused start. */
  Retry: 'retry',
} as const;
export type DelayCause = (typeof DelayCause)[keyof typeof DelayCause];
