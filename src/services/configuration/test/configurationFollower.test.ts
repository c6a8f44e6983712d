import { describe, expect, it } from 'vitest';

import { TableStandIn } from '../../../../standIns/platform/tableStandIn.js';
import { SeededRandom } from '../../../base/common/random.js';
import type { Log } from '../../log/common/log.js';
import type { Metrics } from '../../metrics/common/metrics.js';
import { MAXIMUM_CONFIGURATION_LAG_MS } from '../common/configurationSteps.js';
import { quotaKey, zoneKey, ZoneState } from '../common/documents.js';
import { isServable } from '../common/configurationService.js';
import { ConfigurationFollower } from '../node/configurationFollower.js';
import { acceptChange } from './acceptedChanges.js';
import { type TableBehaviour, VirtualTable, VirtualTime } from './virtualTable.js';

const INTERVAL_MS = 600;
const SLOWEST_ANSWER_MS = 799;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

const zoneADocument = (state: ZoneState) => ({ [zoneKey('a')]: { name: 'a', region: 'r', state } });

/** Records the metrics and the warnings of one daemon. */
class RecordedTelemetry {
  readonly counts = new Map<string, number>();

  readonly gauges = new Map<string, number>();

  readonly warnings: string[] = [];

  readonly metrics: Metrics = {
    count: (name) => this.counts.set(name, (this.counts.get(name) ?? 0) + 1),
    gauge: (name, value) => this.gauges.set(name, value),
    recordMs: () => {},
  };

  readonly log: Log = {
    info: () => {},
    warn: (event) => this.warnings.push(event),
    error: () => {},
  };
}

/** A daemon's follower that polls again one interval after each poll, as the timer does. */
class Daemon {
  readonly telemetry = new RecordedTelemetry();

  readonly follower: ConfigurationFollower;

  #isStopped = false;

