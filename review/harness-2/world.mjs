/* eslint n/no-sync: "off", no-await-in-loop: "off", n/no-process-exit: "off" */
/* eslint import-x/extensions: "off" */
/** Starts a store, workers and processes of the daemon on loopback, and records what happens. */
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import { Store } from './store.mjs';
import { Worker } from './worker.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
/** The command of deploy/system.toml. */
const COMMAND = [
  '--max-old-space-size=160',
  '--max-semi-space-size=4',
  join(ROOT, 'target/snipethread.cjs'),
];
const ZONES = ['amman-east', 'amman-west', 'zarqa'];
export const HOST = 'nony24.example';
export const PREFIX = '/lohu930/';
export const SERVICE = 'rounds-desk';
/** The bounds of the deployment jhma-rounds. */
const BOUNDS = {
  holdMaxMs: 6_000,
  stopMs: 900,
  configMs: 2_000,
  evacuateMs: 5_000,
  drainMs: 2_000,
};
const START_TIMEOUT_MS = 15_000;
/** A case that isn't over by now could not run. */
const LONGEST_CASE_MS = 115_000;
const WATCH_POLL_MS = 20;
const ASK_ATTEMPTS = 4;
const ASK_PAUSE_MS = 300;

/** For so long, LOST lets a submission have nothing running, in milliseconds. */
export const LONGEST_IDLE_MS = 3_000;
const WATCH_MARGIN_MS = 200;
export const WATCH_MS = LONGEST_IDLE_MS + WATCH_MARGIN_MS;
/** `finish_s`: so long after the end of the traffic, submissions are looked at. */
export const FINISH_MS = 14_000;

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export class World {
  #startedAtMs = performance.now();

  #record;

  #folder = mkdtempSync(join(tmpdir(), 'review-'));

  #agent = new Agent({ keepAlive: true, maxSockets: 64 });

  #version = 0;

  #isClosing = false;

  /** The pause before a process that has ended is started again; without it, none is. */
  restartMs;

  store = new Store();

  workers = [];

  daemons = [];

  events = [];

  /** `folder` gets record.txt. */
  constructor(folder) {
    this.#record = createWriteStream(join(folder, 'record.txt'));
    process.once('exit', () => this.daemons.forEach(({ child }) => child.kill('SIGKILL')));
  }

  get nowMs() {
    return Math.round(performance.now() - this.#startedAtMs);
  }

  /** Records an event; `isQuiet` events are kept for the check but not written. */
  note = (event, fields = {}, isQuiet = false) => {
    const entry = { event, atMs: this.nowMs, ...fields };
    this.events.push(entry);
    if (!isQuiet) this.#record.write(`${JSON.stringify(entry)}\n`);
  };

  async start({
    daemonCount,
    workerCount,
    capacity,
    routes,
    kindOf = () => 'a',
    note = this.note,
  }) {
    this.storeAddress = await this.store.listen();
    this.workerCpu = capacity.Cpu;
    this.configure(routes);
    for (let index = 0; index < workerCount; index += 1) {
      const worker = new Worker({
        id: `w-${index}`,
        zone: ZONES[index % ZONES.length],
        rack: `r1-${Math.floor(index / 8)}`,
        kind: kindOf(index),
        service: SERVICE,
        capacity,
        store: this.store,
        holdMaxMs: BOUNDS.holdMaxMs,
        stopMs: BOUNDS.stopMs,
        note,
      });
      this.workers.push(worker);
      await worker.start();
    }
    await Promise.all(Array.from({ length: daemonCount }, (_, index) => this.startDaemon(index)));
  }

  /** Writes a configuration with these routes, as the operator does. */
  configure(routes) {
    this.#version += 3;
    this.store.put('op', 'config', {
      Version: this.#version,
      Routes: routes,
      Services: [{ Name: SERVICE }],
      Limits: { MaxBodyBytes: 262_144 },
    });
    this.note('configuration', { version: this.#version, routes: routes.map(({ Name }) => Name) });
  }

  async startDaemon(index) {
    const path = join(this.#folder, `settings-${index}.json`);
    const any = '127.0.0.1:0';
    const settings = {
      instanceId: `front-${index}`,
      availabilityZone: ZONES[index % ZONES.length],
      listen: { callers: any, readiness: any, metrics: any },
      storeAddress: this.storeAddress,
      maximumLeaseMs: BOUNDS.holdMaxMs,
      workerReportIntervalMs: 1_500,
      workerStopMs: BOUNDS.stopMs,
      configurationBoundMs: BOUNDS.configMs,
      withdrawalBoundMs: BOUNDS.evacuateMs,
      drainBoundMs: BOUNDS.drainMs,
      graceSeconds: 6,
      processor: { share: 0.27, speed: 1 },
    };
    writeFileSync(path, JSON.stringify(settings));
    const child = spawn(process.execPath, [...COMMAND, path], {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C.UTF-8' },
    });
    const daemon = { index, child, port: undefined, isOwner: false, hasEnded: false };
    this.daemons[index] = daemon;
    child.once('exit', (code, signal) => {
      daemon.hasEnded = true;
      this.note('daemon-ended', { index, code, signal });
      if (this.restartMs === undefined || this.#isClosing) return;
      setTimeout(() => {
        if (!this.#isClosing) this.startDaemon(index).catch(() => {});
      }, this.restartMs);
    });
    createInterface({ input: child.stderr }).on('line', (line) => {
      // A failure of Node.js itself has a line that begins so; the daemon's lines are JSON.
      if (line.startsWith('FATAL') || line.startsWith('{')) {
        this.note('daemon-error', { index, line: line.slice(0, 300) });
      }
    });
    await new Promise((resolve, reject) => {
      const fail = () => reject(new Error('a daemon does not listen'));
      const timer = setTimeout(fail, START_TIMEOUT_MS);
      createInterface({ input: child.stdout }).on('line', (line) => {
        const entry = JSON.parse(line);
        if (entry.event === 'fleet-acquired') daemon.isOwner = true;
        if (entry.event === 'fleet-lost') daemon.isOwner = false;
        if (['fleet-acquired', 'fleet-lost'].includes(entry.event)) {
          this.note(entry.event, { index });
        }
        if (entry.event !== 'listening') return;
        daemon.port = entry.callersPort;
        clearTimeout(timer);
        resolve();
      });
    });
    return daemon;
  }

  get owner() {
    return this.daemons.find(({ isOwner, hasEnded }) => isOwner && !hasEnded);
  }

  /** Calls a daemon; resolves to the status and the body, or a status of 0 without an answer. */
  call(daemon, method, path, document, timeoutMs = 3_000) {
    const text = document === undefined ? '' : JSON.stringify(document);
    return new Promise((resolve) => {
      const request = httpRequest({
        host: '127.0.0.1',
        port: daemon.port,
        method,
        path,
        agent: this.#agent,
        headers: {
          host: HOST,
          'content-type': 'application/json',
          'content-length': Buffer.byteLength(text),
          'snipethread-timeout-ms': timeoutMs,
        },
        timeout: timeoutMs,
      });
      request.on('timeout', () => request.destroy(new Error('timeout')));
      request.on('error', () => resolve({ status: 0, body: undefined }));
      request.on('response', (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => resolve({ status: 0, body: undefined }));
        response.on('end', () => {
          const body = Buffer.concat(chunks).toString();
          resolve({ status: response.statusCode, body: body === '' ? {} : JSON.parse(body) });
        });
      });
      request.end(text);
    });
  }

  /** Hands a submission in, retrying at other daemons as a client does. */
  async submit(id, body, prefix = PREFIX, attempts = 4) {
    let answer = { status: 0 };
    for (let attempt = 0; attempt <= attempts; attempt += 1) {
      const live = this.daemons.filter(({ hasEnded, port }) => !hasEnded && port !== undefined);
      const daemon = live[Math.floor(Math.random() * live.length)];
      if (daemon === undefined) break;
      answer = await this.call(daemon, 'POST', prefix + id, body);
      this.note('submit', { id, daemon: daemon.index, status: answer.status });
      if (answer.status === 200 || answer.status === 404) break;
      await sleep(300);
    }
    return answer;
  }

  /** Asks for the state of a submission, and again at other daemons while there is none. */
  async stateOf(id) {
    let answer = { status: 0 };
    for (let attempt = 0; attempt < ASK_ATTEMPTS; attempt += 1) {
      answer = await this.state(id);
      if (answer.status === 200) return answer.body.State;
      await sleep(ASK_PAUSE_MS);
    }
    return undefined;
  }

  /** Asks one daemon for the state of a submission. */
  async state(id, prefix = PREFIX) {
    const live = this.daemons.filter(({ hasEnded, port }) => !hasEnded && port !== undefined);
    const daemon = live[Math.floor(Math.random() * live.length)];
    if (daemon === undefined) return { status: 0 };
    const answer = await this.call(daemon, 'GET', prefix + id);
    this.note('state', { id, daemon: daemon.index, status: answer.status, ...answer.body });
    return answer;
  }

  /**
   * Watches the workers for some time. Returns the longest span in which each submission had nothing
   * running, and the largest share of the workers' processors that was in use.
   */
  async watch(ids, forMs) {
    const capacity = this.workers.length * this.workerCpu;
    const fromMs = this.nowMs;
    const spans = new Map(ids.map((id) => [id, { sinceMs: fromMs, longestMs: 0 }]));
    let peakShare = 0;
    while (this.nowMs < fromMs + forMs) {
      // Workers that nobody calls end their runs as well, when their leases expire.
      this.workers.forEach((worker) => worker.advance());
      const running = this.workers.flatMap(({ runs }) => [...runs]);
      const atWork = new Set(running.map(([task]) => task.split('.')[0]));
      const { nowMs } = this;
      spans.forEach((span, id) => {
        if (atWork.has(id)) Object.assign(span, { sinceMs: nowMs });
        else Object.assign(span, { longestMs: Math.max(span.longestMs, nowMs - span.sinceMs) });
      });
      const cpu = running.reduce((sum, [, run]) => sum + run.cpu, 0);
      peakShare = Math.max(peakShare, cpu / capacity);
      await sleep(WATCH_POLL_MS);
    }
    return { idleMs: [...spans.values()].map(({ longestMs }) => longestMs), peakShare };
  }

  /** Ends all processes that were started and the stand-ins. */
  async close() {
    this.#isClosing = true;
    const running = this.daemons.filter(({ hasEnded }) => !hasEnded);
    await Promise.all(
      running.map(
        ({ child }) =>
          new Promise((resolve) => {
            child.once('exit', resolve);
            child.kill('SIGKILL');
          }),
      ),
    );
    this.workers.forEach((worker) => worker.close());
    this.store.close();
    this.#agent.destroy();
    await new Promise((resolve) => {
      this.#record.end(resolve);
    });
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

export const newId = () =>
  Array.from({ length: 16 }, () => Math.floor(Math.random() * 16).toString(16)).join('');

export const route = (fields = {}) => ({
  Name: 'route-update',
  Host: HOST,
  Prefix: PREFIX,
  TimeoutMs: 3_000,
  SloMs: 250,
  Service: SERVICE,
  Attempts: 4,
  Stretch: 1.5,
  ...fields,
});

/** The body of a submission with one step, whose tasks do what `Spec` says. */
export const bodyOf = ({ workMs, end, Count = 1, Cpu = 2_000, ...step }, times = {}) => ({
  Spec: JSON.stringify({ workMs, end, cpu: Cpu }),
  Steps: [{ Count, Cpu, MemMb: 1_000, EstimateMs: workMs, ...step }],
  ...times,
});

/** Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
export const runCase = async (folder, play) => {
  const isTroubled = process.env.TROUBLE !== '0';
  const world = new World(folder);
  let exitCode = 2;
  // An exit handler of the world ends the processes that it has started.
  process.once('SIGTERM', () => process.exit(2));
  process.once('SIGINT', () => process.exit(2));
  const limit = new Promise((_, reject) => {
    setTimeout(() => reject(new Error('the case takes too long')), LONGEST_CASE_MS).unref();
  });
  try {
    const broken = await Promise.race([play(world, isTroubled), limit]);
    exitCode = broken === undefined ? 0 : 1;
    world.note('verdict', { broken: broken ?? 'the rule held' });
    process.stdout.write(`${broken ?? 'the rule held'}\n`);
  } catch (error) {
    world.note('could-not-run', { message: String(error) });
    process.stdout.write(`could not run: ${error.stack}\n`);
  }
  await world.close();
  process.exit(exitCode);
};
