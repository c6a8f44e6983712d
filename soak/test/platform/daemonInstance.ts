/** An instance of the daemon: its process, settings file, store relay and log files. */
import { type ChildProcess, spawn } from 'node:child_process';
import { once } from 'node:events';
import { createWriteStream, type WriteStream } from 'node:fs';
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { createInterface } from 'node:readline';

import { Pool } from 'undici';

import { SilentRelay } from '../../../standIns/relay/silentRelay.js';
import {
  CONFIGURATION_BOUND_MS,
  DRAIN_BOUND_MS,
  MAXIMUM_LEASE_MS,
  REPORT_INTERVAL_MS,
  STOP_MS,
  WITHDRAWAL_BOUND_MS,
} from './fleetWorkerOptions.js';
import type { Zone } from './soakTypes.js';

const BUNDLED_PROGRAM = [
  '--max-old-space-size=160',
  '--max-semi-space-size=4',
  'target/snipethread.cjs',
];
const GRACE_SECONDS = 6;
const CLIENT_CONNECTIONS = 4;
const KEEP_ALIVE_MS = 60_000;
const MS_PER_SECOND = 1_000;
const START_TIMEOUT_MS = 15_000;

export interface InstanceOptions {
  readonly id: string;
  readonly zone: Zone;
  readonly folder: string;
  readonly storePort: number;
  /** The address of the instance's store relay. The store's port must be free at this address. */
  readonly relayHost: string;
  readonly onUnexpectedExit: (text: string) => void;
  /** The arguments of Node.js that start the daemon; by default, those of the bundle. */
  readonly program?: readonly string[];
}

interface DaemonProcess {
  readonly child: ChildProcess;
  readonly exited: Promise<void>;
  readonly log: WriteStream;
  isEndRequested: boolean;
}

export class DaemonInstance {
  readonly #options: InstanceOptions;

  readonly #storeRelay: SilentRelay;

  #process: DaemonProcess | undefined;

  #startCount = 0;

  /** Host and port of the store relay, by which the store identifies this instance's calls. */
  storeHost = '';

  /** Client connections, which stay open until the process ends. Undefined if none runs. */
  pool: Pool | undefined;

  /** The relay between the clients and the current process. */
  callerRelay: SilentRelay | undefined;

  /** The port for callers of the current process, past the relay. Undefined if none runs. */
  callersPort: number | undefined;

  isFrozen = false;

  constructor(options: InstanceOptions) {
    this.#options = options;
    this.#storeRelay = new SilentRelay(options.storePort, options.relayHost);
  }

  get id(): string {
    return this.#options.id;
  }

  get zone(): Zone {
    return this.#options.zone;
  }

  /** Whether the process runs, is not frozen and was not asked to end. */
  get isSteady(): boolean {
    return this.pool !== undefined && this.#process?.isEndRequested === false && !this.isFrozen;
  }

  /** How often the process was started. */
  get startCount(): number {
    return this.#startCount;
  }

  get storeRelay(): SilentRelay {
    return this.#storeRelay;
  }

