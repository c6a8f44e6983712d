/**
 * A port that neither answers nor refuses, as the address of a machine that is gone: a thread
 * listens on it, at each of its addresses, and never accepts, and its queue is full.
 */
import { createConnection, type Socket } from 'node:net';
import { Worker } from 'node:worker_threads';

const TAKE_OVER = 0;
const LISTENING = 1;
const LISTEN_TIMEOUT_MS = 2_000;
/** What a queue of length one takes. */
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

  /** Prepares the thread, so that the port refuses for an instant only when it is taken over. */
  constructor(port: number, hosts: readonly string[]) {
    this.#port = port;
    this.#hosts = hosts;
    const workerData = { port, hosts, signal: this.#signal };
    this.#thread = new Worker(LISTENER_SOURCE, { eval: true, workerData });
    this.#thread.on('error', () => {});
  }

  /** Takes the port, which must be free; false when it could not. */
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
