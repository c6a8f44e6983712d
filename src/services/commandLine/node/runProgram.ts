/** Runs a program's command line and maps errors to the documented exit codes. */
import { type ArgsDef, type CommandDef, runCommand, runMain } from 'citty';

import { BaseError, SettingsError, UnknownError } from '../../errors/node/snipethreadError.js';

export const FAILURE_EXIT_CODE = 1;
export const USAGE_ERROR_EXIT_CODE = 2;

const HELP_FLAGS: readonly string[] = ['--help', '-h'];
const VERSION_FLAGS: readonly string[] = ['--version', '-v'];
const USAGE_ERROR_NAME = 'CLIError';

const isUsageError = (error: unknown): error is Error =>
  error instanceof Error && error.name === USAGE_ERROR_NAME;

/**
 * Runs a command. citty exits with 1 on wrong usage; this function exits with 2, so that an
 * operator's script can distinguish wrong usage from a refusal.
 */
export const runProgram = async <Args extends ArgsDef>(
  command: CommandDef<Args>,
  args: readonly string[],
): Promise<void> => {
  const [first = ''] = args;
  const isHelp = args.some((arg) => HELP_FLAGS.includes(arg));
  if (isHelp || (args.length === 1 && VERSION_FLAGS.includes(first))) {
    await runMain(command, { rawArgs: [...args] });
    return;
  }
  try {
    await runCommand(command, { rawArgs: [...args] });
  } catch (thrown) {
    if (isUsageError(thrown)) {
      process.stderr.write(`${thrown.message}; --help tells the use\n`);
      process.exit(USAGE_ERROR_EXIT_CODE);
    }
    const error = BaseError.normalize(thrown, UnknownError);
    process.stderr.write(`${error.message}\n`);
    process.exit(error instanceof SettingsError ? USAGE_ERROR_EXIT_CODE : FAILURE_EXIT_CODE);
  }
};
