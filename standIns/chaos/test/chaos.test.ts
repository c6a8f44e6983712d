import { execFile } from 'node:child_process';
import { promisify } from 'node:util';

import { describe, expect, it } from 'vitest';

const TIMEOUT_MS = 180_000;

describe('the whole system under faults', () => {
  // Processes are killed, paused and shut down, connections between them go silent for good, the
  // table fails and a zone goes out and back while callers and jobs load the system. The verdict
  // comes from the stand-ins' records alone; the time limit only bounds a hang.
  it(
    'harms nobody in a short run (seed 1)',
    async () => {
      const args = ['dist/standIns/chaos/chaos.js', '--seed', '1', '--minutes', '0.2'];
      // Under the test runner's environment the daemons' log would be silent.
      const options = { timeout: TIMEOUT_MS, env: { PATH: process.env.PATH } };
      const run = promisify(execFile)(process.execPath, args, options);
      // A run that finds something ends with 1; what it found stands in its last line.
      const { stdout } = await run.catch((error: { readonly stdout: string }) => error);
      const lines = stdout.trim().split('\n');
      const told = lines.map((line) => JSON.parse(line) as { silencedConnections?: number });
      expect(told.some(({ silencedConnections = 0 }) => silencedConnections > 0)).toBe(true);
      expect(told.at(-1)).toMatchObject({ ok: true, findings: [] });
    },
    TIMEOUT_MS,
  );
});
