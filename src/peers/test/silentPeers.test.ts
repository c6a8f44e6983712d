import { afterEach, describe, expect, it } from 'vitest';

import { Silence, SilentRelay } from '../../../standIns/relay/silentRelay.js';
import { type Disposable, toDisposable } from '../../base/common/lifecycle.js';
import { systemClock } from '../../base/node/systemClock.js';
import type { DaemonInstance } from '../../services/instanceList/common/instanceList.js';
import { type Metrics, silentMetrics } from '../../services/metrics/common/metrics.js';
import { settingsSchema } from '../../services/settings/common/settings.js';
import { silentTracing } from '../../services/tracing/common/tracing.js';
import { PeerService } from '../node/peerService.js';

const HOST = '127.0.0.1';
/** Options for polling a state; the timeout of the test bounds the wait, too. */
const POLL_OPTIONS = { timeout: 20_000 };
const noEvent = (): Disposable => toDisposable(() => {});
const cleanups: (() => unknown)[] = [];
afterEach(async () => {
  await Promise.all(cleanups.splice(0).map((cleanup) => cleanup()));
});

const settingsOf = (instanceId: string) => {
  const listen = { host: HOST };
  const origin = `http://${HOST}:1`;
  return settingsSchema.parse({
    instanceId,
    availabilityZone: 'zone-a',
    listen: { callers: listen, operators: listen, peers: listen },
    platform: { tableOrigin: origin, objectStoreOrigin: origin, instanceListOrigin: origin },
    peers: { heartbeatIntervalMs: 50, silenceTimeoutMs: 200 },
  });
};

const daemon = (id: string, port: number): DaemonInstance => ({
  kind: 'daemon',
  id,
  availabilityZone: 'zone-a',
  state: 'live',
  peerAddress: { host: HOST, port },
  operatorAddress: { host: HOST, port: 1 },
});

/** Starts the peer service of a daemon whose instance list names the daemon and the others. */
const startPeer = async (
  id: string,
  others: readonly DaemonInstance[],
  metrics: Metrics = silentMetrics,
): Promise<{ service: PeerService; port: number }> => {
  const configuration = {
    current: undefined,
    confirmedAtMs: 0,
    onDidChange: noEvent,
    refresh: () => Promise.resolve(),
  };
  const directory = { instances: [daemon(id, 1), ...others], onDidChange: noEvent };
  const service = new PeerService(
    settingsOf(id),
    configuration,
    directory,
    systemClock,
    metrics,
    silentTracing,
  );
  cleanups.push(() => service.dispose());
  return { service, port: await service.listen(HOST, 0) };
};

describe('the connection between two daemons', () => {
  // A device between the daemons loses track of their connection in one direction or both: written
  // data vanishes and nothing closes, while new connections work. The linking daemon must detect
  // the silence, close the connection and hear its peer over a new one. The accepting daemon must
  // close the old connection as well. With the default settings this takes at most 3 s + 1 s, and
  // 6 s for the accepting daemon.
  it.each([Silence.ToServer, Silence.ToClient, Silence.Both])(
    'is detected as silent, closed and replaced (lost direction: %s)',
    async (direction) => {
      const counters = new Map<string, number>();
      const count = (name: string): unknown => counters.set(name, (counters.get(name) ?? 0) + 1);
      const accepting = await startPeer('d2', []);
      const relay = new SilentRelay(accepting.port);
      cleanups.push(() => relay.close());
      const listed = [daemon('d2', await relay.listen())];
      const { service } = await startPeer('d1', listed, {
        ...silentMetrics,
        count: (name) => void count(name),
      });
      await expect.poll(() => service.members.get('d2')).toBe('live');
      const countBefore = relay.connectionCount;
      relay.silenceAll(direction);
      await expect.poll(() => relay.connectionCount, POLL_OPTIONS).toBeGreaterThan(countBefore);
      await expect.poll(() => service.members.get('d2'), POLL_OPTIONS).toBe('live');
      await expect.poll(() => accepting.service.members.get('d1'), POLL_OPTIONS).toBe('live');
      await expect.poll(() => relay.openSilentCount, POLL_OPTIONS).toBe(0);
      expect(counters.get('peer_link_replaced')).toBeGreaterThan(0);
      // Both daemons have closed the old connection, so one from the relay to the server remains.
      await expect.poll(() => relay.openToServerCount, POLL_OPTIONS).toBe(1);
    },
    30_000,
  );
});
