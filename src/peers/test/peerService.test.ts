import { afterEach, describe, expect, it } from 'vitest';

import { Emitter } from '../../base/common/event.js';
import { SeededRandom } from '../../base/common/random.js';
import { systemClock } from '../../base/node/systemClock.js';
import type { ConfigurationService } from '../../services/configuration/common/configurationService.js';
import type { Instance } from '../../services/instanceList/common/instanceList.js';
import { silentMetrics } from '../../services/metrics/common/metrics.js';
import { settingsSchema } from '../../services/settings/common/settings.js';
import { OpenTelemetryTracing } from '../../services/tracing/node/openTelemetryTracing.js';
import { MemberState } from '../common/peerTable.js';
import { PeerService } from '../node/peerService.js';

const HOST = '127.0.0.1';
const HEARTBEAT_MS = 20;

const configuration: ConfigurationService = {
  current: undefined,
  confirmedAtMs: 0,
  onDidChange: new Emitter<never>().event,
  refresh: () => Promise.resolve(),
};

/** Daemons that exchange heartbeats over loopback and share an instance list that tests change. */
class Fleet {
  instances: readonly Instance[] = [];

  readonly tracings = new Map<string, OpenTelemetryTracing>();

  readonly services = new Map<string, PeerService>();

  async add(id: string, sampleRatio = 0): Promise<PeerService> {
    const listen = { host: HOST };
    const origin = 'http://127.0.0.1:9';
    const settings = settingsSchema.parse({
      instanceId: id,
      availabilityZone: 'zone-a',
      listen: { callers: listen, operators: listen, peers: listen },
      platform: { tableOrigin: origin, objectStoreOrigin: origin, instanceListOrigin: origin },
      peers: { heartbeatIntervalMs: HEARTBEAT_MS },
    });
    const tracing = new OpenTelemetryTracing(sampleRatio, 100, new SeededRandom(1));
    const service = new PeerService(
      settings,
      configuration,
      this.#directory(),
      systemClock,
      silentMetrics,
      tracing,
    );
    this.tracings.set(id, tracing);
    this.services.set(id, service);
    const port = await service.listen(HOST, 0);
    const address = { host: HOST, port };
    const daemon = { kind: 'daemon' as const, id, availabilityZone: 'zone-a' };
    const addresses = { peerAddress: address, operatorAddress: address };
    this.instances = [...this.instances, { ...daemon, state: 'live', ...addresses }];
    return service;
  }

  dispose(): void {
    this.services.forEach((service) => service.dispose());
  }

  #directory() {
    const read = (): readonly Instance[] => this.instances;
    return {
      get instances() {
        return read();
      },
      onDidChange: new Emitter<readonly Instance[]>().event,
    };
  }
}

/** Polls until the condition holds; the timeout of the test bounds the wait. */
const waitUntil = async (isReached: () => boolean): Promise<void> => {
  while (!isReached()) {
    // eslint-disable-next-line no-await-in-loop
    await new Promise((resolve) => {
      setTimeout(resolve, 5);
    });
  }
};

const fleets: Fleet[] = [];
const createFleet = (): Fleet => {
  const fleet = new Fleet();
  fleets.push(fleet);
  return fleet;
};
afterEach(() => fleets.splice(0).forEach((fleet) => fleet.dispose()));

describe('the serving count of a daemon', () => {
  // When an entry instance is replaced, the platform's list names it for a while longer. The other
  // instances would go on reserving a share of the workers' slots for it that it no longer uses.
  it('excludes a leaving daemon before the instance list does', async () => {
    const fleet = createFleet();
    const [one, two] = [await fleet.add('one'), await fleet.add('two')];
    await waitUntil(() => one.members.get('two') === MemberState.Live);
    expect(one.servingCount).toBe(2);
    let changeCount = 0;
    one.onDidChangeMembers(() => {
      changeCount += 1;
    });
    two.announceLeaving();
    await waitUntil(() => one.members.get('two') === MemberState.Leaving);
    expect(one.servingCount).toBe(1);
    expect(two.members.get('two')).toBe(MemberState.Leaving);
    await waitUntil(() => changeCount > 0);
  });

  // An entry instance has started and takes requests, but the instance list does not name it yet.
  it('includes a new daemon before the instance list does', async () => {
    const fleet = createFleet();
    const one = await fleet.add('one');
    await fleet.add('two');
    const [listedOne] = fleet.instances;
    // The new daemon finds the other one in the list. Then the list stops naming the new daemon.
    const listed = fleet.instances;
    await waitUntil(() => one.members.get('two') === MemberState.Live);
    fleet.instances = [listedOne as Instance];
    expect(one.members.get('two')).toBe(MemberState.Live);
    expect(one.servingCount).toBe(2);
    fleet.instances = listed;
  });
});

describe('a sampled heartbeat', () => {
  // The answering daemon's span is a child of the sending daemon's span, so that an operator sees
  // where the time of a peer call is spent.
  it('belongs to one trace on both daemons', async () => {
    const fleet = createFleet();
    await fleet.add('one', 1);
    await fleet.add('two');
    const answerSpans = () => {
      const ring = fleet.tracings.get('two')?.ring;
      return ring?.traceIds().flatMap((id) => ring.find(id)) ?? [];
    };
    await waitUntil(() => answerSpans().length > 0);
    const [answer] = answerSpans();
    const requestSpans = () => fleet.tracings.get('one')?.ring.find(answer?.traceId ?? '') ?? [];
    await waitUntil(() => requestSpans().length > 0);
    expect(requestSpans().map(({ spanId }) => spanId)).toContain(answer?.parentSpanId);
    expect(answer?.fields).toMatchObject({ call: 'heartbeat', from: 'one' });
  });
});
