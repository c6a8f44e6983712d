/** Measures in virtual time how long a change takes to be in force on the last daemon. */
import { build, type Histogram } from 'hdr-histogram-js';

import { SeededRandom } from '../../src/base/common/random.js';
import { selectPeers } from '../../src/peers/common/peerTable.js';
import { ConfigurationFollower } from '../../src/services/configuration/node/configurationFollower.js';
import { acceptChange } from '../../src/services/configuration/test/acceptedChanges.js';
import {
  type TableBehaviour,
  VirtualTable,
  VirtualTime,
} from '../../src/services/configuration/test/virtualTable.js';
import {
  quotaKey,
  serviceKey,
  zoneKey,
} from '../../src/services/configuration/common/documents.js';
import type { DaemonInstance } from '../../src/services/instanceList/common/instanceList.js';
import { silentLog } from '../../src/services/log/common/log.js';
import { silentMetrics } from '../../src/services/metrics/common/metrics.js';

const POLL_INTERVAL_MS = 600;
const HEARTBEAT_INTERVAL_MS = 1_000;
const HINT_DELAY_MS = 2;
const START_MS = 5_000;
const SETTLE_MS = 5_000;
const SERVICE_COUNT = 500;
const TEAM_COUNT = 360;
const SIZE = { processorMillis: 2_000, memoryBytes: 2 ** 31, acceleratorCount: 0 };

export interface Scenario {
  readonly name: string;
  readonly daemonCount: number;
  readonly changeCount: number;
  /** The mean time between two changes. The times are random. */
  readonly meanGapMs: number;
  readonly hasPeers: boolean;
  readonly behaviour: Partial<TableBehaviour>;
}

export interface InForceFigures {
  readonly p50Ms: number;
  readonly p99Ms: number;
  readonly maxMs: number;
  /** The load that one daemon puts on the store. */
  readonly readsPerDaemonPerSecond: number;
  readonly rowsPerDaemonPerSecond: number;
  readonly bytesPerDaemonPerSecond: number;
}

const documents = () => ({
  ...Object.fromEntries(
    Array.from({ length: 7 }, (_, index) => {
      const name = `zone-${index}`;
      return [zoneKey(name), { name, region: 'r', state: 'in-use' }];
    }),
  ),
  ...Object.fromEntries(
    Array.from({ length: TEAM_COUNT }, (_, index) => {
      const team = `team-${index}`;
      return [quotaKey(team), { team, limit: SIZE }];
    }),
  ),
  ...Object.fromEntries(
    Array.from({ length: SERVICE_COUNT }, (_, index) => {
      const service = { name: `service-${index}`, team: `team-${index % TEAM_COUNT}` };
      return [
        serviceKey(service.name),
        { ...service, replicaCount: 7, size: SIZE, urgency: 'normal' },
      ];
    }),
  ),
});

const toInstance = (index: number): DaemonInstance => ({
  kind: 'daemon',
  id: `d${String(index).padStart(3, '0')}`,
  availabilityZone: 'zone-0',
  state: 'live',
  peerAddress: { host: '127.0.0.1', port: 1 },
  operatorAddress: { host: '127.0.0.1', port: 1 },
});

/** Daemons with real followers. Heartbeats and hints are simulated as `PeerService` sends them. */
class Fleet {
  readonly followers: readonly ConfigurationFollower[];

  readonly #time: VirtualTime;

  constructor(time: VirtualTime, table: VirtualTable, random: SeededRandom, scenario: Scenario) {
    this.#time = time;
    const instances = Array.from({ length: scenario.daemonCount }, (_, index) => toInstance(index));
    this.followers = instances.map(
      () => new ConfigurationFollower(table, time, silentLog, silentMetrics),
    );
    this.followers.forEach((follower) => {
      const poll = async (): Promise<void> => {
        await follower.refresh();
        time.after(POLL_INTERVAL_MS, () => void poll());
      };
      time.after(random.nextFraction() * POLL_INTERVAL_MS, () => void poll());
    });
    if (!scenario.hasPeers) return;
    instances.forEach(({ id }, index) => {
      const peers = selectPeers(instances, id).map((peer) => Number(peer.id.slice(1)));
      this.#startHeartbeats(index, peers, random.nextFraction() * HEARTBEAT_INTERVAL_MS);
    });
  }

