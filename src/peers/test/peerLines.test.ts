import { connect, createServer, type Server, type Socket } from 'node:net';
import { once } from 'node:events';

import { afterEach, beforeEach, describe, expect, it } from 'vitest';

import { Emitter } from '../../base/common/event.js';
import { systemClock } from '../../base/node/systemClock.js';
import { silentMetrics } from '../../services/metrics/common/metrics.js';
import { settingsSchema } from '../../services/settings/common/settings.js';
import { silentTracing } from '../../services/tracing/common/tracing.js';
import { PeerLink } from '../node/peerLink.js';
import { PeerService } from '../node/peerService.js';

const HOST = '127.0.0.1';
/** Longer than the test may take: only a closed connection ends the call before. */
const SILENCE_TIMEOUT_MS = 600_000;
const HEARTBEAT = { instanceId: 'entry-2', configurationVersion: 0, isLeaving: false };

const serviceOf = (): PeerService => {
  const listen = { host: HOST };
  const origin = `http://${HOST}:1`;
  const settings = settingsSchema.parse({
    instanceId: 'entry-1',
    availabilityZone: 'zone-a',
    listen: { callers: listen, operators: listen, peers: listen },
    platform: { tableOrigin: origin, objectStoreOrigin: origin, instanceListOrigin: origin },
  });
  const configuration = {
    ...{ current: undefined, confirmedAtMs: 0, refresh: async () => {} },
    onDidChange: new Emitter<never>().event,
  };
  const directory = { instances: [], onDidChange: new Emitter<never>().event };
  return new PeerService(
    ...([settings, configuration, directory, systemClock] as const),
    ...([silentMetrics, silentTracing] as const),
  );
};

// Such a line threw in a handler of the connection and ended the process.
describe.each(['null', '[null]', '5', '[]', '[{"id":1}]', '"x"', '{'])(
  'a line that is no message: %s',
  (line) => {
    let server: Server;
    let socket: Socket;
    let service: PeerService;
    let servicePort = 0;

    beforeEach(async () => {
      service = serviceOf();
      servicePort = await service.listen(HOST, 0);
      server = createServer((peer) => peer.on('error', () => {}).write(`${line}\n`));
      await new Promise<void>((resolve) => {
        server.listen(0, HOST, resolve);
      });
    });

    afterEach(() => {
      socket?.destroy();
      service.dispose();
      server.close();
    });

    it('closes the connection of the peer that sends it', async () => {
      socket = connect(servicePort, HOST);
      const closed = once(socket, 'close');
      socket.write(`${line}\n`);
      await closed;
    });

    it('closes the connection to the peer that answers it', async () => {
      const address = server.address();
      const port = address !== null && typeof address === 'object' ? address.port : 0;
      const link = new PeerLink(
        ...([{ host: HOST, port }, systemClock, silentMetrics, silentTracing] as const),
        SILENCE_TIMEOUT_MS,
      );
      expect(await link.sendHeartbeat(HEARTBEAT)).toBeUndefined();
      link.dispose();
    });
  },
);
