#!/usr/bin/env node
/** The operators' command line: `snipethread COMMAND`. */
import { type CommandDef, defineCommand } from 'citty';

import { runProgram } from '../../platform/commandLine/node/runProgram.js';
import {
  type Connection,
  OBJECT_KINDS,
  runConfirm,
  runDescribe,
  runGet,
  runPlan,
  runSettingsCheck,
  runTrace,
  runWatch,
} from './commands.js';

const VERSION = '0.1.0';
const DEFAULT_WATCH_MS = '60000';

const connectionArgs = {
  address: {
    type: 'string',
    description: 'HOST:PORT of a daemon for operators, else $SNIPETHREAD_ADDRESS',
  },
  token: { type: 'string', description: 'operator token, else $SNIPETHREAD_TOKEN' },
  json: { type: 'boolean', description: 'print JSON for programs', default: false },
} as const;

const toConnection = (args: {
  readonly address?: string | undefined;
  readonly token?: string | undefined;
  readonly json: boolean;
}): Connection => ({
  address: args.address ?? process.env.SNIPETHREAD_ADDRESS ?? '127.0.0.1:7070',
  token: args.token ?? process.env.SNIPETHREAD_TOKEN ?? '',
  isJson: args.json,
});

const plan = defineCommand({
  meta: { name: 'plan', description: 'Show what an intent would change; exit code 3 if anything' },
  args: {
    ...connectionArgs,
    file: { type: 'string', alias: 'f', default: '-', description: 'intent, - for standard input' },
  },
  async run({ args }) {
    process.exitCode = await runPlan(toConnection(args), args.file);
  },
});

const confirm = defineCommand({
  meta: { name: 'confirm', description: 'Carry out a plan that was shown' },
  args: {
    ...connectionArgs,
    plan: { type: 'positional', required: true, description: 'id of the plan' },
    digest: { type: 'positional', required: true, description: 'digest of the plan' },
  },
  async run({ args }) {
    process.exitCode = await runConfirm(toConnection(args), args.plan, args.digest);
  },
});

const get = defineCommand({
  meta: { name: 'get', description: `List ${OBJECT_KINDS.join(', ')}` },
  args: { ...connectionArgs, kind: { type: 'positional', required: true } },
  async run({ args }) {
    process.exitCode = await runGet(toConnection(args), args.kind);
  },
});

const describe = defineCommand({
  meta: { name: 'describe', description: 'Show one job or plan' },
  args: {
    ...connectionArgs,
    kind: { type: 'positional', required: true, description: 'job or plan' },
    id: { type: 'positional', required: true },
  },
  async run({ args }) {
    const path = `/v1/${args.kind}s/${encodeURIComponent(args.id)}`;
    process.exitCode = await runDescribe(toConnection(args), path);
  },
});

const watch = defineCommand({
  meta: { name: 'watch', description: 'Follow a job until it is done' },
  args: {
    ...connectionArgs,
    job: { type: 'positional', required: true },
    'timeout-ms': { type: 'string', default: DEFAULT_WATCH_MS },
  },
  async run({ args }) {
    process.exitCode = await runWatch(toConnection(args), args.job, Number(args['timeout-ms']));
  },
});

const trace = defineCommand({
  meta: { name: 'trace', description: 'Show the spans of a recent trace as a tree' },
  args: { ...connectionArgs, id: { type: 'positional', required: true } },
  async run({ args }) {
    process.exitCode = await runTrace(toConnection(args), args.id);
  },
});

const settingsCheck = defineCommand({
  meta: { name: 'check', description: 'Check a settings file; exit code 2 if it has faults' },
  args: { json: connectionArgs.json, file: { type: 'positional', required: true } },
  async run({ args }) {
    process.exitCode = await runSettingsCheck(args.file, args.json);
  },
});

const settings = defineCommand({
  meta: { name: 'settings', description: 'Work with settings files' },
  subCommands: { check: settingsCheck },
});

const command: CommandDef = defineCommand({
  meta: {
    name: 'snipethread',
    version: VERSION,
    description:
      'State an intent, read the plan, confirm it. Exit codes: 0 done, 1 refused, 2 wrong use, 3 the plan has changes.',
  },
  subCommands: { plan, confirm, get, describe, watch, trace, settings },
});

void runProgram(command, process.argv.slice(2));
