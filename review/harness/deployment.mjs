/* eslint n/no-sync: "off", no-void: "off", no-console: "off", no-await-in-loop: "off", no-restricted-syntax: "off", no-continue: "off", n/no-process-exit: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off", no-underscore-dangle: "off", no-param-reassign: "off", no-plusplus: "off", max-classes-per-file: "off", no-promise-executor-return: "off" */
/**
 * A small deployment on loopback: the daemon's processes, started with the command of the deploy
 * file and restarted by the platform when they end, beside the stand-ins of the store and of the
 * workers. All that is sent, answered and run goes to `record.txt`.
 */
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';

import { Store } from './store.mjs';
import { Worker } from './worker.mjs';

/** The bounds are those of the site `jhma-rounds`. */
const BOUNDS = {
  HoldMaxMs: 6_000,
  StopMs: 900,
  ConfigMs: 2_000,
  EvacuateMs: 5_000,
  DrainMs: 2_000,
  GraceS: 6,
};
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const RESTART_MS = 500;

export const HOST = 'review.example';
export const SERVICE = 'review-desk';

export const pause = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Fills the template of the deploy file, as far as it uses `{{a.b}}` and `{{a.b|json}}`. */
const fillTemplate = (text, fields) =>
  text.replaceAll(/\{\{([\w.]+)(\|json)?\}\}/gu, (_, path, asJson) => {
    const value = path.split('.').reduce((found, name) => found?.[name], fields);
    return asJson === undefined ? String(value) : JSON.stringify(value);
  });

const deployText = readFileSync('deploy/system.toml', 'utf8');
const fieldOf = (name) => new RegExp(`^${name} = "(.*)"$`, 'mu').exec(deployText)[1];

class Instance {
  #deployment;

  #name;

  #settingsFile;

  #child;

  /** Ends that the deployment didn't ask for. */
  ownEnds = 0;

  callersPort;

  constructor(deployment, name, zone, folder) {
    this.#deployment = deployment;
    this.#name = name;
    this.#settingsFile = join(folder, `${name}.json`);
    const any = '127.0.0.1:0';
    const settings = fillTemplate(readFileSync(fieldOf('template'), 'utf8'), {
      Node: name,
      Zone: zone,
      Ip: '127.0.0.1',
      Listen: { Front: any, Ready: any },
      platform: { Address: deployment.storeAddress },
      Bounds: BOUNDS,
      HeartbeatMs: 1_500,
      Limits: { CpuShare: 1, Cores: 1 },
    });
    // The port of the metrics is fixed in the template; here the system chooses it.
    writeFileSync(this.#settingsFile, settings.replace('127.0.0.1:9464', any));
  }

  get name() {
    return this.#name;
  }

  async start() {
    const [, ...words] = fieldOf('run').split(' ');
    const child = spawn(process.execPath, words, {
      env: { PATH: process.env.PATH, LANG: 'C', SNIPETHREAD_BOOT: this.#settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#child = child;
    this.isEndAsked = false;
    let errors = '';
    child.stderr.on('data', (chunk) => {
      errors += chunk;
    });
    const ended = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        this.callersPort = undefined;
        const last = errors.split('\n').find((line) => /FATAL ERROR|Error:/u.test(line)) ?? '';
        this.#deployment.note('process-ended', {
          name: this.#name,
          code,
          signal,
          isAsked: this.isEndAsked,
          last,
        });
        if (!this.isEndAsked) {
          this.ownEnds += 1;
          setTimeout(() => {
            if (!this.#deployment.isClosed) void this.start();
          }, RESTART_MS);
        }
        resolve();
      });
    });
    this.ended = ended;
    const listening = new Promise((resolve) => {
      createInterface({ input: child.stdout }).on('line', (line) => {
        const { event, callersPort, epoch } = JSON.parse(line);
        if (event === 'listening') {
          this.callersPort = callersPort;
          this.#deployment.note('listening', { name: this.#name });
          resolve();
        } else if (event === 'fleet-acquired') {
          this.#deployment.owner = this;
          this.#deployment.note('owner', { name: this.#name, epoch });
        }
      });
    });
    await Promise.race([listening, ended]);
  }

  /** Sends a signal; an end that follows is one that the test asked for. */
  signal(name) {
    if (name !== 'SIGSTOP' && name !== 'SIGCONT') this.isEndAsked = true;
    this.#child?.kill(name);
  }
}

export class Deployment {
  #folder = mkdtempSync(join(tmpdir(), 'review-'));

  #startedAt = performance.now();

  #lines = [];

  #runLines = new Map();

  store = new Store();

  workers = [];

  instances = [];

  events = [];

  isClosed = false;

  owner;

  /** Tells how the tasks of a submission work, by id: (step, index) => { workMs, end, cpu }. */
  tasks = new Map();

  now() {
    return Math.round(performance.now() - this.#startedAt);
  }

  /** Keeps what was sent, answered or run, and writes it to the record: one line, time first. */
  note(kind, fields = {}) {
    const event = { at: this.now(), kind, ...fields };
    this.events.push(event);
    if (kind === 'start' || kind === 'end') {
      this.#noteRun(event);
      return;
    }
    const texts = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
    this.#lines.push(`${event.at} ${kind} ${texts.join(' ')}`);
  }

  /** Starts and ends of runs on one worker within a tenth of a second share a line. */
  #noteRun({ at, kind, worker, task, run, how, fence }) {
    const group = `${kind === 'start' ? `start fence=${fence}` : how} ${worker}`;
    const known = this.#runLines.get(group);
    if (known !== undefined && at - known.at < 100) {
      this.#lines[known.index] += ` ${task}#${run}`;
      return;
    }
    this.#runLines.set(group, { at, index: this.#lines.length });
    this.#lines.push(`${at} ${group} ${task}#${run}`);
  }

