/**
 * `npm run chaos -- --seed N --minutes M` runs the whole system as separate processes under load
 * and with a seeded sequence of faults. The verdict relies only on the records of the stand-ins.
 */
import { setTimeout as delay } from 'node:timers/promises';
import { parseArgs } from 'node:util';

import { SeededRandom } from '../../src/base/common/random.js';
import {
  type InstanceAddress,
  toOrigin,
  type WorkerInstance,
} from '../../src/services/instanceList/common/instanceList.js';
import { Caller } from '../demo/caller.js';
import { type ChildProcesses, runScript } from '../demo/childProcesses.js';
import { type DaemonProcess, startDaemon } from '../demo/daemonProcess.js';
import { call, HOST, startPlatform, startWorkers, ZONES } from '../demo/platformProcesses.js';
import { Relays } from '../relay/relays.js';
import { findInvariantViolations, type Verdict } from '../workers/judge.js';
import { checkRequests } from './requestChecks.js';

const SERVICE = 'rounds';
const MINUTE_MS = 60_000;
const REQUESTS_PER_SECOND = 150;
const QUIET_LIMIT_MS = 120_000;
const SIZE = { processorMillis: 2_000, memoryBytes: 2_000_000_000, acceleratorCount: 0 };

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '1' },
  },
});
const random = new SeededRandom(Number(values.seed));

const printLine = (line: Readonly<Record<string, unknown>>): void => {
  process.stdout.write(`${JSON.stringify(line)}\n`);
};

const operatorOrigin = ({ instance }: DaemonProcess): string => toOrigin(instance.operatorAddress);

class ChaosSystem {
  readonly acceptedJobIds: string[] = [];

  readonly faultCounts = new Map<string, number>();

  readonly relays = new Relays();

  readonly shutdownStartsMs = new Map<string, number>();

  readonly #children: ChildProcesses;

  readonly #folder: string;

  #platformOrigin = '';

  #judgeOrigin = '';

  #workers: readonly WorkerInstance[] = [];

  #daemons: DaemonProcess[] = [];

  #daemonCount = 0;

  constructor(children: ChildProcesses, folder: string) {
    this.#children = children;
    this.#folder = folder;
  }

  readonly callerOrigins = () => this.#daemons.map(({ callerOrigin }) => callerOrigin);

