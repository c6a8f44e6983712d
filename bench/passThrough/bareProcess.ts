/**
 * The baseline that the daemon is compared with: a minimal proxy of fastify and one undici pool
 * that buffers bodies. Takes the backend server's origin and prints its port as one JSON line.
 */
import Fastify from 'fastify';
import { Pool } from 'undici';

import { listeningPort } from '../../src/services/http/node/listening.js';
import { CONNECTION_COUNT } from './load.js';

const pool = new Pool(process.argv[2] ?? '', { connections: CONNECTION_COUNT, pipelining: 1 });
const server = Fastify();
server.removeAllContentTypeParsers();
server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) => done(null, body));
server.all('/*', async (request, reply) => {
  const response = await pool.request({
    method: request.method,
    path: request.url,
    headers: { 'content-type': request.headers['content-type'] ?? 'text/plain' },
    body: Buffer.isBuffer(request.body) ? request.body : null,
  });
  const body = Buffer.from(await response.body.arrayBuffer());
  return reply
    .code(response.statusCode)
    .type(String(response.headers['content-type'] ?? 'text/plain'))
    .send(body);
});
await server.listen({ host: '127.0.0.1', port: 0 });
process.stdout.write(`${JSON.stringify({ port: listeningPort(server) })}\n`);
