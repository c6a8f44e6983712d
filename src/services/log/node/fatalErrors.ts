/** Logs an exception that nothing handles before it ends the process. */
import { writeSync } from 'node:fs';

import { ConsolaLog, LogFormat } from './consolaLog.js';

const STANDARD_ERROR = 2;
const FATAL_EXIT_CODE = 1;
const MAXIMUM_STACK_LENGTH = 4_000;

/**
 * Ends the process on an uncaught exception or an unhandled rejection, as Node.js does by default:
 * the state may be inconsistent. The line is written synchronously, so that nothing else runs.
 */
export const exitOnFatalError = (instance: string): void => {
  const log = new ConsolaLog(LogFormat.Json, { instance }, (line) => {
    // eslint-disable-next-line n/no-sync -- the process ends right after it
    writeSync(STANDARD_ERROR, line);
  });
  process.on('uncaughtException', (error: unknown, origin) => {
    const { message, stack = '' } = error instanceof Error ? error : new Error(String(error));
    log.error('process-failed', { origin, message, stack: stack.slice(0, MAXIMUM_STACK_LENGTH) });
    process.exit(FATAL_EXIT_CODE);
  });
};
