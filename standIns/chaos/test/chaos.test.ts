import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

import { describe, expect, it } from 'vitest';

const TIMEOUT_MS = 180_000;

describe('the whole system under faults', () => {
  // Processes are killed, paused and shut down, connections between them become permanently silent,
  // the table fails, and a zone is withdrawn and returned to use while callers and jobs load the
  // system. The verdict relies only on the records of the stand-ins. The timeout only limits a hang.
  it(
    'violates no invariant in a short run (seed 1)',
    async () => {
      const args = ['dist/standIns/chaos/chaos.js', '--seed', '1', '--minutes', '0.2'];
      // With the environment variables of the test runner, the daemons would log nothing.
      const options = { timeout: TIMEOUT_MS, env: { PATH: process.env.PATH } };
      const run = promisify(execFile)(process.execPath, args, options);
      // A run with findings exits with code 1 and prints them in its last line.
      const { stdout } = await run.catch((error: { readonly stdout: string }) => error);
      const lines = stdout.trim().split('\n');
      const records = lines.map((line) => JSON.parse(line) as { silencedConnections?: number });
      expect(records.some(({ silencedConnections = 0 }) => silencedConnections > 0)).toBe(true);
      expect(records.at(-1)).toMatchObject({ ok: true, findings: [] });
    },
    TIMEOUT_MS,
  );
});
