/** Structured log lines, written for changes of state only; anything frequent is a counter. */
export type LogFields = Readonly<Record<string, string | number | boolean>>;

export interface Log {
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
}

export const silentLog: Log = { info: () => {}, warn: () => {}, error: () => {} };
