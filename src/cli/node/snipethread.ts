#!/usr/bin/env node
/** The command-line tool for operators: `snipethread COMMAND`. */
import { type CommandDef, defineCommand } from 'citty';

import { runProgram } from '../../services/commandLine/node/runProgram.js';
import {
  type Connection,
  runConfirm,
  runDescribe,
  runGet,
  runPlan,
  runSettingsCheck,
  runTrace,
  runWatch,
  GETTABLE_KINDS,
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

/** Flags for the members of an intent. */
const intentArgs = {
  name: { type: 'string', description: 'of a service' },
  team: { type: 'string', description: 'that owns the service, job or quota' },
  zone: { type: 'string', description: 'availability zone' },
  region: { type: 'string', description: 'of the availability zone' },
  worker: { type: 'string', description: 'id of a worker' },
  replicas: { type: 'string', description: 'tasks of a service' },
  processors: { type: 'string', description: 'of one task, or of a quota' },
  'memory-mib': { type: 'string', description: 'memory of one task, or of a quota, in MiB' },
  accelerators: { type: 'string', description: 'of one task, or of a quota' },
  urgency: { type: 'string', description: 'urgent, normal or low' },
  key: { type: 'string', description: 'submission key of a job' },
  tasks: { type: 'string', description: 'how many tasks a job has' },
  'work-ms': { type: 'string', description: 'how long one task runs' },
  jobs: { type: 'string', description: 'ids of jobs, with commas between' },
  policy: { type: 'string', description: 'NAME=VALUE, with commas between' },
} as const;

const plan = defineCommand({
  meta: { name: 'plan', description: 'Show what an intent would change; exit code 3 if anything' },
  args: {
    ...connectionArgs,
    ...intentArgs,
    intent: {
      type: 'positional',
      required: false,
      description: 'kind of intent, stated by the flags below; without it JSON is read',
    },
    file: { type: 'string', alias: 'f', default: '-', description: 'intent, - for standard input' },
    revert: { type: 'string', description: 'version whose change to undo' },
  },
  async run({ args }) {
    process.exitCode = await runPlan(toConnection(args), {
      kind: args.intent,
      flags: args,
      file: args.file,
      revertVersion: args.revert,
    });
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
  meta: { name: 'get', description: `List ${GETTABLE_KINDS.join(', ')}` },
  args: { ...connectionArgs, kind: { type: 'positional', required: true } },
  async run({ args }) {
    process.exitCode = await runGet(toConnection(args), args.kind);
  },
});

const history = defineCommand({
  meta: { name: 'history', description: 'Who changed what and when' },
  args: connectionArgs,
  async run({ args }) {
    process.exitCode = await runGet(toConnection(args), 'history');
  },
});

const describe = defineCommand({
  meta: { name: 'describe', description: 'Show one object with what belongs to it' },
  args: {
    ...connectionArgs,
    kind: { type: 'positional', required: true, description: 'service, job, worker, plan …' },
    id: { type: 'positional', required: false, description: 'of the object; policy has none' },
  },
  async run({ args }) {
    process.exitCode = await runDescribe(toConnection(args), args.kind, args.id);
  },
});

const watch = defineCommand({
  meta: { name: 'watch', description: 'Follow a job or a plan until it is done' },
  args: {
    ...connectionArgs,
    id: { type: 'positional', required: true, description: 'of a job or a plan' },
    'timeout-ms': { type: 'string', default: DEFAULT_WATCH_MS },
  },
  async run({ args }) {
    process.exitCode = await runWatch(toConnection(args), args.id, args['timeout-ms']);
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
  subCommands: { plan, confirm, get, describe, watch, history, trace, settings },
});

void runProgram(command, process.argv.slice(2));
