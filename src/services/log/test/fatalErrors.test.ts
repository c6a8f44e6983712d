import { execFile } from 'node:child_process';

import { describe, expect, it } from 'vitest';

const HANG_TIMEOUT_MS = 30_000;

const runScript = (
  script: string,
): Promise<{ readonly exitCode: number; readonly stderr: string }> =>
  new Promise((resolve) => {
    const program = `
      import { exitOnFatalError } from './src/services/log/node/fatalErrors.ts';
      exitOnFatalError('instance-1');
      ${script}`;
    const args = ['--import', 'tsx', '--input-type=module', '--eval', program];
    execFile(process.execPath, args, { timeout: HANG_TIMEOUT_MS }, (error, _, stderr) => {
      resolve({ exitCode: error === null ? 0 : Number(error.code), stderr });
    });
  });

describe('an exception that nothing handles', () => {
  it.each([
    ['uncaughtException', "setImmediate(() => { throw new TypeError('Invalid URL'); });"],
    ['unhandledRejection', "void Promise.reject(new TypeError('Invalid URL'));"],
  ])('ends the process after a line with its origin and stack: %s', async (origin, script) => {
    const { exitCode, stderr } = await runScript(script);
    expect(exitCode).toBe(1);
    expect(JSON.parse(stderr)).toMatchObject({
      ...{ level: 'error', event: 'process-failed', instance: 'instance-1' },
      ...{ origin, message: 'Invalid URL', stack: expect.stringContaining('at ') as string },
    });
  });
});
