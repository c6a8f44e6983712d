/**
 * A port that neither answers nor refuses connections, like the address of a machine that is gone.
 * A blocked thread listens on the port at each host and never accepts, with a full backlog.
 */
import { createConnection, type Socket } from 'node:net';
import { Worker } from 'node:worker_threads';

const TAKE_OVER = 0;
const LISTENING = 1;
const LISTEN_TIMEOUT_MS = 2_000;
/** The number of connections that fill a backlog of one. */
const QUEUED_CONNECTIONS = 2;

const LISTENER_SOURCE = `
const { workerData: { port, hosts, signal } } = require('node:worker_threads');
Atomics.wait(signal, ${TAKE_OVER}, 0);
let left = hosts.length;
hosts.forEach((host) => require('node:net').createServer().listen({ port, host, backlog: 1 }, () => {
  left -= 1;
  if (left > 0) return;
  Atomics.store(signal, ${LISTENING}, 1);
  Atomics.notify(signal, ${LISTENING});
  Atomics.wait(signal, ${TAKE_OVER}, 1);
}));`;

export class SilentPort {
  readonly #port: number;

  readonly #hosts: readonly string[];

  readonly #signal = new Int32Array(new SharedArrayBuffer(8));

  readonly #thread: Worker;

  readonly #queued: Socket[] = [];

  /** Starts the thread in advance, so that the port refuses only for an instant at the takeover. */
  constructor(port: number, hosts: readonly string[]) {
    this.#port = port;
    this.#hosts = hosts;
    const workerData = { port, hosts, signal: this.#signal };
    this.#thread = new Worker(LISTENER_SOURCE, { eval: true, workerData });
    this.#thread.on('error', () => {});
  }

  /** Listens on the port, which must be free. Returns false if that fails. */
  takeOver(): boolean {
    Atomics.store(this.#signal, TAKE_OVER, 1);
    Atomics.notify(this.#signal, TAKE_OVER);
    const isTaken = Atomics.wait(this.#signal, LISTENING, 0, LISTEN_TIMEOUT_MS) !== 'timed-out';
    const hosts = isTaken ? this.#hosts : [];
    hosts
      .flatMap((host) => Array.from({ length: QUEUED_CONNECTIONS }, () => host))
      .forEach((host) => {
        const socket = createConnection(this.#port, host);
        socket.on('error', () => {});
        this.#queued.push(socket);
      });
    return isTaken;
  }

  async close(): Promise<void> {
    await this.#thread.terminate();
    this.#queued.forEach((socket) => socket.destroy());
  }
}
