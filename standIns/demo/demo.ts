/** The demo runs the whole system as separate processes and controls it through operator commands. */
import { setTimeout as delay } from 'node:timers/promises';

import { request } from 'undici';

import { systemClock } from '../../src/base/node/systemClock.js';
import { findInvariantViolations, type Verdict } from '../workers/judge.js';
import { Caller } from './caller.js';
import { type ChildProcesses, runScript, runTool } from './childProcesses.js';
import { type DaemonProcess, startDaemon } from './daemonProcess.js';
import { call, HOST, startPlatform, startWorkers, TOKEN, ZONES } from './platformProcesses.js';

const GIBIBYTE = 1024 ** 3;
const TASK_COUNT = 50;
const REQUEST_COUNT = 500;
const REQUEST_DURATION_MS = 9_000;
const WITHDRAWN_FOR_MS = 5_000;
const EXIT_HAS_CHANGES = 3;

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const countsText = (counts: object): string =>
  Object.entries(counts)
    .map(([name, count]) => `${count} ${name}`)
    .join(', ');

/** An operator who makes and confirms plans with the command-line tool. */
class DemoOperator {
  readonly #environment: Readonly<Record<string, string>>;

  constructor(operatorPort: number) {
    const address = `${HOST}:${operatorPort}`;
    this.#environment = { SNIPETHREAD_ADDRESS: address, SNIPETHREAD_TOKEN: TOKEN };
  }

  async carryOut(intent: Readonly<Record<string, unknown>>): Promise<void> {
    const shown = await runTool(['plan', '--json'], this.#environment, JSON.stringify(intent));
    if (shown.exitCode !== EXIT_HAS_CHANGES) {
      throw new Error(`the plan for ${JSON.stringify(intent)} failed: ${shown.output}`);
    }
    const plan = JSON.parse(shown.output) as Record<'planId' | 'digest' | 'summary', string>;
    print(`  plan: ${plan.summary}`);
    const done = await runTool(['confirm', plan.planId, plan.digest], this.#environment);
    if (done.exitCode !== 0) throw new Error(`not confirmed: ${done.output}`);
    print(`  ${done.output.trim()}`);
  }

  async watch(jobId: string): Promise<boolean> {
    const result = await runTool(['watch', jobId, '--timeout-ms', '20000'], this.#environment);
    print(`  job ${jobId}: ${result.output.trim().split('\n').at(-1) ?? ''}`);
    return result.exitCode === 0;
  }
}

const waitForAnswers = async (origin: string, service: string, tries = 100): Promise<void> => {
  const response = await request(`${origin}/services/${service}/ready`);
  await response.body.dump();
  if (response.statusCode === 200) return;
  if (tries === 0) throw new Error(`${service} did not come up`);
  await delay(100);
  await waitForAnswers(origin, service, tries - 1);
};

const runDemo = async (children: ChildProcesses, folder: string): Promise<boolean> => {
  const startedAtMs = systemClock.nowMs();
  print('starting the platform, the workers and three daemons');
  const origin = await startPlatform(children, '1');
  const { judgeOrigin, instances: workers } = await startWorkers(children);
  const daemons = await Promise.all(
    ZONES.map((zone) => startDaemon(children, folder, `entry-${zone}`, zone, origin)),
  );
  const instances = [...workers, ...daemons.map(({ instance }) => instance)];
  await call(`${origin}/control/instances`, { instances });
  const [first] = daemons as [DaemonProcess, ...DaemonProcess[]];
  const operator = new DemoOperator(first.instance.operatorAddress.port);

  print('bringing the availability zones into use');
  await ZONES.reduce(async (before, zone) => {
    await before;
    await operator.carryOut({ intent: 'use-zone', zone, region: 'demo' });
  }, Promise.resolve());

  print('creating a service');
  const size = { processorMillis: 2_000, memoryBytes: 2 * GIBIBYTE, acceleratorCount: 0 };
  await operator.carryOut({
    intent: 'create-service',
    service: { name: 'rounds', team: 'kitchen', replicaCount: 6, size, urgency: 'urgent' },
  });
  await waitForAnswers(first.callerOrigin, 'rounds');

  print('sending requests through all entries; submitting a batch job');
  const caller = new Caller(() => daemons.map(({ callerOrigin }) => callerOrigin), 'rounds');
  const calls = caller.run(REQUEST_COUNT, REQUEST_DURATION_MS);
  await operator.carryOut({
    intent: 'submit-job',
    team: 'kitchen',
    submissionKey: 'weekly-plan',
    taskCount: TASK_COUNT,
    size,
    workMs: 2_000,
  });

  print('taking a zone out and bringing it back');
  await operator.carryOut({ intent: 'withdraw-zone', zone: 'zone-b' });
  await call(`${judgeOrigin}/mark`, { zone: 'zone-b', isWithdrawn: true });
  await delay(WITHDRAWN_FOR_MS);
  await call(`${judgeOrigin}/mark`, { zone: 'zone-b', isWithdrawn: false });
  await operator.carryOut({ intent: 'use-zone', zone: 'zone-b', region: 'demo' });

  const [isJobDone] = await Promise.all([operator.watch('kitchen.weekly-plan'), calls]);
  const verdict = (await call(`${judgeOrigin}/verdict`)).answer as Verdict;
  const { report } = caller;
  const findings = findInvariantViolations(verdict);
  if (report.wrongAnswers > 0) findings.push("another's answer");
  const tasks = {
    submitted: TASK_COUNT,
    doneOnce: verdict.completedBatchCount,
    startsInWithdrawnZone: verdict.startsInWithdrawnZones,
    evictions: verdict.evictionCount,
  };
  const isOk = isJobDone && tasks.doneOnce === TASK_COUNT && findings.length === 0;
  const summary = {
    ok: isOk,
    requests: report,
    latencyMs: { p50: caller.latencyMs(50), p99: caller.latencyMs(99) },
    tasks,
    findings,
    durationMs: Math.round(systemClock.nowMs() - startedAtMs),
  };
  print(`\nrequests: ${countsText(report)}; latency in ms: ${countsText(summary.latencyMs)}`);
  print(`tasks: ${countsText(tasks)}`);
  print(`seen that must never be: ${findings.join('; ') || 'nothing'}`);
  print(JSON.stringify(summary));
  return isOk;
};

await runScript(runDemo);
