/** Measures the bytes that heartbeats cost a daemon in a small and a large fleet, over TCP. */
import { setTimeout as delay } from 'node:timers/promises';

import { Emitter } from '../../src/base/common/event.js';
import { SeededRandom } from '../../src/base/common/random.js';
import { systemClock } from '../../src/base/node/systemClock.js';
import { PeerService } from '../../src/peers/node/peerService.js';
import type { ConfigurationService } from '../../src/services/configuration/common/configurationService.js';
import { EMPTY_CONFIGURATION } from '../../src/services/configuration/common/configurationView.js';
import type { Instance } from '../../src/services/instanceList/common/instanceList.js';
import type { Metrics } from '../../src/services/metrics/common/metrics.js';
import { settingsSchema } from '../../src/services/settings/common/settings.js';
import { OpenTelemetryTracing } from '../../src/services/tracing/node/openTelemetryTracing.js';
import type { Benchmark } from '../benchmark.js';
import { readBounds } from '../bounds.js';

const HOST = '127.0.0.1';
const SETTLE_MS = 3_000;
const MEASURED_MS = 10_000;
const MS_PER_SECOND = 1_000;
const DAEMON_COUNTS = [7, 70] as const;
const TABLE = 'http://127.0.0.1:9';

const configuration: ConfigurationService = {
  current: { ...EMPTY_CONFIGURATION, version: 123_456 },
  confirmedAtMs: 0,
  onDidChange: new Emitter<never>().event,
  refresh: () => Promise.resolve(),
};

class SentBytesMetrics implements Metrics {
  byteCount = 0;

  count(name: string, _labels = {}, amount = 1): void {
    if (name === 'peer_bytes_sent') this.byteCount += amount;
  }

  gauge = (): void => {};

  recordMs = (): void => {};
}

const settingsOf = (instanceId: string) => {
  const listen = { host: HOST };
  return settingsSchema.parse({
    instanceId,
    availabilityZone: 'amman-1',
    listen: { callers: listen, operators: listen, peers: listen },
    platform: { tableOrigin: TABLE, objectStoreOrigin: TABLE, instanceListOrigin: TABLE },
  });
};

/** Bytes of TCP payload that one daemon sends per second, in requests and answers. */
const measure = async (daemonCount: number): Promise<number> => {
  const instances: Instance[] = [];
  const directory = { instances, onDidChange: new Emitter<readonly Instance[]>().event };
  const bytes = new SentBytesMetrics();
  const services: PeerService[] = [];
  for (let index = 0; index < daemonCount; index += 1) {
    const id = `entry-${String(index).padStart(8, '0')}`;
    const settings = settingsOf(id);
    const { sampleRatio, ringCapacity } = settings.tracing;
    const tracing = new OpenTelemetryTracing(sampleRatio, ringCapacity, new SeededRandom(index));
    const service = new PeerService(
      settings,
      configuration,
      directory,
      systemClock,
      bytes,
      tracing,
    );
    services.push(service);
    // eslint-disable-next-line no-await-in-loop -- one listener after the other
    const address = { host: HOST, port: await service.listen(HOST, 0) };
    const daemon = { kind: 'daemon' as const, id, availabilityZone: 'amman-1' };
    const addresses = { peerAddress: address, operatorAddress: address };
    instances.push({ ...daemon, state: 'live', ...addresses });
  }
  await delay(SETTLE_MS);
  const before = bytes.byteCount;
  const startedAtMs = systemClock.nowMs();
  await delay(MEASURED_MS);
  const sentByteCount = bytes.byteCount - before;
  const seconds = (systemClock.nowMs() - startedAtMs) / MS_PER_SECOND;
  services.forEach((service) => service.dispose());
  return sentByteCount / seconds / daemonCount;
};

const run = async (): Promise<boolean> => {
  const bounds = await readBounds('peers');
  const figures: number[] = [];
  for (let index = 0; index < DAEMON_COUNTS.length; index += 1) {
    // eslint-disable-next-line no-await-in-loop -- one fleet at a time
    const bytesPerSecond = await measure(DAEMON_COUNTS[index] as number);
    figures.push(bytesPerSecond);
    process.stdout.write(
      `${DAEMON_COUNTS[index]} daemons: each sends ${bytesPerSecond.toFixed(0)} bytes a second to peers\n`,
    );
  }
  const [smallFleetRate = 0, largeFleetRate = 0] = figures;
  process.stdout.write(
    `ten times the daemons, ${(largeFleetRate / smallFleetRate).toFixed(2)} times the bytes\n`,
  );
  return largeFleetRate / smallFleetRate <= (bounds.maximumRatioOfTenfold ?? 0);
};

export const peers: Benchmark = { name: 'peers', run };