  say(text) {
    this.#lines.push(`# ${text}`);
    console.log(text);
  }

  async start({ instances = 3, workers = 6, cpu = 32_000, memMb = 128_000, routes }) {
    const stop = () => this.instances.forEach((instance) => instance.signal('SIGKILL'));
    process.on('exit', stop);
    this.storeAddress = await this.store.listen();
    this.version = 1;
    this.configure(routes);
    for (let index = 0; index < workers; index += 1) {
      const worker = new Worker({
        id: `i-${(0x7f3a0000 + index).toString(16)}`,
        service: SERVICE,
        zone: ZONES[index % ZONES.length],
        rack: `r-${Math.floor(index / 8)}`,
        capacity: { Cpu: cpu, MemMb: memMb },
        store: this.store,
        taskOf: (name) => this.#taskOf(name),
        note: (kind, fields) => this.note(kind, fields),
      });
      this.workers.push(worker);
      await worker.start();
    }
    for (let index = 0; index < instances; index += 1) {
      const zone = ZONES[index % ZONES.length];
      this.instances.push(new Instance(this, `front-${zone}-${index + 1}`, zone, this.#folder));
    }
    await this.startInstances();
  }

  /** Starts all instances and waits until one of them schedules. */
  async startInstances() {
    this.owner = undefined;
    await Promise.all(this.instances.map((instance) => instance.start()));
    while (this.owner === undefined) await pause(50);
    await pause(1_000);
  }

  /** Stops all instances with SIGTERM. */
  async stopInstances() {
    this.instances.forEach((instance) => instance.signal('SIGTERM'));
    await Promise.all(this.instances.map(({ ended }) => ended));
  }

  /** Writes a configuration with these routes, as the operator does. */
  configure(routes) {
    this.version += 3;
    this.store.put('op', 'config', {
      Version: this.version,
      Routes: routes.map((route) => ({
        Host: HOST,
        Service: SERVICE,
        TimeoutMs: 3_000,
        Stretch: 2,
        SloMs: 1_000,
        ...route,
      })),
      Services: [{ Name: SERVICE }],
      Limits: {
        MaxHeaderBytes: 16_384,
        MaxBodyBytes: 262_144,
        HeaderTimeoutMs: 3_000,
        IdleTimeoutMs: 15_000,
      },
    });
    this.note('configuration', { version: this.version, routes: routes.map(({ Name }) => Name) });
  }

  #taskOf(name) {
    const [id, occurrence, step, index] = name.split('.');
    const rule = this.tasks.get(id) ?? (() => ({ workMs: 500, end: 'done', cpu: 0 }));
    return rule(Number(step), Number(index), Number(occurrence));
  }

  /** One call of a client, at any instance that listens or at the one given. */
  async call(method, path, body, instance) {
    const listening = this.instances.filter(({ callersPort }) => callersPort !== undefined);
    const chosen = instance ?? listening[Math.floor(Math.random() * listening.length)];
    const port = chosen?.callersPort;
    const sentAt = this.now();
    const answer =
      port === undefined
        ? { status: undefined }
        : await new Promise((resolve) => {
            const sent = request(
              {
                ...{ host: '127.0.0.1', port, method, path, agent: false, timeout: 3_500 },
                headers: {
                  host: HOST,
                  'content-type': 'application/json',
                  'snipethread-timeout-ms': '3000',
                },
              },
              (response) => {
                let text = '';
                response.on('data', (chunk) => {
                  text += chunk;
                });
                response.on('end', () => resolve({ status: response.statusCode, text }));
                response.on('error', () => resolve({ status: undefined }));
              },
            );
            sent.on('timeout', () => sent.destroy());
            sent.on('error', () => resolve({ status: undefined }));
            sent.end(body === undefined ? undefined : JSON.stringify(body));
          });
    let state;
    try {
      state = JSON.parse(answer.text ?? '{}').State;
    } catch {
      state = undefined;
    }
    this.note('call', { method, path, sentAt, status: answer.status, state });
    return { status: answer.status, state };
  }

  /** Hands a submission in, with the retries that the pages allow; true once it is accepted. */
  async submit(prefix, id, body) {
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const { status } = await this.call('POST', `${prefix}${id}`, body);
      if (status === 200) return true;
      await pause(300);
    }
    return false;
  }

  /** Whether no worker has run anything since the instant. */
  isIdleSince(at) {
    const isRun = ({ kind }) => kind === 'start' || kind === 'end';
    const hasRun = this.events.some((event) => event.at >= at && isRun(event));
    return !hasRun && this.workers.every(({ runCount }) => runCount === 0);
  }

  async close(recordFile) {
    this.isClosed = true;
    const isOver = Promise.all(this.instances.map((instance) => instance.ended));
    this.instances.forEach((instance) => {
      instance.signal('SIGCONT');
      instance.signal('SIGKILL');
    });
    await isOver;
    this.workers.forEach((worker) => worker.close());
    this.store.close();
    writeFileSync(recordFile, `${this.#lines.join('\n')}\n`);
    rmSync(this.#folder, { recursive: true });
  }
}

let lastId = 0;
export const newId = () => {
  lastId += 1;
  return (0x5c0e000000000000n + BigInt(lastId) * 0x10001n).toString(16).padStart(16, '0');
};
