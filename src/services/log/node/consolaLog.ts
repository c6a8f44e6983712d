/** Writes log lines through consola, as one JSON object a line or in a human-readable format. */
import { type ConsolaInstance, createConsola, LogLevels } from 'consola';

import type { Log, LogFields } from '../common/log.js';
import type { LogEvent } from '../common/logEvents.js';

export const LogFormat = { Json: 'json', Pretty: 'pretty' } as const;
export type LogFormat = (typeof LogFormat)[keyof typeof LogFormat];

/**
 * The level is set explicitly. By default consola takes it from the environment, and if `NODE_ENV`
 * is `test`, it drops the line that names the ports.
 */
const LEVEL = { level: LogLevels.info } as const;

/** Writes one line; the text includes the line break. */
export type WriteLine = (line: string) => void;

const toStandardOutput: WriteLine = (line) => {
  process.stdout.write(line);
};

const createJsonConsola = (writeLine: WriteLine): ConsolaInstance =>
  createConsola({
    ...LEVEL,
    reporters: [
      {
        log: (entry) => {
          const [event, fields] = entry.args as [string, LogFields];
          const line = { time: entry.date.toISOString(), level: entry.type, event, ...fields };
          writeLine(`${JSON.stringify(line)}\n`);
        },
      },
    ],
  });

export class ConsolaLog implements Log {
  readonly #consola: ConsolaInstance;

  readonly #context: LogFields;

  /** The context's fields are added to every line. */
  constructor(format: LogFormat, context: LogFields, writeLine = toStandardOutput) {
    const isJson = format === LogFormat.Json;
    this.#consola = isJson ? createJsonConsola(writeLine) : createConsola(LEVEL);
    this.#context = context;
  }

  info(event: LogEvent, fields: LogFields = {}): void {
    this.#consola.info(event, { ...this.#context, ...fields });
  }

  warn(event: LogEvent, fields: LogFields = {}): void {
    this.#consola.warn(event, { ...this.#context, ...fields });
  }

  error(event: LogEvent, fields: LogFields = {}): void {
    this.#consola.error(event, { ...this.#context, ...fields });
  }
}
