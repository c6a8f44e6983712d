/** One seeded run: starts the store, workers and instances, and carries out the planned faults. */
import { createWriteStream } from 'node:fs';
import { mkdir } from 'node:fs/promises';
import { join } from 'node:path';
import { setTimeout as delay } from 'node:timers/promises';

import { SeededRandom } from '../../../src/base/common/random.js';
import { type Row, StoreServer } from '../../../platform/test/storeServer.js';
import { ConfigurationChanges } from './configurationChanges.js';
import { DaemonInstance } from './daemonInstance.js';
import { drawPlan, type Scenario } from './faultPlan.js';
import { FaultWindows } from './faultWindows.js';
import { FleetWorker } from './fleetWorker.js';
import { ForeignEntries } from './foreignEntries.js';
import { PlatformJudge } from './platformJudge.js';
import { SoakClients } from './soakClients.js';
import { SoakFaults } from './soakFaults.js';
import { type WriteLog, type Zone, ZONE_HOSTS, ZONES } from './soakTypes.js';
import { StoreFaults } from './storeFaults.js';
import { UnrulyClients } from './unrulyClients.js';

const WORKERS_PER_RACK = 8;
const TICK_MS = 20;
const WARM_UP_MS = 2_000;
/** The time for which clients keep submitting after the last fault. */
const AFTER_FAULTS_MS = 3_000;
const SETTLE_MS = 30_000;
const SETTLE_READ_MS = 500;
/** A worker's clock may run up to two per cent slow. */
const CLOCK_RATE_SPREAD = 0.02;

/** Keep the draws of the configuration and of other writers apart from those of the faults. */
const CONFIGURATION_SEED_OFFSET = 2;
const FOREIGN_ENTRIES_SEED_OFFSET = 3;
const UNRULY_CLIENTS_SEED_OFFSET = 4;

const zoneAt = (index: number): Zone => ZONES[index % ZONES.length] ?? 'zone-a';

/** Replaces the address in a worker's entry by the one through which the zone's instances call it. */
const toRowSeenFromZone = (zone: Zone, { Value = '', ...row }: Row): Row => {
  const text = Buffer.from(Value, 'base64').toString();
  const zoneText = text.replace('127.0.0.1', ZONE_HOSTS[zone]);
  return { ...row, Value: Buffer.from(zoneText).toString('base64') };
};

export interface PlatformRunOptions {
  readonly seed: number;
  readonly scenario: Scenario;
  readonly durationMs: number;
  readonly instanceCount: number;
  readonly workerCount: number;
  readonly folder: string;
}

export interface PlatformRunResult {
  readonly findings: readonly string[];
  readonly figures: Readonly<Record<string, number>>;
}

export class PlatformRun {
  readonly #options: PlatformRunOptions;

  readonly #startedAtMs = performance.now();

  readonly #store = new StoreServer();

  readonly #faultWindows = new FaultWindows();

  readonly #judge = new PlatformJudge(this.#faultWindows);

  readonly #instances: DaemonInstance[] = [];

  readonly #workers: FleetWorker[] = [];

  readonly #random: SeededRandom;

  #clients: SoakClients | undefined;

  readonly #configurationChanges: ConfigurationChanges;

  readonly #foreignEntries: ForeignEntries;

  readonly #unrulyClients: UnrulyClients;

  #log = createWriteStream('/dev/null');

  #loggedFindings = 0;

