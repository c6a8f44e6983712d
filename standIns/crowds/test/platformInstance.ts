/** One process of the platform's daemon, with a stand-in for the store. */
import { type ChildProcess, execFile } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { promisify } from 'node:util';

import { request } from 'undici';

import { StoreServer } from '../../../platform/test/storeServer.js';
import { type ProcessLimits, spawnLimited } from './processUsage.js';

const HOST = '127.0.0.1';
export const QUEUE_HOST = 'queue.example';
const QUEUE_PATH = '/queue/';
const PROGRAM = 'target/snipethread.cjs';
const MAXIMUM_SEMI_SPACE = '--max-semi-space-size=4';
const MAXIMUM_BODY_BYTES = 262_144;
const MAXIMUM_HEADER_BYTES = 16_384;

const CONFIGURATION = {
  Version: 1,
  Services: [{ Name: 'service' }],
  Routes: [{ Name: 'queue', Host: QUEUE_HOST, Prefix: QUEUE_PATH, Service: 'service' }],
  Limits: { MaxBodyBytes: MAXIMUM_BODY_BYTES, MaxHeaderBytes: MAXIMUM_HEADER_BYTES },
};

/** Builds the program that `PlatformInstance` starts. */
export const buildProgram = async (): Promise<void> => {
  await promisify(execFile)(process.execPath, ['tools/bundle.mjs']);
};

const freePort = async (): Promise<number> => {
  const server = createServer().listen(0, HOST);
  await once(server, 'listening');
  const { port } = server.address() as { readonly port: number };
  server.close();
  await once(server, 'close');
  return port;
};

export const idOf = (index: number): string => index.toString(16).padStart(16, '0');
export const pathOf = (index: number): string => `${QUEUE_PATH}${idOf(index)}`;

/** The body of a submission whose text has the given length. */
export const submissionText = (specLength: number): string =>
  JSON.stringify({ Spec: 's'.repeat(specLength), Steps: [{ Count: 1, Cpu: 500, MemMb: 256 }] });

export class PlatformInstance {
  readonly store = new StoreServer();

  callersPort = 0;

  readinessPort = 0;

  metricsPort = 0;

  /** What the process wrote on standard error. */
  errorText = '';

  #child: ChildProcess | undefined;

  #folder = '';

  async start(limits: ProcessLimits): Promise<void> {
    const storeAddress = await this.store.listen();
    this.store.put('op', 'config', CONFIGURATION);
    this.metricsPort = await freePort();
    const anyFreePort = `${HOST}:0`;
    const settings = {
      instanceId: 'instance',
      availabilityZone: 'zone-a',
      listen: {
        callers: anyFreePort,
        readiness: anyFreePort,
        metrics: `${HOST}:${this.metricsPort}`,
      },
      storeAddress,
      maximumLeaseMs: 6_000,
      workerReportIntervalMs: 1_500,
      workerStopMs: 900,
      configurationBoundMs: 2_000,
      withdrawalBoundMs: 5_000,
      drainBoundMs: 2_000,
      graceSeconds: 6,
      processor: { share: 1, speed: 1 },
    };
    this.#folder = await mkdtemp(join(tmpdir(), 'snipethread-crowd-'));
    const file = join(this.#folder, 'settings.json');
    await writeFile(file, JSON.stringify(settings));
    const child = spawnLimited([MAXIMUM_SEMI_SPACE, PROGRAM, file], limits);
    this.#child = child;
    child.stderr?.on('data', (chunk: Buffer) => {
      this.errorText += chunk.toString();
    });
    await this.#waitUntilListening(child);
    await this.#waitUntilServing();
  }

  get processId(): number {
    return this.#child?.pid ?? 0;
  }

  get hasEnded(): boolean {
    return this.#child?.exitCode !== null || this.#child.signalCode !== null;
  }

  /** Submits as an ordinary caller, over a new connection; returns the status of the answer. */
  async submit(index: number): Promise<number> {
    const answer = await request(`http://${HOST}:${this.callersPort}${pathOf(index)}`, {
      method: 'POST',
      headers: { host: QUEUE_HOST, 'content-type': 'application/json' },
      body: submissionText(1_000),
      reset: true,
    });
    await answer.body.dump();
    return answer.statusCode;
  }

  async dispose(): Promise<void> {
    if (!this.hasEnded && this.#child !== undefined) {
      this.#child.kill('SIGKILL');
      await once(this.#child, 'exit');
    }
    await this.store.close();
    await rm(this.#folder, { recursive: true, force: true });
  }

  async #waitUntilListening(child: ChildProcess): Promise<void> {
    if (child.stdout === null) throw new Error('the daemon has no output');
    const lines = createInterface({ input: child.stdout });
    await new Promise<void>((resolve, reject) => {
      child.once('exit', () => reject(new Error(`the daemon ended: ${this.errorText}`)));
      lines.on('line', (line) => {
        if (!line.includes('"listening"')) return;
        const ports = JSON.parse(line) as { callersPort: number; readinessPort: number };
        this.callersPort = ports.callersPort;
        this.readinessPort = ports.readinessPort;
        resolve();
      });
    });
  }

  async #waitUntilServing(): Promise<void> {
    for (;;) {
      // eslint-disable-next-line no-await-in-loop -- the timeout of the test limits the wait
      if ((await this.submit(0)) === 200) return;
    }
  }
}
