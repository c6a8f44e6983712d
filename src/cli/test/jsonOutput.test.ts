import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { afterAll, afterEach, beforeAll, beforeEach, describe, expect, it, vi } from 'vitest';

import { TestOperatorServer } from '../../operator/test/operatorServerHarness.js';
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
} from '../node/commands.js';

const server = new TestOperatorServer();
let connection: Connection;
let folder = '';
const fileOf = (name: string): string => join(folder, name);

beforeAll(async () => {
  await server.listen();
  connection = { address: server.address, token: 'ann-token', isJson: true };
  folder = await mkdtemp(join(tmpdir(), 'snipethread-json-'));
  const zone = { intent: 'withdraw-zone', zone: 'zone-a' };
  await writeFile(fileOf('withdraw.json'), JSON.stringify(zone));
  await writeFile(fileOf('bad.json'), JSON.stringify({ ...zone, zone: '../x' }));
  await writeFile(fileOf('broken.json'), '{');
});
afterAll(async () => {
  await server.close();
  await rm(folder, { recursive: true });
});

const output: { stdout: string; stderr: string } = { stdout: '', stderr: '' };
beforeEach(() => {
  Object.assign(output, { stdout: '', stderr: '' });
  (['stdout', 'stderr'] as const).forEach((name) => {
    vi.spyOn(process[name], 'write').mockImplementation((text) => {
      output[name] += String(text);
      return true;
    });
  });
});
afterEach(() => {
  vi.restoreAllMocks();
});

const source = (file: string) => ({ kind: undefined, flags: {}, file, revertVersion: undefined });

const planOf = (file: string) => runPlan(connection, source(fileOf(file)));

/** Parses the plan that a command printed. */
const printedPlan = (): { readonly planId: string; readonly digest: string } =>
  JSON.parse(output.stdout) as never;

/** Makes a plan and discards its output. */
const planWithoutOutput = async (): Promise<{
  readonly planId: string;
  readonly digest: string;
}> => {
  await planOf('withdraw.json');
  const plan = printedPlan();
  output.stdout = '';
  return plan;
};

const connectionAs = (token: string): Connection => ({ ...connection, token });

type Run = () => Promise<number>;
/** Title, command, exit code, and expected members of the JSON value that the command prints. */
type Case = readonly [string, Run, number, object];

