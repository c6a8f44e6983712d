/* eslint n/no-sync: "off", import-x/extensions: "off", max-classes-per-file: "off", n/no-process-exit: "off", no-await-in-loop: "off", no-void: "off" */
/**
 * Starts a small deployment: the store, workers and the operator in this process, and the daemons as
 * separate processes with the command of `deploy/system.toml`. Restarts a daemon that ends by itself
 * or is killed, as DEPLOY.md says ("Ends"). Writes what was sent, answered and run to `record.txt`.
 */
import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request as httpRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import { Store } from './store.mjs';
import { Worker } from './worker.mjs';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const ZONES = ['amman-east', 'amman-west', 'zarqa'];
const RESTART_MS = 500;
const BEAT_MS = 1_500;
const CLIENT_TIMEOUT_MS = 3_000;
/** SYSTEM.md: four retries of a client. */
const TRIES = 5;
const OWNER_PAUSE_MS = 50;
export const HOST = 'rounds.example';
const SERVICE = 'rounds-desk';

export const pause = (durationMs) =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

export const newId = () => randomBytes(8).toString('hex');

/** Whether the case is played with its disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== '0';

/** The command of the deploy file. */
const runCommand = () => {
  const text = readFileSync(join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const [, command] = /^run = "(.*)"$/mu.exec(text);
  return command.split(' ');
};

const settingsOf = (instanceId, zone, storeAddress) => ({
  instanceId,
  availabilityZone: zone,
  listen: { callers: '127.0.0.1:0', readiness: '127.0.0.1:0', metrics: '127.0.0.1:0' },
  storeAddress,
  maximumRowBytes: '65536',
  maximumLeaseMs: 6_000,
  workerReportIntervalMs: BEAT_MS,
  workerStopMs: 900,
  configurationBoundMs: 2_000,
  withdrawalBoundMs: 5_000,
  drainBoundMs: 2_000,
  graceSeconds: 6,
  maximumDescriptors: '4100',
  processor: { share: 0.27, speed: 1 },
});

/** One machine of the system: the process that runs on it, and how often it has ended by itself. */
class Daemon {
  #fleet;

  #child;

  #isKept = true;

  #restartMs = RESTART_MS;

  #agent = new Agent({ keepAlive: true, maxSockets: 64 });

  ownEnds = 0;

  callersPort = 0;

  constructor(fleet, id, zone) {
    this.#fleet = fleet;
    this.id = id;
    this.zone = zone;
  }

  get isUp() {
    return this.callersPort !== 0;
  }

  async start() {
    const { folder, store, record } = this.#fleet;
    const path = join(folder, `${this.id}.json`);
    writeFileSync(path, JSON.stringify(settingsOf(this.id, this.zone, store.address)));
    const [program, ...words] = runCommand();
    const child = spawn(program, [...words, path], {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, HOME: process.env.HOME ?? '' },
    });
    this.#child = child;
    let lastWords = '';
    child.stderr.on('data', (chunk) => {
      lastWords = `${lastWords}${chunk}`.slice(-4_000);
    });
    child.once('exit', (code, signal) => {
      this.callersPort = 0;
      if (!this.#isKept) return;
      const isOwnEnd = this.#child === child;
      if (isOwnEnd) this.ownEnds += 1;
      const cause = /FATAL ERROR.*/u.exec(lastWords)?.[0] ?? lastWords.slice(0, 200).trim();
      record('process-ended', { id: this.id, code, signal, isOwnEnd, cause });
      setTimeout(() => {
        if (this.#isKept) void this.start();
      }, this.#restartMs);
      this.#restartMs = RESTART_MS;
    });
    const listening = new Promise((resolve) => {
      createInterface({ input: child.stdout }).on('line', (line) => {
        if (line.includes('"event":"listening"')) {
          this.callersPort = JSON.parse(line).callersPort;
          resolve();
        }
        if (line.includes('"event":"fleet-acquired"')) this.#fleet.noteOwner(this);
        if (/"event":"(?:fleet-acquired|fleet-lost)"/u.test(line)) record('log', { line });
      });
    });
    await Promise.race([
      listening,
      new Promise((resolve) => {
        child.once('exit', resolve);
      }),
    ]);
    record('process-started', { id: this.id });
  }

  /** Kills the process; the platform starts it again, by default after a short delay. */
  kill(downMs = RESTART_MS) {
    this.#restartMs = downMs;
    const child = this.#child;
    this.#child = undefined;
    this.#fleet.record('kill', { id: this.id });
    child?.kill('SIGKILL');
  }

  /** Kills the process and does not start it again. */
  end() {
    this.#isKept = false;
    this.#child?.kill('SIGKILL');
    this.#agent.destroy();
  }

  /** Sends a client's request. Status 0 if there is no whole answer in time. */
  call(method, path, body) {
    const { callersPort: port } = this;
    if (port === 0) return Promise.resolve({ status: 0, body: undefined });
    return new Promise((resolve) => {
      const fail = () => resolve({ status: 0, body: undefined });
      const text = body === undefined ? '' : JSON.stringify(body);
      const headers = {
        host: HOST,
        'content-type': 'application/json',
        'content-length': Buffer.byteLength(text),
        'snipethread-timeout-ms': String(CLIENT_TIMEOUT_MS),
      };
      const options = { host: '127.0.0.1', port, method, path, headers, agent: this.#agent };
      const request = httpRequest({ ...options, timeout: CLIENT_TIMEOUT_MS }, (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', fail);
        response.on('end', () => {
          try {
            const answer = JSON.parse(Buffer.concat(chunks).toString('utf8') || '{}');
            resolve({ status: response.statusCode, body: answer });
          } catch {
            fail();
          }
        });
      });
      request.on('timeout', () => request.destroy());
      request.on('error', fail);
      request.end(text);
    });
  }
}

export class Fleet {
  folder = mkdtempSync(join(tmpdir(), 'review-'));

  store = new Store();

  workers = [];

  daemons = [];

  /** The daemons that have said that they own the fleet, in that order. */
  #owners = [];

  #ownersTaken = 0;

  #lines = [];

  #beganAtMs = performance.now();

  #beat = 0;

  #timers = [];

  #next = 0;

  #recordPath;

  /** Starts, ends and runs of all tasks: rows of worker, task, run and times. */
  starts = [];

  ends = [];

  record = (event, fields = {}) => {
    const atS = ((performance.now() - this.#beganAtMs) / 1_000).toFixed(3);
    this.#lines.push(`${atS} ${event} ${JSON.stringify(fields)}`);
  };

  constructor(recordPath) {
    this.#recordPath = recordPath;
    process.once('exit', () => this.daemons.forEach((daemon) => daemon.end()));
  }

  get nowMs() {
    return performance.now() - this.#beganAtMs;
  }

  /** The queues of the configuration are `prefixes` by name; all of them are of one service. */
  async start({ daemonCount, workerCount, cpu, memMb, queues, attempts = 4 }) {
    await this.store.start();
    const Routes = queues.map(({ name, prefix, priority }) => ({
      ...{ Name: name, Host: HOST, Prefix: prefix, Service: SERVICE, TimeoutMs: CLIENT_TIMEOUT_MS },
      ...{ SloMs: 1_000, Priority: priority, Attempts: attempts, Stretch: 2 },
    }));
    const Services = [{ Name: SERVICE }];
    const Limits = { MaxHeaderBytes: 16_384, MaxBodyBytes: 262_144 };
    this.store.put('op', 'config', { Version: 3, Routes, Services, Limits });
    for (let index = 0; index < workerCount; index += 1) {
      const zone = ZONES[index % ZONES.length];
      const worker = new Worker({
        ...{ id: `w${newId()}`, service: SERVICE, zone, rack: `r${Math.floor(index / 8)}` },
        ...{ cpu, memMb },
        onStart: (workerId, task, run, isLate) => {
          this.starts.push({ workerId, task, run, isLate, atMs: this.nowMs });
          this.record('task-started', { workerId, task, run, isLate });
        },
        onEnd: (workerId, task, run, how) => {
          this.ends.push({ workerId, task, run, how, atMs: this.nowMs });
          this.record('task-ended', { workerId, task, run, how });
        },
      });
      await worker.start();
      this.workers.push(worker);
    }
    this.#beatAll();
    this.#timers.push(setInterval(() => this.#beatAll(), BEAT_MS));
    for (let index = 0; index < daemonCount; index += 1) {
      this.daemons.push(new Daemon(this, `front-${index + 1}`, ZONES[index % ZONES.length]));
    }
    await Promise.all(this.daemons.map((daemon) => daemon.start()));
  }

  #beatAll() {
    this.#beat += 1;
    this.workers
      .filter(({ isLost }) => !isLost)
      .forEach((worker) => this.store.put('servers', worker.id, worker.entry(this.#beat)));
  }

  /** The next daemon that runs, as the platform's address forwards a client's channels. */
  pick() {
    const up = this.daemons.filter(({ isUp }) => isUp);
    this.#next += 1;
    return up.length === 0 ? this.daemons[0] : up[this.#next % up.length];
  }

  /** Hands a submission in, and again four times at another daemon. Returns the last status. */
  async submit(prefix, id, body) {
    let status = 0;
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      const daemon = this.pick();
      const answer = await daemon.call('POST', prefix + id, body);
      status = answer.status;
      this.record('submitted', { id, to: daemon.id, status, bytes: JSON.stringify(body).length });
      if (status === 200) return status;
      await pause(300);
    }
    return status;
  }

  async state(prefix, id) {
    const daemon = this.pick();
    const { status, body } = await daemon.call('GET', prefix + id);
    return status === 200 ? body.State : `no answer (${status})`;
  }

  /** Asks for the state until it is one of `states` or the time is over; returns the last answer. */
  async awaitState(prefix, id, states, untilMs) {
    let state = await this.state(prefix, id);
    while (!states.includes(state) && this.nowMs < untilMs) {
      await pause(200);
      state = await this.state(prefix, id);
    }
    return state;
  }

  noteOwner(daemon) {
    this.#owners.push(daemon);
  }

  /**
   * The daemon that says it owns the fleet, once another one does than at the last call. Without the
   * disruption, the owner does not change.
   */
  async nextOwner() {
    while (this.#owners.length <= (HAS_TROUBLE ? this.#ownersTaken : 0))
      await pause(OWNER_PAUSE_MS);
    this.#ownersTaken = this.#owners.length;
    return this.#owners.at(-1);
  }

  /** Ends all processes, writes the record and exits with the code. */
  finish(code, verdict) {
    this.record('verdict', { code, verdict });
    this.#timers.forEach((timer) => clearInterval(timer));
    this.daemons.forEach((daemon) => daemon.end());
    this.workers.forEach((worker) => worker.stop());
    this.store.stop();
    writeFileSync(this.#recordPath, `${this.#lines.join('\n')}\n`);
    rmSync(this.folder, { recursive: true, force: true });
    process.stdout.write(`${verdict}\n`);
    process.exit(code);
  }
}

/** Plays a case. If it cannot be played, the exit code is 2. */
export const play = (recordPath, run) => {
  const fleet = new Fleet(recordPath);
  const limit = setTimeout(() => fleet.finish(2, 'the case took too long'), 118_000);
  limit.unref();
  run(fleet).catch((error) => fleet.finish(2, `the case could not run: ${error.stack}`));
};
