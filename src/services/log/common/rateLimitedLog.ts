/** Limits the rate of log lines about requests; lines about state changes are always written. */
import type { Clock } from '../../../base/common/clock.js';
import type { Log, LogFields } from './log.js';
import { DECISION_EVENTS, type LogEvent } from './logEvents.js';

/**
 * A line with twenty runs takes 18 us of processor time (20,000 lines on an idle machine), so lines
 * at this rate take 0.3 % of a core. An owner of 45 workers wrote 32 lines a second on average over
 * a day.
 */
const MAXIMUM_LINES_PER_S = 150;
const WINDOW_MS = 1_000;

/**
 * Limits lines during bursts of refusals and restarts, in which logging would take processor time
 * from the work being logged. Dropped lines are counted and reported when the second is over.
 */
export class RateLimitedLog implements Log {
  readonly #log: Log;

  readonly #clock: Clock;

  #windowStartedAtMs = Number.NEGATIVE_INFINITY;

  #writtenCount = 0;

  #droppedCount = 0;

  constructor(log: Log, clock: Clock) {
    this.#log = log;
    this.#clock = clock;
  }

  info(event: LogEvent, fields: LogFields = {}): void {
    if (this.#admit(event)) this.#log.info(event, fields);
  }

  warn(event: LogEvent, fields: LogFields = {}): void {
    if (this.#admit(event)) this.#log.warn(event, fields);
  }

  error(event: LogEvent, fields: LogFields = {}): void {
    if (this.#admit(event)) this.#log.error(event, fields);
  }

  #admit(event: LogEvent): boolean {
    const nowMs = this.#clock.nowMs();
    if (nowMs - this.#windowStartedAtMs >= WINDOW_MS) this.#startWindow(nowMs);
    if (!DECISION_EVENTS.has(event)) return true;
    if (this.#writtenCount >= MAXIMUM_LINES_PER_S) {
      this.#droppedCount += 1;
      return false;
    }
    this.#writtenCount += 1;
    return true;
  }

  #startWindow(nowMs: number): void {
    const lines = this.#droppedCount;
    this.#windowStartedAtMs = nowMs;
    this.#writtenCount = 0;
    this.#droppedCount = 0;
    if (lines > 0) this.#log.warn('log-lines-left-out', { lines });
  }
}