  #startHeartbeats(index: number, peers: readonly number[], firstDelayMs: number): void {
    const own = this.followers[index] as ConfigurationFollower;
    const sendHints = (): void => {
      const version = own.current?.version ?? 0;
      peers.forEach((peer) => {
        const follower = this.followers[peer] as ConfigurationFollower;
        this.#time.after(HINT_DELAY_MS, () => {
          if (version > (follower.current?.version ?? 0)) void follower.refresh(version);
        });
      });
    };
    own.onDidChange(sendHints);
    const sendHeartbeat = (): void => {
      sendHints();
      this.#time.after(HEARTBEAT_INTERVAL_MS, sendHeartbeat);
    };
    this.#time.after(firstDelayMs, sendHeartbeat);
  }
}

const createHistogram = (): Histogram =>
  build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000, useWebAssembly: false });

/** Records for each version how long it takes until the last daemon has it in force. */
const recordLastInForce = (
  fleet: Fleet,
  time: VirtualTime,
  acceptedAtMs: readonly number[],
): Histogram => {
  const histogram = createHistogram();
  const remaining = acceptedAtMs.map(() => fleet.followers.length);
  fleet.followers.forEach((follower) => {
    let knownVersion = follower.current?.version ?? 0;
    follower.onDidChange(({ version }) => {
      for (let reached = knownVersion + 1; reached <= version; reached += 1) {
        remaining[reached] = (remaining[reached] ?? fleet.followers.length) - 1;
        if (remaining[reached] === 0) {
          histogram.recordValue(Math.max(1, time.nowMs() - (acceptedAtMs[reached] ?? 0)));
        }
      }
      knownVersion = version;
    });
  });
  return histogram;
};

export const measureInForce = async (scenario: Scenario): Promise<InForceFigures> => {
  const time = new VirtualTime();
  const random = new SeededRandom(1);
  const table = new VirtualTable(time, random, scenario.behaviour);
  acceptChange(table.truth, 1, documents());
  const fleet = new Fleet(time, table, random, scenario);
  await time.runUntil(START_MS);
  const acceptedAtMs = [0, 0];
  const histogram = recordLastInForce(fleet, time, acceptedAtMs);
  const before = { ...table.truth.counts, byteCount: table.readByteCount };
  for (let version = 2; version < scenario.changeCount + 2; version += 1) {
    const state = version % 2 === 0 ? 'withdrawn' : 'in-use';
    acceptChange(table.truth, version, {
      [zoneKey('zone-0')]: { name: 'zone-0', region: 'r', state },
    });
    acceptedAtMs[version] = time.nowMs();
    // The daemon that confirms the plan refreshes first.
    const confirmingFollower = fleet.followers[
      version % scenario.daemonCount
    ] as ConfigurationFollower;
    if (scenario.hasPeers) void confirmingFollower.refresh(version);
    const gapMs = -Math.log(1 - random.nextFraction()) * scenario.meanGapMs;
    // eslint-disable-next-line no-await-in-loop -- one change after the other
    await time.runUntil(time.nowMs() + gapMs);
  }
  await time.runUntil(time.nowMs() + SETTLE_MS);
  if (histogram.totalCount !== scenario.changeCount) throw new Error('a change is not in force');
  const daemonSeconds = (scenario.daemonCount * (time.nowMs() - START_MS)) / 1_000;
  const { counts } = table.truth;
  return {
    p50Ms: histogram.getValueAtPercentile(50),
    p99Ms: histogram.getValueAtPercentile(99),
    maxMs: histogram.maxValue,
    readsPerDaemonPerSecond: (counts.readCount - before.readCount) / daemonSeconds,
    rowsPerDaemonPerSecond: (counts.readRowCount - before.readRowCount) / daemonSeconds,
    bytesPerDaemonPerSecond: (table.readByteCount - before.byteCount) / daemonSeconds,
  };
};