  constructor(table: VirtualTable, time: VirtualTime) {
    const { log, metrics } = this.telemetry;
    this.follower = new ConfigurationFollower(table, time, log, metrics);
    const poll = async (): Promise<void> => {
      if (this.#isStopped) return;
      await this.follower.refresh();
      time.after(INTERVAL_MS, () => void poll());
    };
    time.after(0, () => void poll());
  }

  stop(): void {
    this.#isStopped = true;
    this.follower.dispose();
  }

  get version(): number {
    return this.follower.current?.version ?? 0;
  }
}

const createVirtualTable = (seed: number, behaviour: Partial<TableBehaviour> = {}) => {
  const time = new VirtualTime();
  const random = new SeededRandom(seed);
  const table = new VirtualTable(time, random, behaviour);
  return { time, random, table };
};

describe('following the configuration', () => {
  // Every call takes up to its whole timeout. The last poll before a change returns the state from
  // before it, so the change waits for that answer, the interval and two more reads.
  it.each(SEEDS)(
    'puts a change in force within 3 s when the store is slow (seed %i)',
    async (seed) => {
      const slow = { minimumDelayMs: 500, maximumDelayMs: SLOWEST_ANSWER_MS };
      const { time, random, table } = createVirtualTable(seed, slow);
      const daemons = Array.from({ length: 7 }, () => new Daemon(table, time));
      await time.runUntil(10_000);
      const lagsMs: number[] = [];
      for (let version = 1; version <= 40; version += 1) {
        acceptChange(table.truth, version, zoneADocument(ZoneState.InUse));
        const acceptedAtMs = time.nowMs();
        daemons.forEach(({ follower }) => {
          const subscription = follower.onDidChange((view) => {
            if (view.version < version) return;
            subscription.dispose();
            lagsMs.push(time.nowMs() - acceptedAtMs);
          });
        });
        // eslint-disable-next-line no-await-in-loop -- changes are accepted one after the other
        await time.runUntil(time.nowMs() + random.nextFraction() * 4_000);
      }
      await time.runUntil(time.nowMs() + MAXIMUM_CONFIGURATION_LAG_MS);
      expect(lagsMs).toHaveLength(40 * daemons.length);
      expect(Math.max(...lagsMs)).toBeLessThanOrEqual(MAXIMUM_CONFIGURATION_LAG_MS);
    },
  );

  // Guards against a withdrawn zone that callers see in use again. The store answers some reads
  // from a replica that is several changes behind and is sometimes down. Daemons restart at any
  // time, so a new process can receive a stale answer without a version to compare it with.
  it.each(SEEDS)('never reverts on an instance, even across restarts (seed %i)', async (seed) => {
    const { time, random, table } = createVirtualTable(seed, { maximumDelayMs: 300 });
    const replica = new TableStandIn();
    const replicaBacklog: number[] = [];
    table.staleReader = (request) =>
      random.nextFraction() < 0.4 ? replica.read(request) : table.truth.read(request);
    const instances = Array.from({ length: 5 }, () => new Daemon(table, time));
    const highestVersions = instances.map(() => 0);
    const reversions: string[] = [];
    const watch = ({ follower }: Daemon, index: number): void => {
      follower.onDidChange(({ version }) => {
        const highest = highestVersions[index] as number;
        if (version < highest) reversions.push(`${index}: ${highest} to ${version}`);
        highestVersions[index] = Math.max(version, highest);
      });
    };
    instances.forEach(watch);
    for (let version = 1; version <= 60; version += 1) {
      acceptChange(table.truth, version, zoneADocument(ZoneState.InUse));
      replicaBacklog.push(version);
      while (replicaBacklog.length > 0 && random.nextFraction() < 0.45) {
        acceptChange(replica, replicaBacklog.shift() as number, zoneADocument(ZoneState.InUse));
      }
      table.behaviour.isDown = random.nextFraction() < 0.2;
      const index = random.nextIndex(instances.length);
      (instances[index] as Daemon).stop();
      instances[index] = new Daemon(table, time);
      watch(instances[index], index);
      // eslint-disable-next-line no-await-in-loop -- faults occur one after the other
      await time.runUntil(time.nowMs() + random.nextFraction() * 2_500);
    }
    expect(reversions).toEqual([]);
    table.behaviour.isDown = false;
    table.staleReader = undefined;
    await time.runUntil(time.nowMs() + MAXIMUM_CONFIGURATION_LAG_MS);
    expect(instances.map(({ version }) => version)).toEqual([60, 60, 60, 60, 60]);
  });

  // Several hints from peers arrive during a poll. If each started its own poll, a slower and older
  // answer could arrive last, and a burst of hints would cause a burst of reads.
  it('polls only once more when several version hints arrive during a poll', async () => {
    const { time, table } = createVirtualTable(1, { minimumDelayMs: 100, maximumDelayMs: 200 });
    acceptChange(table.truth, 1, zoneADocument(ZoneState.InUse));
    const { log, metrics } = new RecordedTelemetry();
    const follower = new ConfigurationFollower(table, time, log, metrics);
    await time.runUntil(10_000, follower.refresh());
    const before = table.truth.counts.readCount;
    acceptChange(table.truth, 2, zoneADocument(ZoneState.Withdrawn));
    const polls = Promise.all(Array.from({ length: 20 }, () => follower.refresh(2)));
    await time.runUntil(20_000, polls);
    expect(follower.current?.version).toBe(2);
    expect(table.truth.counts.readCount - before).toBeLessThanOrEqual(3);
  });

  it('reads only the changes, regardless of the size of the configuration', async () => {
    const { time, table } = createVirtualTable(1);
    const limit = { processorMillis: 1, memoryBytes: 1, acceleratorCount: 0 };
    const quotas = Array.from({ length: 360 }, (_, index) => [
      quotaKey(`team-${index}`),
      { team: `team-${index}`, limit },
    ]);
    acceptChange(table.truth, 1, Object.fromEntries(quotas));
    const daemon = new Daemon(table, time);
    await time.runUntil(1_000);
    expect(daemon.follower.current?.quotas.size).toBe(360);
    const before = table.truth.counts.readRowCount;
    acceptChange(table.truth, 2, zoneADocument(ZoneState.Withdrawn));
    await time.runUntil(1_000 + INTERVAL_MS * 2);
    expect(daemon.version).toBe(2);
    expect(daemon.follower.current?.zones.get('a')?.state).toBe(ZoneState.Withdrawn);
    expect(table.truth.counts.readRowCount - before).toBeLessThanOrEqual(10);
  });
});

describe('a daemon that is paused during a poll', () => {
  // The process is paused for a minute while the answer to its poll waits in the socket. The answer
  // is from before the pause, so it must not allow work to start as a fresh answer would.
  it('dates an answer by the time when its request was sent', async () => {
    const { time, table } = createVirtualTable(1, { minimumDelayMs: 100, maximumDelayMs: 200 });
    acceptChange(table.truth, 1, zoneADocument(ZoneState.InUse));
    const { log, metrics } = new RecordedTelemetry();
    const follower = new ConfigurationFollower(table, time, log, metrics);
    await time.runUntil(10_000, follower.refresh());
    const sentAtMs = time.nowMs();
    const poll = follower.refresh();
    acceptChange(table.truth, 2, zoneADocument(ZoneState.Withdrawn));
    time.pause(60_000);
    await time.runUntil(time.nowMs() + 1_000, poll);
    expect(follower.confirmedAtMs).toBe(sentAtMs);
    expect(follower.health.isConfirmed).toBe(false);
  });
});

describe('a daemon that starts', () => {
  // The store is down when the process starts. Its peers announce a version, which is only a hint.
  // The daemon takes no traffic until it has read and verified a configuration, and logs why.
  it('has no configuration during an outage until the store is back', async () => {
    const { time, table } = createVirtualTable(1);
    acceptChange(table.truth, 1, zoneADocument(ZoneState.InUse));
    acceptChange(table.truth, 2, zoneADocument(ZoneState.Withdrawn));
    table.behaviour.isDown = true;
    const { follower, telemetry } = new Daemon(table, time);
    void follower.refresh(2);
    await time.runUntil(60_000);
    expect(follower.current).toBeUndefined();
    expect(isServable(follower.health)).toBe(false);
    expect(telemetry.warnings).toEqual(['configuration-cannot-be-learnt']);
    expect(telemetry.gauges.get('configuration_is_confirmed')).toBe(0);
    table.behaviour.isDown = false;
    await time.runUntil(60_000 + MAXIMUM_CONFIGURATION_LAG_MS);
    expect(follower.current?.zones.get('a')?.state).toBe(ZoneState.Withdrawn);
    expect(isServable(follower.health)).toBe(true);
  });

  // The store answers reads from a replica that is stuck at version 1, while version 2 has
  // withdrawn the zone. A process that accepted such a read would start work in the zone.
  it('does not accept a stale read as its configuration', async () => {
    const { time, table } = createVirtualTable(1);
    const replica = new TableStandIn();
    acceptChange(replica, 1, zoneADocument(ZoneState.InUse));
    acceptChange(table.truth, 1, zoneADocument(ZoneState.InUse));
    acceptChange(table.truth, 2, zoneADocument(ZoneState.Withdrawn));
    table.staleReader = (request) => replica.read(request);
    const { follower, telemetry } = new Daemon(table, time);
    await time.runUntil(30_000);
    expect(follower.current).toBeUndefined();
    expect(telemetry.counts.get('configuration_old_read')).toBeGreaterThan(1);
    table.staleReader = undefined;
    await time.runUntil(30_000 + MAXIMUM_CONFIGURATION_LAG_MS);
    expect(follower.current?.version).toBe(2);
  });
});

describe('a daemon that resumes after a long pause', () => {
  // The daemon is paused for ten minutes, during which the zone is withdrawn. Its first reads are
  // stale. It must count as unconfirmed until the table returns the newest version, and then catch
  // up within the bound.
  it('neither reverts to a stale read nor is confirmed by it', async () => {
    const { time, table } = createVirtualTable(1);
    const replica = new TableStandIn();
    acceptChange(replica, 1, zoneADocument(ZoneState.InUse));
    [1, 2].forEach((version) => acceptChange(table.truth, version, zoneADocument(ZoneState.InUse)));
    const daemon = new Daemon(table, time);
    await time.runUntil(1_000);
    time.pause(600_000);
    acceptChange(table.truth, 3, zoneADocument(ZoneState.Withdrawn));
    table.staleReader = (request) => replica.read(request);
    const resumedAtMs = time.nowMs();
    await time.runUntil(resumedAtMs + 30_000);
    expect(daemon.version).toBe(2);
    expect(daemon.follower.health.isConfirmed).toBe(false);
    table.staleReader = undefined;
    await time.runUntil(resumedAtMs + 30_000 + MAXIMUM_CONFIGURATION_LAG_MS);
    expect(daemon.follower.current?.zones.get('a')?.state).toBe(ZoneState.Withdrawn);
    expect(daemon.telemetry.counts.get('invariant_configuration_never_reverts')).toBeUndefined();
  });
});

describe('a daemon with an unreliable configuration source', () => {
  // The store goes down. Routing continues with the version in force. Code that starts work sees
  // that the version is unconfirmed, and operators see it once in the log and in a gauge.
  it('logs an outage once and continues with its last version', async () => {
    const { time, table } = createVirtualTable(1);
    acceptChange(table.truth, 1, zoneADocument(ZoneState.InUse));
    const { follower, telemetry } = new Daemon(table, time);
    await time.runUntil(1_000);
    expect(follower.health).toEqual({ version: 1, isConfirmed: true, isBehind: false });
    table.behaviour.isDown = true;
    const lastConfirmedAtMs = follower.confirmedAtMs;
    await time.runUntil(60_000);
    expect(follower.health).toEqual({ version: 1, isConfirmed: false, isBehind: false });
    expect(follower.confirmedAtMs).toBe(lastConfirmedAtMs);
    expect(telemetry.warnings).toEqual(['configuration-cannot-be-learnt']);
    expect(telemetry.gauges.get('configuration_is_confirmed')).toBe(0);
    table.behaviour.isDown = false;
    await time.runUntil(62_000);
    expect(follower.health.isConfirmed).toBe(true);
    expect(telemetry.warnings).toHaveLength(1);
  });

  // A document that this program cannot read must not end the polling loop: the daemon would appear
  // healthy but never follow a change again. It keeps the last complete version until it can read
  // a newer one.
  it('survives a malformed document and applies the correction', async () => {
    const { time, table } = createVirtualTable(1);
    acceptChange(table.truth, 1, zoneADocument(ZoneState.InUse));
    const { follower, telemetry } = new Daemon(table, time);
    await time.runUntil(1_000);
    acceptChange(table.truth, 2, { [zoneKey('a')]: { name: 'a', colour: 'red' } });
    await time.runUntil(10_000);
    expect(follower.health).toEqual({ version: 1, isConfirmed: false, isBehind: false });
    expect(telemetry.warnings).toHaveLength(1);
    acceptChange(table.truth, 3, zoneADocument(ZoneState.Withdrawn));
    await time.runUntil(12_000);
    expect(follower.current?.zones.get('a')?.state).toBe(ZoneState.Withdrawn);
  });

  // The change row lacks a document that was written with it. Without a read of all documents the
  // change would never be in force.
  it('reads all documents when a change row is malformed', async () => {
    const { time, table } = createVirtualTable(1);
    acceptChange(table.truth, 1, zoneADocument(ZoneState.InUse));
    const { follower } = new Daemon(table, time);
    await time.runUntil(1_000);
    acceptChange(table.truth, 2, zoneADocument(ZoneState.Withdrawn), { '': null });
    await time.runUntil(3_000);
    expect(follower.current?.version).toBe(2);
    expect(follower.current?.zones.get('a')?.state).toBe(ZoneState.Withdrawn);
  });

  // Only this daemon is cut off from the store. The others are at version 2 and announce it. This
  // daemon would route by an old configuration for as long as the balancer sends it requests.
  it('is marked as behind once its peers have announced a newer version for too long', async () => {
    const { time, table } = createVirtualTable(1);
    acceptChange(table.truth, 1, zoneADocument(ZoneState.InUse));
    const { follower } = new Daemon(table, time);
    await time.runUntil(1_000);
    table.behaviour.isDown = true;
    void follower.refresh(2);
    await time.runUntil(1_000 + MAXIMUM_CONFIGURATION_LAG_MS / 2);
    expect(follower.health.isBehind).toBe(false);
    await time.runUntil(10_000);
    expect(follower.health.isBehind).toBe(true);
    table.behaviour.isDown = false;
    acceptChange(table.truth, 2, zoneADocument(ZoneState.Withdrawn));
    await time.runUntil(12_000);
    expect(follower.health).toEqual({ version: 2, isConfirmed: true, isBehind: false });
  });

  // A peer announces a version that does not exist. A hint decides nothing: the daemon verifies
  // with the table that its version is the newest and continues.
  it('stays confirmed after a false hint', async () => {
    const { time, table } = createVirtualTable(1);
    acceptChange(table.truth, 1, zoneADocument(ZoneState.InUse));
    const { follower } = new Daemon(table, time);
    await time.runUntil(1_000);
    void follower.refresh(99);
    await time.runUntil(10_000);
    expect(follower.health).toEqual({ version: 1, isConfirmed: true, isBehind: false });
  });
});
