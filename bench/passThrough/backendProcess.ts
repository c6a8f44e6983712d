/**
 * Runs the backend servers of the pass-through benchmark: one process that listens on several
 * ports and answers immediately. Prints its ports as one JSON line.
 */
import Fastify from 'fastify';

import { listeningPort } from '../../src/services/http/node/listening.js';

const ANSWER_BYTES = 512;
const DEFAULT_PORT_COUNT = 1;

const answer = Buffer.alloc(ANSWER_BYTES, 'a');

const startServer = async (): Promise<number> => {
  const server = Fastify();
  server.all('/*', (_request, reply) => reply.type('text/plain').send(answer));
  await server.listen({ host: '127.0.0.1', port: 0 });
  return listeningPort(server);
};

const portCount = Number(process.argv[2] ?? DEFAULT_PORT_COUNT);
const ports = await Promise.all(Array.from({ length: portCount }, startServer));
process.stdout.write(`${JSON.stringify({ ports })}\n`);
