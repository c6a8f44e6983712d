/** Starts child processes and runs the command-line tool. */
import { type ChildProcess, execFile, spawn } from 'node:child_process';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';

import type { Disposable } from '../../src/base/common/lifecycle.js';

const START_TIMEOUT_MS = 15_000;
const TOOL_TIMEOUT_MS = 40_000;

const scriptPath = (relative: string): string =>
  fileURLToPath(new URL(`../../${relative}`, import.meta.url));

export class ChildProcesses implements Disposable {
  readonly #children: ChildProcess[] = [];

  /** Starts a script. Resolves with the first result of `pick` on its output that is defined. */
  start<T>(
    script: string,
    args: readonly string[],
    pick: (line: Record<string, unknown>) => T | undefined,
  ): Promise<{ readonly child: ChildProcess; readonly ready: T }> {
    const child = spawn(process.execPath, [scriptPath(script), ...args], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    this.#children.push(child);
    return new Promise((resolve, reject) => {
      const timer = setTimeout(
        () => reject(new Error(`${script} did not start`)),
        START_TIMEOUT_MS,
      );
      child.once('exit', (code) => reject(new Error(`${script} ended with ${code}`)));
      createInterface({ input: child.stdout }).on('line', (line) => {
        const ready = pick(JSON.parse(line) as Record<string, unknown>);
        if (ready === undefined) return;
        clearTimeout(timer);
        resolve({ child, ready });
      });
    });
  }

  dispose(): void {
    this.#children.forEach((child) => child.kill('SIGKILL'));
  }
}

/** Runs a script with its own processes and folder. The exit code is 1 if it resolves to false. */
export const runScript = async (
  run: (children: ChildProcesses, folder: string) => Promise<boolean>,
): Promise<void> => {
  const children = new ChildProcesses();
  const folder = await mkdtemp(join(tmpdir(), 'snipethread-'));
  try {
    process.exitCode = (await run(children, folder)) ? 0 : 1;
  } finally {
    children.dispose();
    await rm(folder, { recursive: true, force: true });
  }
};

/** Runs `snipethread` in the same way as an operator. */
export const runTool = async (
  args: readonly string[],
  environment: Readonly<Record<string, string>>,
  input = '',
): Promise<{ readonly exitCode: number; readonly output: string }> => {
  const options = { env: { ...process.env, ...environment }, timeout: TOOL_TIMEOUT_MS };
  const command = [scriptPath('src/cli/node/snipethread.js'), ...args];
  const run = promisify(execFile)(process.execPath, command, options);
  run.child.stdin?.end(input);
  const ended = run.then((streams) => ({ ...streams, code: 0 }));
  const { code, stdout, stderr } = await ended.catch((error: Awaited<typeof ended>) => error);
  if (typeof code !== 'number') throw new Error(`snipethread ${args.join(' ')}: ${stderr}`);
  return { exitCode: code, output: `${stdout}${stderr}` };
};
