/** A platform's instance list over HTTP, with the optional features that platforms differ in. */
import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';

import { listeningPort } from '../../http/node/listening.js';
import type { Instance } from '../common/instanceList.js';

export const workerNamed = (id: string, state: 'live' | 'leaving' = 'live'): Instance => ({
  kind: 'worker',
  id,
  availabilityZone: 'zone-a',
  rack: 'r0',
  state,
  controlAddress: { host: '127.0.0.1', port: 1 },
  backendAddress: { host: '127.0.0.1', port: 2 },
  capacity: { processorMillis: 1_000, memoryBytes: 1_000, acceleratorCount: 0 },
  slotCount: 8,
  connectionCount: 64,
});

export class ListPlatform {
  instances: readonly unknown[] = [];

  /** The entity tag of the current list; undefined if the platform does not support tags. */
  etag: string | undefined;

  supportsGet = true;

  isDown = false;

  /** The request method and status code of each answer, in order. */
  readonly answers: string[] = [];

  readonly #server: FastifyInstance = Fastify();

  constructor() {
    const handler = (request: FastifyRequest, reply: FastifyReply): FastifyReply =>
      this.#answer(request, reply);
    this.#server.route({ method: ['GET', 'POST'], url: '/v1/instances/list', handler });
  }

  async listen(): Promise<string> {
    await this.#server.listen({ host: '127.0.0.1', port: 0 });
    return `http://127.0.0.1:${listeningPort(this.#server)}`;
  }

  async close(): Promise<void> {
    await this.#server.close();
  }

  #answer(request: FastifyRequest, reply: FastifyReply): FastifyReply {
    const statusCode = this.#statusCode(request);
    this.answers.push(`${request.method} ${statusCode}`);
    if (this.etag !== undefined) void reply.header('etag', this.etag);
    void reply.code(statusCode);
    return statusCode === 200 ? reply.send({ instances: this.instances }) : reply.send();
  }

  #statusCode(request: FastifyRequest): number {
    if (this.isDown) return 503;
    if (request.method === 'GET' && !this.supportsGet) return 405;
    const isKnown = this.etag !== undefined && request.headers['if-none-match'] === this.etag;
    return isKnown ? 304 : 200;
  }
}
