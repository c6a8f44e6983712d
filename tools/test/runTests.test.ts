import { execFile } from 'node:child_process';
import { mkdir, mkdtemp, rm, symlink, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

const RUNNER = resolve('tools/runTests.mjs');
const TESTS = `
import { expect, test } from 'vitest';
test('passes always', () => expect(1).toBe(1));
test('fails always', () => expect(1).toBe(2));
`;

let folder = '';

beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'snipethread-runner-'));
  await symlink(resolve('node_modules'), join(folder, 'node_modules'));
  await mkdir(join(folder, 'test'));
  await writeFile(join(folder, 'test', 'some.test.mjs'), TESTS);
});

afterEach(async () => {
  await rm(folder, { recursive: true });
});

const runWith = async (knownRed: string): Promise<{ exitCode: number; output: string }> => {
  await writeFile(join(folder, 'KNOWN-RED.txt'), knownRed);
  return new Promise((settle) => {
    const options = { cwd: folder, timeout: 50_000 };
    execFile(process.execPath, [RUNNER], options, (error, stdout, stderr) => {
      settle({ exitCode: error === null ? 0 : Number(error.code), output: stdout + stderr });
    });
  });
};

describe('the test runner', () => {
  it('fails on an unlisted failure and names the test', async () => {
    const { exitCode, output } = await runWith('# none\n');
    expect(exitCode).toBe(1);
    expect(output).toContain('failed: fails always');
  });

  it('ignores a listed failure and prints its line', async () => {
    const { exitCode, output } = await runWith('fails always | off by one | issue 0\n');
    expect(exitCode).toBe(0);
    expect(output).toContain('known red: fails always | off by one | issue 0');
  });

  it('reports a listed test that passes again', async () => {
    const { output } = await runWith('fails always | a | b\npasses always | a | b\n');
    expect(output).toContain('listed as red but passes now: passes always');
  });

  it('rejects a list of more than three failures', async () => {
    expect((await runWith('a | x\nb | x\nc | x\nd | x\n')).exitCode).toBe(1);
  });
});
