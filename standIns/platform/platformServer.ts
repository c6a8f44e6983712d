/** Serves the table, object store and instance list of the platform on one HTTP server. */
import { createHash } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';

import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { z } from 'zod';

import { SeededRandom } from '../../src/base/common/random.js';
import { listeningPort } from '../../src/services/http/node/listening.js';
import {
  type Instance,
  instanceListSchema,
} from '../../src/services/instanceList/common/instanceList.js';
import { readRequestSchema, transactionSchema } from '../../src/services/table/common/tableWire.js';
import { type Faults, faultsSchema, NO_FAULTS } from './faults.js';
import { TableStandIn } from './tableStandIn.js';

const HTTP_UNAVAILABLE = 503;
const MAXIMUM_BODY_BYTES = 64 * 1024 * 1024;
const objectSchema = z.strictObject({ name: z.string().min(1) });

export class PlatformServer {
  readonly table = new TableStandIn();

  readonly #server: FastifyInstance = Fastify({ bodyLimit: MAXIMUM_BODY_BYTES });

  readonly #objects = new Set<string>();

  readonly #random: SeededRandom;

  #instances: readonly Instance[] = [];

  #instancesTag = '"none"';

  #faults: Faults = NO_FAULTS;

  constructor(seed: number) {
    this.#random = new SeededRandom(seed);
    this.#server.addHook('preHandler', async (request, reply) => {
      const isRefused = !request.url.startsWith('/control/') && (await this.#isFaulty());
      if (isRefused) await reply.code(HTTP_UNAVAILABLE).send({ message: 'out of order' });
    });
    this.#addTableRoutes();
    this.#addObjectRoutes();
    this.#addInstanceRoutes();
    this.#server.post('/control/faults', (request) => {
      this.#faults = faultsSchema.parse(request.body);
      return {};
    });
    this.#server.get('/control/counts', () => this.table.counts);
  }

  async listen(): Promise<number> {
    await this.#server.listen({ host: '127.0.0.1', port: 0 });
    return listeningPort(this.#server);
  }

  async close(): Promise<void> {
    await this.#server.close();
  }

  #addTableRoutes(): void {
    this.#server.post('/v1/table/read', (request) =>
      this.table.read(readRequestSchema.parse(request.body)),
    );
    this.#server.post('/v1/table/transact', (request, reply) => {
      const result = this.table.transact(transactionSchema.parse(request.body));
      if (this.#random.nextFraction() >= this.#faults.lostAnswerRatio) return result;
      reply.raw.destroy();
      return reply.hijack();
    });
  }

  #addObjectRoutes(): void {
    this.#server.post('/v1/objects/put', async (request) => {
      this.#objects.add(objectSchema.parse(request.body).name);
      return true;
    });
    this.#server.post('/v1/objects/exists', (request, reply) =>
      reply.send(JSON.stringify(this.#objects.has(objectSchema.parse(request.body).name))),
    );
  }

  #addInstanceRoutes(): void {
    const handler = (request: FastifyRequest, reply: FastifyReply) => {
      reply.header('etag', this.#instancesTag);
      const isKnown = request.headers['if-none-match'] === this.#instancesTag;
      return isKnown ? reply.code(304).send() : { instances: this.#instances };
    };
    this.#server.route({ method: ['GET', 'POST'], url: '/v1/instances/list', handler });
    this.#server.post('/control/instances', (request) => {
      this.#instances = instanceListSchema.parse(request.body).instances;
      this.#instancesTag = `"${createHash('sha256').update(JSON.stringify(this.#instances)).digest('hex')}"`;
      return {};
    });
  }

  async #isFaulty(): Promise<boolean> {
    if (this.#faults.delayMs > 0) await delay(this.#faults.delayMs);
    return this.#faults.isDown;
  }
}