const CASES: readonly Case[] = [
  ['plan', () => planOf('withdraw.json'), 3, { state: 'pending', steps: [{}] }],
  [
    'plan by flags without a change',
    () => {
      const flags = { zone: 'zone-a', region: 'r' };
      return runPlan(connection, { ...source('-'), kind: 'use-zone', flags });
    },
    0,
    { steps: [] },
  ],
  [
    'plan of an invalid intent',
    () => planOf('bad.json'),
    1,
    { error: 'bad-request', workOutcome: 'not-run' },
  ],
  ['plan of a file that is not JSON', () => planOf('broken.json'), 2, { error: 'bad-request' }],
  [
    'plan --revert of an unknown version',
    () => runPlan(connection, { ...source('-'), revertVersion: '99' }),
    1,
    { error: 'intent-impossible' },
  ],
  [
    'confirm of an unknown plan',
    () => runConfirm(connection, 'nothing', 'x'),
    1,
    { error: 'unknown-object', workOutcome: 'not-run' },
  ],
  [
    'confirm with a wrong digest',
    async () => runConfirm(connection, (await planWithoutOutput()).planId, 'x'),
    1,
    { error: 'plan-conflict', workOutcome: 'not-run' },
  ],
  [
    'confirm without the required role',
    async () => {
      const { planId, digest } = await planWithoutOutput();
      return runConfirm(connectionAs('pat-token'), planId, digest);
    },
    1,
    { error: 'forbidden', workOutcome: 'not-run' },
  ],
  ['get without a token', () => runGet(connectionAs(''), 'zones'), 1, { error: 'unauthorised' }],
  ...OBJECT_KINDS.map((kind): Case => [`get ${kind}`, () => runGet(connection, kind), 0, []]),
  ['get of an unknown kind', () => runGet(connection, 'paintings'), 2, { error: 'bad-request' }],
  ...(
    [
      ['service', 'rounds', { name: 'rounds', replicaCount: 6 }],
      ['zone', 'zone-a', { name: 'zone-a', state: 'in-use' }],
      ['worker', 'w1', { id: 'w1', tasks: [{ taskId: 'bakers.k/0' }] }],
      ['task', 'bakers.k/0', { workerId: 'w1' }],
      ['instance', 'w1', { kind: 'worker' }],
      ['job', 'bakers.k', { isEnded: false, taskCounts: { assigned: 1 } }],
      ['quota', 'diets', { team: 'diets' }],
    ] as const
  ).map(([kind, id, members]): Case => [
    `describe ${kind}`,
    () => runDescribe(connection, kind, id),
    0,
    members,
  ]),
  [
    'describe plan',
    async () => runDescribe(connection, 'plan', (await planWithoutOutput()).planId),
    0,
    { state: 'pending' },
  ],
  [
    'describe of an unknown object',
    () => runDescribe(connection, 'zone', 'x'),
    1,
    { error: 'unknown-object' },
  ],
  [
    'describe of an unknown kind',
    () => runDescribe(connection, 'x', 'x'),
    2,
    { error: 'bad-request' },
  ],
  ['trace', () => runTrace(connection, '4bf92f3577b34da6a3ce929d0e0e4736'), 0, []],
  ['get policy', () => runGet(connection, 'policy'), 0, { isSubmissionOpen: true }],
  [
    'describe policy',
    () => runDescribe(connection, 'policy', undefined),
    0,
    { isSubmissionOpen: true },
  ],
  // `history` can only be listed: no route returns a single version. The tool must reject the
  // command itself instead of sending a request that the daemon refuses.
  ['describe history', () => runDescribe(connection, 'history', '1'), 2, { error: 'bad-request' }],
  ['describe without an id', () => runDescribe(connection, 'zone', undefined), 2, {}],
  // Guards against sending `version: null` to the daemon and printing the daemon's error instead.
  [
    'plan --revert of text that is not a number',
    () => runPlan(connection, { ...source('-'), revertVersion: 'abc' }),
    2,
    { message: '--revert: abc is no whole number' },
  ],
  // citty sets `--no-jobs` to `false`. Guards against reporting that as an error in a file `-`.
  [
    'plan by a flag without a value',
    () => {
      const flags = { jobs: false as never };
      return runPlan(connection, { ...source('-'), kind: 'cancel-jobs', flags });
    },
    2,
    { message: '--jobs: a value is missing' },
  ],
  // Guards against a timeout of NaN, with which the tool never polls and reports that the job is
  // not done yet.
  [
    'watch with a timeout that is not a number',
    () => runWatch(connection, 'bakers.k', 'abc'),
    2,
    { message: '--timeout-ms: abc is no whole number' },
  ],
  [
    'watch of an unknown job',
    () => runWatch(connection, 'a.b', '1'),
    1,
    { error: 'unknown-object' },
  ],
  [
    'settings check',
    () => runSettingsCheck(fileOf('broken.json'), true),
    2,
    { faults: [{ path: '(file)' }] },
  ],
];

describe('the command-line tool with --json', () => {
  // Programs parse the output. A line of plain text that is printed only on a refusal or a usage
  // error breaks them only when that error occurs.
  it.each(CASES)('%s prints one JSON value and nothing else', async (_name, run, code, members) => {
    expect(await run()).toBe(code);
    expect(output.stderr).toBe('');
    expect(output.stdout.endsWith('\n')).toBe(true);
    expect(output.stdout.trimEnd().split('\n')).toHaveLength(1);
    const value: unknown = JSON.parse(output.stdout);
    if (Array.isArray(members)) expect(Array.isArray(value)).toBe(true);
    else expect(value).toMatchObject(members);
  });

  // A watch prints a line for each change and, at its timeout, a line with the error.
  it('prints a JSON value on each line of a watch', async () => {
    const { planId } = await planWithoutOutput();
    expect(await runWatch(connection, 'bakers.k', '1')).toBe(1);
    expect(await runWatch(connection, planId, '1')).toBe(1);
    const lines = output.stdout.trimEnd().split('\n');
    expect(output.stderr).toBe('');
    expect(lines.map((line) => JSON.parse(line) as object).slice(-2)).toMatchObject([
      { state: 'pending', isDone: false },
      { error: 'deadline-exceeded' },
    ]);
  });

  it('prints the plan on confirm and its author in the history', async () => {
    const { planId, digest } = await planWithoutOutput();
    expect(await runConfirm(connection, planId, digest)).toBe(0);
    expect(JSON.parse(output.stdout)).toMatchObject({ planId, state: 'confirmed' });
    output.stdout = '';
    expect(await runGet(connection, 'history')).toBe(0);
    expect((JSON.parse(output.stdout) as unknown[]).at(-1)).toMatchObject({
      planId,
      author: 'ann',
      summary: 'withdraw availability zone zone-a',
    });
  });
});
