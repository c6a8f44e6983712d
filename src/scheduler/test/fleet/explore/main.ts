/** `npm run explore -- --seed S --steps N [--faults NAME,...]`: explores the fleet's schedulers. */
import { type ArgsDef, defineCommand } from 'citty';

import { runProgram } from '../../../../services/commandLine/node/runProgram.js';
import { SettingsError } from '../../../../services/errors/node/snipethreadError.js';
import { explore, replayOf } from './explorer.js';
import { FAULT_NAMES, isFaultName } from './faults.js';

const LARGEST_NUMBER = 0x7fffffff;

const ARGUMENTS = {
  seed: { type: 'string', required: true, description: 'of the first run' },
  steps: { type: 'string', required: true, description: 'how many steps to play' },
  faults: { type: 'string', default: FAULT_NAMES.join(','), description: 'names with commas' },
} as const satisfies ArgsDef;

const settingsError = (message: string): Error => new SettingsError(message);

const wholeNumber = (text: string, name: string, minimum: number): number => {
  const value = Number(text);
  const isWhole = /^\d+$/.test(text) && value >= minimum && value <= LARGEST_NUMBER;
  if (isWhole) return value;
  throw settingsError(`--${name} takes a whole number from ${minimum} to ${LARGEST_NUMBER}`);
};

const main = defineCommand({
  meta: { name: 'explore', description: "Explores the fleet's schedulers in virtual time" },
  args: ARGUMENTS,
  run: async ({ args }) => {
    const unknown = Object.keys(args).find(
      (name) => name !== '_' && !Object.hasOwn(ARGUMENTS, name),
    );
    if (unknown !== undefined || args._.length > 0) {
      throw settingsError(`unknown argument: ${unknown ?? args._[0]}`);
    }
    const seed = wholeNumber(args.seed, 'seed', 0);
    const stepCount = wholeNumber(args.steps, 'steps', 1);
    const names = args.faults.split(',');
    const faults = names.filter(isFaultName);
    if (faults.length < names.length) {
      throw settingsError(`--faults takes names of ${FAULT_NAMES.join(', ')}`);
    }
    const { orderCount, finding } = await explore({ seed, stepCount, faults });
    if (finding !== undefined) {
      process.stdout.write(`${replayOf(finding)}\n`);
      process.exitCode = 1;
      return;
    }
    const line = { ok: true, seed, steps: stepCount, orders: orderCount };
    process.stdout.write(`${JSON.stringify(line)}\n`);
  },
});

await runProgram(main, process.argv.slice(2));
