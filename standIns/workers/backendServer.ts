/** A worker's backend server with a number of slots. It echoes the request to identify answers. */
import { setTimeout as delay } from 'node:timers/promises';

import Fastify, { type FastifyInstance } from 'fastify';

import { NOT_RUN_HEADER, SERVICE_HEADER } from '../../src/entry/common/headers.js';
import { listeningPort } from '../../src/services/http/node/listening.js';

const HTTP_UNAVAILABLE = 503;

export interface BackendServerOptions {
  readonly workerId: string;
  readonly slotCount: number;
  readonly serviceTimeMs: number;
  readonly hasService: (serviceName: string) => boolean;
  /** Called with the path of each request that runs. */
  readonly onRun?: (url: string) => void;
}

export class BackendServerStandIn {
  readonly #server: FastifyInstance = Fastify();

  readonly #options: BackendServerOptions;

  readonly #waiting: (() => void)[] = [];

  #busyCount = 0;

  constructor(options: BackendServerOptions) {
    this.#options = options;
    this.#server.all('/*', async (request, reply) => {
      const serviceName = String(request.headers[SERVICE_HEADER] ?? '');
      if (!options.hasService(serviceName)) {
        return reply.code(HTTP_UNAVAILABLE).header(NOT_RUN_HEADER, 'true').send({});
      }
      await this.#takeSlot();
      options.onRun?.(request.url);
      try {
        await delay(options.serviceTimeMs);
      } finally {
        this.#freeSlot();
      }
      return reply.send({ workerId: options.workerId, url: request.url, body: request.body });
    });
  }

  async listen(): Promise<number> {
    await this.#server.listen({ host: '127.0.0.1', port: 0 });
    return listeningPort(this.#server);
  }

  async close(): Promise<void> {
    await this.#server.close();
  }

  async #takeSlot(): Promise<void> {
    if (this.#busyCount >= this.#options.slotCount) {
      await new Promise<void>((resolve) => {
        this.#waiting.push(resolve);
      });
    }
    this.#busyCount += 1;
  }

  #freeSlot(): void {
    this.#busyCount -= 1;
    this.#waiting.shift()?.();
  }
}
