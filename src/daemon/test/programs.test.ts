import { execFile, spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';

import { request } from 'undici';
import { afterAll, beforeAll, describe, expect, it } from 'vitest';

const HANG_TIMEOUT_MS = 30_000;
const DAEMON = 'src/daemon/node/snipethreadd.js';
const TOOL = 'src/cli/node/snipethread.js';
/** The discard port, on which nothing listens. It makes the platform unreachable. */
const UNREACHABLE_ORIGIN = 'http://127.0.0.1:9';

const listen = { host: '127.0.0.1' };
const validSettings = {
  $schema: './settings.schema.json',
  instanceId: 'entry-1',
  availabilityZone: 'zone-a',
  listen: { callers: listen, operators: listen, peers: listen },
  platform: {
    tableOrigin: UNREACHABLE_ORIGIN,
    objectStoreOrigin: UNREACHABLE_ORIGIN,
    instanceListOrigin: UNREACHABLE_ORIGIN,
  },
  entry: { drainDelayMs: 0 },
};
const faultySettings = {
  ...validSettings,
  colour: 'red',
  entry: { queueCapacity: -1 },
  scheduler: { workerLeaseMs: 'long' },
};

interface ProcessResult {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

const run = (
  script: string,
  args: readonly string[],
  nodeArgs: readonly string[] = [],
): Promise<ProcessResult> =>
  new Promise((resolve) => {
    const options = { timeout: HANG_TIMEOUT_MS };
    const allArgs = [...nodeArgs, `dist/${script}`, ...args];
    execFile(process.execPath, allArgs, options, (error, stdout, stderr) => {
      resolve({ exitCode: error === null ? 0 : Number(error.code), stdout, stderr });
    });
  });

/** A module that prints the size of the young generation when the process exits. */
const PRINT_NEW_SPACE = `data:text/javascript,${encodeURIComponent(`
import { getHeapSpaceStatistics } from 'node:v8';
const sizeOf = (name) => getHeapSpaceStatistics().find((space) => space.space_name === name);
process.on('exit', () => console.error('new space ' + sizeOf('new_space').space_size));
`)}`;
const LARGEST_NEW_SPACE_BYTES = 2 ** 21;

describe('the heap of the daemon', () => {
  // If the flags that limit the heap were set after the modules are loaded, the young generation
  // would stay at 8 MB, and an idle daemon would use more than 100 MB.
  it('is limited before the modules are loaded', async () => {
    const { stderr } = await run(DAEMON, ['--help'], ['--import', PRINT_NEW_SPACE]);
    const size = /new space (\d+)/u.exec(stderr)?.[1];
    expect(Number(size)).toBeLessThanOrEqual(LARGEST_NEW_SPACE_BYTES);
  });
});

interface LogLine {
  readonly event: string;
  readonly operatorsPort: number;
}

const listeningLine = async (output: NodeJS.ReadableStream): Promise<LogLine> =>
  new Promise((resolve) => {
    createInterface({ input: output }).on('line', (text) => {
      const line = JSON.parse(text) as LogLine;
      if (line.event === 'listening') resolve(line);
    });
  });

let folder = '';
const fileOf = (name: string): string => join(folder, name);

beforeAll(async () => {
  folder = await mkdtemp(join(tmpdir(), 'snipethread-programs-'));
  await writeFile(fileOf('valid.json'), JSON.stringify(validSettings));
  await writeFile(fileOf('faulty.json'), JSON.stringify(faultySettings));
});

afterAll(async () => {
  await rm(folder, { recursive: true });
});

describe('exit codes', () => {
  it('are 2 for snipethreadd with bad settings, with one line for each error', async () => {
    const result = await run(DAEMON, ['--settings', fileOf('faulty.json')]);
    expect(result.exitCode).toBe(2);
    expect(result.stdout).toBe('');
    const paths = result.stderr
      .trim()
      .split('\n')
      .map((line) => line.split(':')[0]);
    expect(paths.sort()).toEqual(['colour', 'entry.queueCapacity', 'scheduler.workerLeaseMs']);
  });

  it('are 2 for snipethread settings check with bad settings, and 0 with valid ones', async () => {
    const faulty = await run(TOOL, ['settings', 'check', fileOf('faulty.json')]);
    expect(faulty.exitCode).toBe(2);
    expect(faulty.stdout.trim().split('\n')).toHaveLength(3);
    const json = await run(TOOL, ['settings', 'check', '--json', fileOf('faulty.json')]);
    expect((JSON.parse(json.stdout) as { faults: unknown[] }).faults).toHaveLength(3);
    const valid = await run(TOOL, ['settings', 'check', fileOf('valid.json')]);
    expect(valid.exitCode).toBe(0);
  });

  // An error is printed as one line without a stack trace, regardless of its cause.
  it('are 2 for a settings file that is not JSON and 1 for an address in use', async () => {
    await writeFile(fileOf('broken.json'), '{\n  "instanceId": "a",\n  oops\n}\n');
    const broken = await run(DAEMON, ['--settings', fileOf('broken.json')]);
    expect([broken.exitCode, broken.stderr.trim().split('\n').length]).toEqual([2, 1]);
    expect(broken.stderr).toMatch(/^\(file\): is not JSON: /u);
    const server = createServer();
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    const { port } = server.address() as { port: number };
    const operators = { host: '127.0.0.1', port };
    const settings = { ...validSettings, listen: { ...validSettings.listen, operators } };
    await writeFile(fileOf('taken.json'), JSON.stringify(settings));
    const taken = await run(DAEMON, ['--settings', fileOf('taken.json')]);
    server.close();
    expect(taken.exitCode).toBe(1);
    expect(taken.stderr).toMatch(/^the daemon cannot listen: .*EADDRINUSE.*\n$/u);
  });

  it.each([
    ['an unknown command', TOOL, ['paint'], 2],
    ['a missing argument', TOOL, ['confirm'], 2],
    ['a missing settings argument', DAEMON, [], 2],
    ['a missing settings file', DAEMON, ['--settings', 'nowhere.json'], 2],
    ['an address without a listener', TOOL, ['get', 'services', '--address', '127.0.0.1:9'], 1],
    ['--version', TOOL, ['--version'], 0],
    ['--help', DAEMON, ['--help'], 0],
  ])('are as listed for %s', async (_name, script, args, exitCode) => {
    expect((await run(script, args)).exitCode).toBe(exitCode);
  });
});

describe('a daemon whose platform is unreachable', () => {
  it('is healthy but not ready, serves its metrics and exits with code 0 on SIGTERM', async () => {
    // The load balancer must send the daemon no requests, but the process supervisor must not kill
    // it: a restart would only lose the state that it has in memory.
    const daemon = spawn(process.execPath, [`dist/${DAEMON}`, '--settings', fileOf('valid.json')]);
    const { operatorsPort } = await listeningLine(daemon.stdout);
    const get = async (path: string) => {
      const { statusCode, body } = await request(`http://127.0.0.1:${operatorsPort}${path}`);
      return { statusCode, text: await body.text() };
    };
    expect((await get('/healthz')).statusCode).toBe(200);
    expect((await get('/readyz')).statusCode).toBe(503);
    expect((await get('/metrics')).text).toContain('# TYPE snipethread_');
    const hasEnded = once(daemon, 'exit');
    daemon.kill('SIGTERM');
    expect(await hasEnded).toEqual([0, null]);
  });
});
