/** The clients of a cell's workers, each on a connection of its own. */
import type { Disposable } from '../../base/common/lifecycle.js';
import { HttpWorkerClient } from '../../platform/worker/node/httpWorkerClient.js';

interface Entry {
  readonly origin: string;
  readonly client: HttpWorkerClient;
}

/**
 * A worker that is replaced under the same id has another address: its client is made anew, or
 * the owner would call the old address for ever and give the new worker's tasks up as lost.
 * Clients of workers that are gone are closed; 110 instances are replaced on an ordinary day.
 */
export class WorkerClients implements Disposable {
  readonly #timeoutMs: number;

  readonly #entries = new Map<string, Entry>();

  constructor(timeoutMs: number) {
    this.#timeoutMs = timeoutMs;
  }

  get size(): number {
    return this.#entries.size;
  }

  client(workerId: string, origin: string): HttpWorkerClient {
    const known = this.#entries.get(workerId);
    if (known?.origin === origin) return known.client;
    known?.client.dispose();
    const client = new HttpWorkerClient(origin, this.#timeoutMs);
    this.#entries.set(workerId, { origin, client });
    return client;
  }

  /** Closes the clients of all workers but these. */
  retain(workerIds: { has(workerId: string): boolean }): void {
    this.#entries.forEach(({ client }, workerId) => {
      if (workerIds.has(workerId)) return;
      client.dispose();
      this.#entries.delete(workerId);
    });
  }

  dispose(): void {
    this.retain(new Set<string>());
  }
}
