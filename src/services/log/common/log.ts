/** Structured log lines for state changes and decisions; frequent events are counters instead. */
import type { LogEvent } from './logEvents.js';

export type LogFields = Readonly<Record<string, string | number | boolean>>;

export interface Log {
  info(event: LogEvent, fields?: LogFields): void;
  warn(event: LogEvent, fields?: LogFields): void;
  error(event: LogEvent, fields?: LogFields): void;
}

export const silentLog: Log = { info: () => {}, warn: () => {}, error: () => {} };