  async start(): Promise<void> {
    this.#platformOrigin = await startPlatform(this.#children, values.seed);
    const { judgeOrigin, instances } = await startWorkers(this.#children);
    this.#judgeOrigin = judgeOrigin;
    this.#workers = await Promise.all(instances.map((worker) => this.#withRelays(worker)));
    await Promise.all(ZONES.map((zone) => this.#startDaemon(zone)));
    await ZONES.reduce(async (before, zone) => {
      await before;
      await this.planAndConfirm({ intent: 'use-zone', zone, region: 'r' });
    }, Promise.resolve());
    const service = { name: SERVICE, team: 'kitchen', replicaCount: 6, size: SIZE };
    await this.planAndConfirm({
      intent: 'create-service',
      service: { ...service, urgency: 'urgent' },
    });
  }

  /** Plans and confirms an intent at a random daemon. Returns false on a refusal or no answer. */
  async planAndConfirm(intent: Readonly<Record<string, unknown>>): Promise<boolean> {
    const daemon = this.#daemons[random.nextIndex(this.#daemons.length)];
    if (daemon === undefined) return false;
    try {
      const planned = await call(`${operatorOrigin(daemon)}/v1/plans`, { intent });
      if (planned.status !== 200) return false;
      const { planId, digest } = planned.answer as { planId: string; digest: string };
      const url = `${operatorOrigin(daemon)}/v1/plans/${planId}/confirm`;
      return (await call(url, { digest })).status === 200;
    } catch {
      return false;
    }
  }

  async submit(index: number): Promise<void> {
    const submissionKey = `job-${index}`;
    const workMs = 200 + random.nextIndex(4_000);
    const job = { team: 'kitchen', submissionKey, taskCount: 20, size: SIZE, workMs };
    const isAccepted = await this.planAndConfirm({ intent: 'submit-job', ...job });
    if (isAccepted) this.acceptedJobIds.push(`kitchen.${submissionKey}`);
  }

  /**
   * Withdraws a zone or returns it to use. The judge is told of a withdrawal only after an operator
   * got its acceptance, and of a return before the operator plans it.
   */
  async setZone(zone: string, isWithdrawn: boolean): Promise<void> {
    const use = { intent: 'use-zone', zone, region: 'r' };
    if (!isWithdrawn) await call(`${this.#judgeOrigin}/mark`, { zone, isWithdrawn });
    const isDone = await this.planAndConfirm(isWithdrawn ? { intent: 'withdraw-zone', zone } : use);
    if (isWithdrawn && isDone) await call(`${this.#judgeOrigin}/mark`, { zone, isWithdrawn });
  }

  readonly setPlatformFaults = (faults: unknown): Promise<unknown> =>
    call(`${this.#platformOrigin}/control/faults`, faults);

  /** Replaces a daemon, which ends by SIGKILL or by SIGTERM with a graceful shutdown. */
  async replace(index: number, isGraceful: boolean): Promise<void> {
    const daemon = this.#daemons[index % this.#daemons.length];
    if (daemon === undefined || this.#daemons.length < 2) return;
    if (isGraceful) this.shutdownStartsMs.set(daemon.callerOrigin, performance.now());
    daemon.child.kill(isGraceful ? 'SIGTERM' : 'SIGKILL');
    this.#daemons = this.#daemons.filter((other) => other !== daemon);
    await delay(random.nextIndex(2_000));
    await this.#startDaemon(daemon.instance.availabilityZone);
  }

  async pause(index: number, durationMs: number): Promise<void> {
    const daemon = this.#daemons[index % this.#daemons.length];
    daemon?.child.kill('SIGSTOP');
    await delay(durationMs);
    daemon?.child.kill('SIGCONT');
  }

  /** Gets records of the judge that observes the workers. */
  async judgeRecords<Records>(path: string): Promise<Records> {
    return (await call(`${this.#judgeOrigin}/${path}`)).answer as Records;
  }

  /** Returns the accepted jobs that have not ended, each with the answer that an operator gets. */
  async openJobs(): Promise<readonly string[]> {
    const [daemon] = this.#daemons;
    const statuses = this.acceptedJobIds.map(async (jobId) => {
      if (daemon === undefined) return jobId;
      const { answer } = await call(`${operatorOrigin(daemon)}/v1/jobs/${jobId}`).catch(
        (error: unknown) => ({ answer: String(error) }),
      );
      const isEnded = (answer as { isEnded?: boolean }).isEnded === true;
      return isEnded ? undefined : `${jobId} ${JSON.stringify(answer)}`;
    });
    return (await Promise.all(statuses)).filter((job) => job !== undefined);
  }

  readonly #relayTo = (address: InstanceAddress) => this.relays.relayTo(address);

  async #withRelays(worker: WorkerInstance): Promise<WorkerInstance> {
    const controlAddress = await this.#relayTo(worker.controlAddress);
    return {
      ...worker,
      controlAddress,
      backendAddress: await this.#relayTo(worker.backendAddress),
    };
  }

  async #startDaemon(zone: string): Promise<void> {
    this.#daemonCount += 1;
    const id = `entry-${this.#daemonCount}`;
    const origin = this.#platformOrigin;
    const platform = { host: HOST, port: Number(new URL(origin).port) };
    const relayOrigin = toOrigin(await this.#relayTo(platform));
    const daemon = await startDaemon(this.#children, this.#folder, id, zone, relayOrigin);
    const peerAddress = await this.#relayTo(daemon.instance.peerAddress);
    this.#daemons.push({ ...daemon, instance: { ...daemon.instance, peerAddress } });
    const instances = [...this.#workers, ...this.#daemons.map(({ instance }) => instance)];
    await call(`${origin}/control/instances`, { instances });
  }
}

type Fault = (system: ChaosSystem) => Promise<unknown>;

const platformFault =
  (faults: Readonly<Record<string, unknown>>): Fault =>
  async (system) => {
    await system.setPlatformFaults(faults);
    await delay(500 + random.nextIndex(4_000));
    await system.setPlatformFaults({});
  };

const FAULTS: Readonly<Record<string, Fault>> = {
  kill: (system) => system.replace(random.nextIndex(3), false),
  shutDown: (system) => system.replace(random.nextIndex(3), true),
  pause: (system) => system.pause(random.nextIndex(3), 300 + random.nextIndex(5_000)),
  silence: async ({ relays }) =>
    printLine({ silencedConnections: relays.silenceRandomRelays(random) }),
  tableDown: platformFault({ isDown: true }),
  tableSlow: platformFault({ delayMs: 300 }),
  answersLost: platformFault({ lostAnswerRatio: 0.4 }),
  zoneOutAndBack: async (system) => {
    const zone = ZONES[random.nextIndex(ZONES.length)] ?? ZONES[0];
    await system.setZone(zone, true);
    await delay(4_000 + random.nextIndex(3_000));
    await system.setZone(zone, false);
  },
};

/** Finds violations that users would see, from the records of the stand-ins and the callers. */
const findViolations = async (system: ChaosSystem, caller: Caller): Promise<readonly string[]> => {
  const verdict = await system.judgeRecords<Verdict>('verdict');
  const runs = await system.judgeRecords<Readonly<Record<string, number>>>('runs');
  const checks: readonly [string, string][] = [
    ...checkRequests(
      caller.outcomes,
      (path) => runs[path] ?? 0,
      (origin) => system.shutdownStartsMs.get(origin),
    ),
    ['accepted jobs that did not end', (await system.openJobs()).join(' ')],
  ];
  const found = checks.filter(([, what]) => what !== '');
  return [...findInvariantViolations(verdict), ...found.map(([name, what]) => `${name}: ${what}`)];
};

const run = async (system: ChaosSystem): Promise<boolean> => {
  await system.start();
  const caller = new Caller(system.callerOrigins, SERVICE);
  const durationMs = Number(values.minutes) * MINUTE_MS;
  const calls = caller.run((durationMs * REQUESTS_PER_SECOND) / 1_000, durationMs);
  const endMs = performance.now() + durationMs;
  const runningFaults: Promise<unknown>[] = [];
  const names = Object.keys(FAULTS);
  for (let index = 0; performance.now() < endMs; index += 1) {
    // Each run begins with a silence fault, so that even the shortest run has one.
    const name = (index > 0 && names[random.nextIndex(names.length)]) || 'silence';
    system.faultCounts.set(name, (system.faultCounts.get(name) ?? 0) + 1);
    printLine({ fault: name, index });
    // Faults overlap: the loop does not wait for a fault to end.
    runningFaults.push(FAULTS[name]?.(system) ?? Promise.resolve(), system.submit(index));
    // eslint-disable-next-line no-await-in-loop
    await delay(1_000 + random.nextIndex(2_500));
  }
  await Promise.all(runningFaults);
  await system.setPlatformFaults({});
  const quietEndMs = performance.now() + QUIET_LIMIT_MS;
  // eslint-disable-next-line no-await-in-loop -- polls until all jobs have ended
  while (performance.now() < quietEndMs && (await system.openJobs()).length > 0) await delay(500);
  await calls;
  const findings = await findViolations(system, caller);
  system.relays.close();
  printLine({
    ok: findings.length === 0,
    seed: Number(values.seed),
    faults: Object.fromEntries(system.faultCounts),
    requests: caller.report,
    acceptedJobs: system.acceptedJobIds.length,
    completedTasks: (await system.judgeRecords<Verdict>('verdict')).completedBatchCount,
    findings,
  });
  return findings.length === 0;
};

await runScript((children, folder) => run(new ChaosSystem(children, folder)));
