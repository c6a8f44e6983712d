/**
 * `npm run soak:platform -- --seed N` runs the seeds from N on, one after the other, against real
 * processes of the daemon. The exit code is 1 if a check fails.
 */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';

import { defineCommand, runMain } from 'citty';

import { Scenario } from './faultPlan.js';
import { PlatformRun } from './platformRun.js';

const MS_PER_SECOND = 1_000;
const SHOWN_FINDINGS = 20;

const printLine = (line: unknown): void => {
  process.stdout.write(`${typeof line === 'string' ? line : JSON.stringify(line)}\n`);
};

const wholeNumber = (text: string, name: string, least: number): number => {
  const value = Number(text);
  if (Number.isInteger(value) && value >= least) return value;
  throw new Error(`--${name} takes a whole number from ${least} on`);
};

const main = defineCommand({
  meta: { name: 'soak:platform', description: 'Faults against processes of the daemon' },
  args: {
    seed: { type: 'string', default: '1', description: 'the first seed' },
    runs: { type: 'string', default: '1', description: 'how many seeds' },
    scenario: { type: 'string', default: Scenario.Both, description: 'incident, mixed or both' },
    seconds: { type: 'string', default: '60', description: 'how long faults are started' },
    instances: { type: 'string', default: '5', description: 'processes of the daemon' },
    workers: { type: 'string', default: '36', description: 'workers at the start' },
    logs: { type: 'string', default: '', description: 'where logs go; they are kept there' },
  },
  run: async ({ args }) => {
    const scenario = Object.values(Scenario).find((known) => known === args.scenario);
    if (scenario === undefined) {
      throw new Error(`--scenario takes one of ${Object.values(Scenario).join(', ')}`);
    }
    const seconds = wholeNumber(args.seconds, 'seconds', 1);
    const instanceCount = wholeNumber(args.instances, 'instances', 1);
    const workerCount = wholeNumber(args.workers, 'workers', 1);
    const firstSeed = wholeNumber(args.seed, 'seed', 0);
    const runCount = wholeNumber(args.runs, 'runs', 1);
    const parent = args.logs === '' ? tmpdir() : resolve(args.logs);
    let failedCount = 0;
    for (let seed = firstSeed; seed < firstSeed + runCount; seed += 1) {
      // eslint-disable-next-line no-await-in-loop -- one seed at a time
      const folder = await mkdtemp(join(parent, `soak-platform-${seed}-`));
      const durationMs = seconds * MS_PER_SECOND;
      const options = { seed, scenario, durationMs, instanceCount, workerCount, folder };
      // eslint-disable-next-line no-await-in-loop
      const { findings, figures } = await new PlatformRun(options).run();
      printLine({ seed, scenario, ok: findings.length === 0, ...figures });
      findings.slice(0, SHOWN_FINDINGS).forEach(printLine);
      if (findings.length > 0) {
        failedCount += 1;
        const sizes = `--instances ${instanceCount} --workers ${workerCount}`;
        const command = `--seed ${seed} --scenario ${scenario} --seconds ${seconds} ${sizes}`;
        printLine(`seed ${seed}: ${findings.length} checks failed; logs: ${folder}`);
        printLine(`repeat: npm run soak:platform -- ${command}`);
      } else if (args.logs === '') {
        // eslint-disable-next-line no-await-in-loop
        await rm(folder, { recursive: true });
      }
    }
    // A socket that a run has left open must not keep the process alive.
    process.exit(failedCount === 0 ? 0 : 1);
  },
});

// Exits on a signal, so that the exit handler of the run kills the processes that it started.
(['SIGINT', 'SIGTERM'] as const).forEach((signal) => process.once(signal, () => process.exit(1)));
void runMain(main);
