import { execFile } from 'node:child_process';
import { mkdir, mkdtemp, rm, symlink, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

const RUNNER = resolve('tools/runTests.mjs');
const TESTS = `
import { expect, test } from 'vitest';
test('stands', () => expect(1).toBe(1));
test('falls', () => expect(1).toBe(2));
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
  it('fails for a failure that is not listed and names it', async () => {
    const { exitCode, output } = await runWith('# none\n');
    expect(exitCode).toBe(1);
    expect(output).toContain('failed: falls');
  });

  it('passes over just the listed failure and prints its line', async () => {
    const { exitCode, output } = await runWith('falls | off by one | issue 0\n');
    expect(exitCode).toBe(0);
    expect(output).toContain('known red: falls | off by one | issue 0');
  });

  it('says when a listed test passes now', async () => {
    const { output } = await runWith('falls | a | b\nstands | a | b\n');
    expect(output).toContain('listed as red but passes now: stands');
  });

  it('refuses more than three listed failures', async () => {
    expect((await runWith('a | x\nb | x\nc | x\nd | x\n')).exitCode).toBe(1);
  });
});
