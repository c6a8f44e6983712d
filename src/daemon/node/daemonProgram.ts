/** The command line of the daemon: `snipethreadd --settings FILE`. */
import { defineCommand } from 'citty';
import { isLeft } from 'fp-ts/lib/Either.js';

import { runProgram } from '../../services/commandLine/node/runProgram.js';
import { exitOnFatalError } from '../../services/log/node/fatalErrors.js';
import { SettingsError, StartError } from '../../services/errors/node/snipethreadError.js';
import { readSettingsFile } from '../../services/settings/node/settingsFile.js';
import { Daemon } from './daemon.js';
import { collectGarbage } from './memoryFlags.js';
import { YoungGeneration } from './youngGeneration.js';

const VERSION = '0.1.0';

const command = defineCommand({
  meta: {
    name: 'snipethreadd',
    version: VERSION,
    description:
      'Serves requests, schedules work and answers operators. Exit codes: 0 after a graceful shutdown, 1 on a fault, 2 for bad settings.',
  },
  args: {
    settings: { type: 'string', required: true, description: 'path of the JSON settings file' },
  },
  async run({ args }) {
    const settings = await readSettingsFile(args.settings);
    if (isLeft(settings)) {
      const lines = settings.left.map(({ path, message }) => `${path}: ${message}`);
      const error: Error = new SettingsError(lines.join('\n'));
      throw error;
    }
    exitOnFatalError(settings.right.instanceId);
    const daemon = new Daemon(settings.right);
    const youngGeneration = new YoungGeneration();
    const handleSignal = (): void => {
      youngGeneration.dispose();
      void daemon.drain().then(() => process.exit(0));
    };
    process.on('SIGTERM', handleSignal);
    process.on('SIGINT', handleSignal);
    await daemon.start().catch((cause: unknown) => {
      const error: Error = new StartError('the daemon cannot listen:', { cause });
      throw error;
    });
    collectGarbage();
  },
});

export const runDaemonProgram = (args: string[]): void => {
  void runProgram(command, args);
};