  async prepare(): Promise<void> {
    const { relayHost, storePort } = this.#options;
    this.storeHost = `${relayHost}:${await this.#storeRelay.listen(storePort)}`;
    const anyFreePort = '127.0.0.1:0';
    const settings = {
      instanceId: this.id,
      availabilityZone: this.#options.zone,
      listen: { callers: anyFreePort, readiness: anyFreePort, metrics: anyFreePort },
      storeAddress: this.storeHost,
      maximumLeaseMs: MAXIMUM_LEASE_MS,
      workerReportIntervalMs: REPORT_INTERVAL_MS,
      workerStopMs: STOP_MS,
      configurationBoundMs: CONFIGURATION_BOUND_MS,
      withdrawalBoundMs: WITHDRAWAL_BOUND_MS,
      drainBoundMs: DRAIN_BOUND_MS,
      graceSeconds: GRACE_SECONDS,
      processor: { share: 1, speed: 1 },
    };
    await writeFile(this.#settingsPath, JSON.stringify(settings));
  }

  /** Starts the process. Resolves when the process listens or has ended. */
  async start(): Promise<void> {
    this.#startCount += 1;
    this.isFrozen = false;
    const logPath = join(this.#options.folder, `${this.id}-${this.#startCount}.log`);
    const log = createWriteStream(logPath);
    const { program = BUNDLED_PROGRAM } = this.#options;
    const child = spawn(process.execPath, [...program, this.#settingsPath], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const exited = once(child, 'exit').then(([code, signal]) => {
      log.write(`${JSON.stringify({ event: 'process-ended', code, signal })}\n`);
      this.#noteExit(`${this.id} ended unexpectedly with ${code ?? signal}, see ${logPath}`);
    });
    this.#process = { child, exited, log, isEndRequested: false };
    child.stderr.on('data', (chunk) => log.write(chunk));
    const listening = new Promise<void>((resolve) => {
      createInterface({ input: child.stdout }).on('line', (line) => {
        log.write(`${line}\n`);
        if (this.callerRelay !== undefined || !line.includes('"listening"')) return;
        const { callersPort } = JSON.parse(line) as { readonly callersPort: number };
        this.callersPort = callersPort;
        void this.#openToClients(callersPort).then(resolve);
      });
    });
    const timer = setTimeout(() => child.kill('SIGKILL'), START_TIMEOUT_MS);
    await Promise.race([listening, exited]);
    clearTimeout(timer);
  }

  /** Asks the process to end and waits for it. Returns false if it had to be killed. */
  async stop(): Promise<boolean> {
    const daemonProcess = this.#requestEnd();
    if (daemonProcess === undefined) return true;
    let isInTime = true;
    const timer = setTimeout(() => {
      isInTime = false;
      daemonProcess.child.kill('SIGKILL');
    }, GRACE_SECONDS * MS_PER_SECOND);
    daemonProcess.child.kill('SIGTERM');
    await daemonProcess.exited;
    clearTimeout(timer);
    return isInTime;
  }

  async kill(): Promise<void> {
    const daemonProcess = this.#requestEnd();
    daemonProcess?.child.kill('SIGKILL');
    await daemonProcess?.exited;
  }

  freeze(): void {
    this.isFrozen = true;
    this.#process?.child.kill('SIGSTOP');
  }

  resume(): void {
    this.isFrozen = false;
    this.#process?.child.kill('SIGCONT');
  }

  async close(): Promise<void> {
    await this.kill();
    this.#storeRelay.close();
  }

  /** Kills the process without waiting. For the exit handler of the soak process. */
  killNow(): void {
    this.#process?.child.kill('SIGKILL');
  }

  async #openToClients(callersPort: number): Promise<void> {
    const relay = new SilentRelay(callersPort);
    this.callerRelay = relay;
    const origin = `http://127.0.0.1:${await relay.listen()}`;
    // The process may have ended while the relay started to listen.
    if (this.callerRelay !== relay) return;
    this.pool = new Pool(origin, {
      connections: CLIENT_CONNECTIONS,
      keepAliveTimeout: KEEP_ALIVE_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_MS,
    });
  }

  #requestEnd(): DaemonProcess | undefined {
    if (this.#process !== undefined) this.#process.isEndRequested = true;
    return this.#process;
  }

  #noteExit(text: string): void {
    const daemonProcess = this.#process;
    daemonProcess?.log.end();
    void this.pool?.destroy();
    this.pool = undefined;
    this.callersPort = undefined;
    this.callerRelay?.close();
    this.callerRelay = undefined;
    this.#process = undefined;
    if (daemonProcess?.isEndRequested === false) this.#options.onUnexpectedExit(text);
  }

  get #settingsPath(): string {
    return join(this.#options.folder, `${this.id}.json`);
  }
}
