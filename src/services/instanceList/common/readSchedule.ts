/** Decides at which intervals of the reader's timer the instance list is read. */
import type { InstanceListAnswer } from './instanceList.js';

export interface ReadSchedule {
  /** The number of consecutive full lists that were identical to the previous list. */
  readonly repeatCount: number;
  /** Whether the next interval is skipped. */
  readonly isSkipDue: boolean;
}

/**
 * The number of identical full lists after which every other read is skipped. Instances leave in
 * groups, when a rack is replaced or a release is rolled out, so reads continue at the full rate
 * for a while after a change.
 */
const QUIET_REPEAT_COUNT = 5;

export const initialReadSchedule = (): ReadSchedule => ({ repeatCount: 0, isSkipDue: false });

/** Advances the schedule by one interval and returns whether a read is due in it. */
export const nextInterval = (
  schedule: ReadSchedule,
): { readonly isDue: boolean; readonly schedule: ReadSchedule } => ({
  isDue: !schedule.isSkipDue,
  schedule: { ...schedule, isSkipDue: false },
});

/**
 * Returns the schedule after a successful read. The list of 860 workers is about 270 KB. A platform
 * that answers 304 is read at every interval, because such a read costs about a hundred bytes. A
 * platform that sends the full list is read at every other interval while nothing changes, and
 * never less often: with an interval of 1 s, a leaving instance is detected within 2 s after the
 * list shows it. A leaving instance may receive work for 3 s, so this leaves 1 s for the lag of the
 * list itself. A change or a failure restores the full rate immediately.
 */
export const scheduleAfterRead = (
  schedule: ReadSchedule,
  answer: InstanceListAnswer,
): ReadSchedule => {
  if (answer.isConditional || answer.instances !== undefined) return initialReadSchedule();
  const repeatCount = schedule.repeatCount + 1;
  return { repeatCount, isSkipDue: repeatCount >= QUIET_REPEAT_COUNT };
};
