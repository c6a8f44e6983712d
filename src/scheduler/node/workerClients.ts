/** The clients for a cell's workers, each on its own connection. */
import type { Disposable } from '../../base/common/lifecycle.js';
import type { Tracing } from '../../services/tracing/common/tracing.js';
import { TracedWorkerClient } from '../../services/worker/common/tracedWorkerClient.js';
import type { WorkerClient } from '../../services/worker/common/workerClient.js';
import { HttpWorkerClient } from '../../services/worker/node/httpWorkerClient.js';

interface Entry {
  readonly origin: string;
  readonly connection: HttpWorkerClient;
  readonly client: WorkerClient;
}

/**
 * A worker that is replaced under the same id has a new address and gets a new client. Otherwise
 * the owner would call the old address forever and give up the new worker's tasks as lost. Clients
 * of workers that are gone are closed, because 110 instances are replaced on an ordinary day.
 */
export class WorkerClients implements Disposable {
  readonly #timeoutMs: number;

  readonly #tracing: Tracing;

  readonly #entries = new Map<string, Entry>();

  constructor(timeoutMs: number, tracing: Tracing) {
    this.#timeoutMs = timeoutMs;
    this.#tracing = tracing;
  }

  get size(): number {
    return this.#entries.size;
  }

  client(workerId: string, origin: string): WorkerClient {
    const known = this.#entries.get(workerId);
    if (known?.origin === origin) return known.client;
    known?.connection.dispose();
    const connection = new HttpWorkerClient(origin, this.#timeoutMs);
    const client = new TracedWorkerClient(connection, workerId, this.#tracing);
    this.#entries.set(workerId, { origin, connection, client });
    return client;
  }

  /** Closes the clients of all workers except these. */
  retain(workerIds: { has(workerId: string): boolean }): void {
    this.#entries.forEach(({ connection }, workerId) => {
      if (workerIds.has(workerId)) return;
      connection.dispose();
      this.#entries.delete(workerId);
    });
  }

  dispose(): void {
    this.retain(new Set<string>());
  }
}