  readonly #writeLog: WriteLog = (event, fields) => {
    const time = new Date().toISOString();
    this.#log.write(`${JSON.stringify({ time, atMs: this.#nowMs(), event, ...fields })}\n`);
  };

  constructor(options: PlatformRunOptions) {
    this.#options = options;
    this.#random = new SeededRandom(options.seed);
    this.#configurationChanges = new ConfigurationChanges({
      random: new SeededRandom(options.seed + CONFIGURATION_SEED_OFFSET),
      store: this.#store,
      instances: this.#instances,
      judge: this.#judge,
      nowMs: () => this.#nowMs(),
      log: this.#writeLog,
      addFinding: (text) => this.#noteUnexpected(text),
    });
    this.#foreignEntries = new ForeignEntries({
      random: new SeededRandom(options.seed + FOREIGN_ENTRIES_SEED_OFFSET),
      store: this.#store,
      log: this.#writeLog,
      addFinding: (text) => this.#noteUnexpected(text),
    });
    this.#unrulyClients = new UnrulyClients({
      random: new SeededRandom(options.seed + UNRULY_CLIENTS_SEED_OFFSET),
      instances: () => this.#instances,
      log: this.#writeLog,
    });
  }

  async run(): Promise<PlatformRunResult> {
    const { seed, scenario, durationMs, folder } = this.#options;
    await mkdir(folder, { recursive: true });
    this.#log = createWriteStream(join(folder, 'soak.log'));
    const plan = drawPlan(scenario, new SeededRandom(seed), durationMs);
    const killAll = (): void => this.#instances.forEach((instance) => instance.killNow());
    process.once('exit', killAll);
    const ticker = setInterval(() => this.#tick(), TICK_MS);
    try {
      await this.#start();
      await this.#play(plan);
      this.#judge.noteUnfinished(this.#nowMs());
      const { tooLargeCount } = this.#store;
      if (tooLargeCount > 0) {
        this.#noteUnexpected(`${tooLargeCount} transactions are larger than the store accepts`);
      }
      this.#tick();
    } finally {
      clearInterval(ticker);
      await this.#close();
      process.removeListener('exit', killAll);
    }
    const { persistentTasks, counts, findings } = this.#judge;
    const unanswered = this.#clients?.unansweredCount ?? 0;
    const longestWaitMs = Math.round(persistentTasks.longestWaitMs);
    const figures = { ...counts, unanswered, longestWaitMs, faults: plan.length };
    const series = {
      ...this.#configurationChanges.counts,
      ...this.#foreignEntries.counts,
      ...this.#unrulyClients.counts,
    };
    return { findings, figures: { ...figures, ...series } };
  }

  #nowMs(): number {
    return Math.floor(performance.now() - this.#startedAtMs);
  }

  async #start(): Promise<void> {
    const storePort = Number((await this.#store.listen()).split(':')[1]);
    this.#configurationChanges.store();
    const { instanceCount, workerCount, folder, seed } = this.#options;
    for (let index = 0; index < instanceCount; index += 1) {
      const zone = zoneAt(index);
      const onUnexpectedExit = (text: string): void => this.#noteUnexpected(text);
      const hosts = { storePort, relayHost: `127.0.1.${index + 1}` };
      const options = { id: `instance-${index}`, zone, folder, ...hosts, onUnexpectedExit };
      this.#instances.push(new DaemonInstance(options));
    }
    const random = new SeededRandom(seed + 1);
    const judge = this.#judge;
    const nowMs = (): number => this.#nowMs();
    this.#clients = new SoakClients(random, this.#instances, judge, nowMs, this.#writeLog);
    await Promise.all(Array.from({ length: workerCount }, () => this.#addWorker()));
    await Promise.all(this.#instances.map((instance) => instance.prepare()));
    const zones = new Map(this.#instances.map(({ storeHost, zone }) => [storeHost, zone]));
    this.#store.show = (row, host) => {
      const zone = zones.get(host);
      const isEntry = row.Table === 'servers' && row.Value !== undefined;
      return isEntry && zone !== undefined ? toRowSeenFromZone(zone, row) : row;
    };
    await Promise.all(this.#instances.map((instance) => instance.start()));
    await delay(WARM_UP_MS);
  }

  async #addWorker(): Promise<void> {
    const index = this.#workers.length;
    const worker = new FleetWorker({
      id: `worker-${index}`,
      zone: zoneAt(index),
      rack: `rack-${Math.floor(index / WORKERS_PER_RACK)}`,
      clockRate: 1 - this.#random.nextFraction() * CLOCK_RATE_SPREAD,
      judge: this.#judge,
      store: this.#store,
      nowMs: () => this.#nowMs(),
      taskOf: (taskName) => this.#clients?.taskOf(taskName) ?? { workMs: 0, end: 'done' },
      isPersistentTask: (taskName) => this.#judge.stepOf(taskName)?.isPersistent === true,
      advanceAll: () => this.#advanceWorkers(),
      log: this.#writeLog,
    });
    this.#workers.push(worker);
    await worker.start();
  }

  async #play(plan: ReturnType<typeof drawPlan>): Promise<void> {
    const clients = this.#clients;
    if (clients === undefined) return;
    const submitting = clients.submitUntilStopped();
    const reading = clients.readUntilStopped();
    const changing = this.#configurationChanges.changeUntilStopped();
    const counting = this.#configurationChanges.askUntilStopped();
    const writing = this.#foreignEntries.writeUntilStopped();
    const crowding = this.#unrulyClients.sendUntilStopped();
    const storeFaults = new StoreFaults(this.#random);
    this.#store.treat = (host) => storeFaults.treat(host);
    const faults = new SoakFaults({
      instances: this.#instances,
      workers: () => this.#workers,
      addWorker: () => this.#addWorker(),
      store: storeFaults,
      faultWindows: this.#faultWindows,
      nowMs: () => this.#nowMs(),
      log: this.#writeLog,
      addFinding: (text) => this.#noteUnexpected(text),
    });
    await Promise.all([
      delay(this.#options.durationMs),
      ...plan.map(async (fault) => {
        await delay(fault.atMs);
        await faults.perform(fault);
      }),
    ]);
    this.#writeLog('faults-ended', {});
    await delay(AFTER_FAULTS_MS);
    clients.stopSubmitting();
    this.#configurationChanges.stop();
    this.#foreignEntries.stop();
    this.#unrulyClients.stop();
    await Promise.all([submitting, changing, counting, writing, crowding]);
    await this.#settle(clients);
    clients.stopReading();
    await reading;
  }

  async #settle(clients: SoakClients): Promise<void> {
    const endsAtMs = this.#nowMs() + SETTLE_MS;
    const isOpen = (): boolean =>
      this.#judge.unfinished().length > 0 || this.#judge.persistentTasks.waiting().length > 0;
    while (isOpen() && this.#nowMs() < endsAtMs) {
      // eslint-disable-next-line no-await-in-loop -- reads again until all have ended
      await Promise.all(this.#judge.unfinished().map((id) => clients.read(id)));
      // eslint-disable-next-line no-await-in-loop
      await delay(SETTLE_READ_MS);
    }
  }

  #tick(): void {
    this.#advanceWorkers();
    this.#judge.advance(this.#nowMs());
    const { findings } = this.#judge;
    findings
      .slice(this.#loggedFindings)
      .forEach((finding) => this.#writeLog('finding', { finding }));
    this.#loggedFindings = findings.length;
  }

  #advanceWorkers(): void {
    this.#workers.forEach((worker) => worker.advance(this.#nowMs()));
  }

  #noteUnexpected(text: string): void {
    this.#judge.noteUnexpected(text, this.#nowMs());
  }

  async #close(): Promise<void> {
    await Promise.all(this.#instances.map((instance) => instance.close()));
    await Promise.all(this.#workers.map((worker) => worker.close()));
    await this.#store.close();
    this.#foreignEntries.close();
    this.#log.end();
  }
}
