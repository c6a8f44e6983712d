#!/usr/bin/env node
/** The daemon's command line: `snipethreadd --settings FILE`. */
import { collectGarbage } from './memoryFlags.js';

import { defineCommand } from 'citty';
import { isLeft } from 'fp-ts/lib/Either.js';

import { runProgram, WRONG_USE_EXIT_CODE } from '../../platform/commandLine/node/runProgram.js';
import { readSettingsFile } from '../../platform/settings/node/settingsFile.js';
import { Daemon } from './daemon.js';

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
      settings.left.forEach((fault) => process.stderr.write(`${fault.path}: ${fault.message}\n`));
      process.exit(WRONG_USE_EXIT_CODE);
    }
    const daemon = new Daemon(settings.right);
    const handleSignal = (): void => {
      void daemon.drain().then(() => process.exit(0));
    };
    process.on('SIGTERM', handleSignal);
    process.on('SIGINT', handleSignal);
    await daemon.start();
    collectGarbage();
  },
});

void runProgram(command, process.argv.slice(2));
