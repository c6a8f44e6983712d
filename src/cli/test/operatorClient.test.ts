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

describe('OperatorClient without an answer from the daemon', () => {
  // No daemon listens at the address. Guards against reporting `store-answer-lost` and that the
  // plan may have been executed, although the tool sent nothing.
  it('reports that nothing ran if no daemon accepted the connection', async () => {
    const server = createServer();
    const origin = await listen(server);
    await stop(server);
    const answer = await new OperatorClient(origin, 'token').post('/v1/plans', {});
    expect(answer).toMatchObject(left({ error: 'daemon-unreachable', workOutcome: 'not-run' }));
  });

  // The daemon dies after it has read a confirmation, which may or may not have been executed. With
  // "not run" the operator would confirm another plan on top of it.
  it('reports an unknown outcome if the connection ends without an answer', async () => {
    const origin = await listen(createServer((socket) => socket.once('data', () => socket.end())));
    const answer = await new OperatorClient(origin, 'token').post('/v1/plans/p/confirm', {});
    expect(answer).toMatchObject(left({ error: 'daemon-answer-lost', workOutcome: 'unknown' }));
  });
});
