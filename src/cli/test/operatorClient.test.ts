import { type AddressInfo, createServer, type Server } from 'node:net';

import { left } from 'fp-ts/lib/Either.js';
import { afterEach, describe, expect, it } from 'vitest';

import { OperatorClient } from '../node/operatorClient.js';

const servers: Server[] = [];

const listen = async (server: Server): Promise<string> => {
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const stop = (server: Server): Promise<unknown> =>
  new Promise((resolve) => {
    server.close(resolve);
  });

afterEach(async () => {
  await Promise.all(servers.splice(0).map(stop));
});

describe('an operator whose daemon does not answer', () => {
  // The daemon named by the address is gone. The operator used to be told `store-answer-lost`
  // and that the plan may have been carried out, although nothing had left the tool.
  it('is told that nothing was run when no daemon took the call', async () => {
    const server = createServer();
    const origin = await listen(server);
    await stop(server);
    const answer = await new OperatorClient(origin, 'token').post('/v1/plans', {});
    expect(answer).toMatchObject(left({ error: 'daemon-unreachable', workOutcome: 'not-run' }));
  });

  // The daemon dies after it has read a confirmation. Whether it was carried out is open, and
  // saying "not run" would have the operator confirm something else on top of it.
  it('is told that the outcome is unknown when the connection ends without an answer', async () => {
    const origin = await listen(createServer((socket) => socket.once('data', () => socket.end())));
    const answer = await new OperatorClient(origin, 'token').post('/v1/plans/p/confirm', {});
    expect(answer).toMatchObject(left({ error: 'daemon-answer-lost', workOutcome: 'unknown' }));
  });
});
