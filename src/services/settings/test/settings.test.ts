import { isLeft } from 'fp-ts/lib/Either.js';
import { describe, expect, it } from 'vitest';

import { checkSettings, settingsSchema } from '../common/settings.js';

const valid = {
  instanceId: 'entry-1',
  availabilityZone: 'zone-a',
  listen: {
    callers: { host: '127.0.0.1' },
    operators: { host: '127.0.0.1' },
    peers: { host: '127.0.0.1' },
  },
  platform: {
    tableOrigin: 'http://127.0.0.1:1',
    objectStoreOrigin: 'http://127.0.0.1:1',
    instanceListOrigin: 'http://127.0.0.1:1',
  },
};

const faultPaths = (settings: unknown): readonly string[] => {
  const checked = checkSettings(settings);
  const paths = isLeft(checked) ? checked.left.map(({ path }) => path) : [];
  // What the daemon starts with and what is reported must not differ.
  expect(settingsSchema.safeParse(settings).success).toBe(paths.length === 0);
  return paths;
};

describe('settings', () => {
  it('need only addresses; all else has a default', () => {
    expect(faultPaths(valid)).toEqual([]);
  });

  it('name every fault by its path, unknown keys included', () => {
    const faulty = {
      ...valid,
      instanceId: '',
      colour: 'red',
      entry: { queueCapacity: -1, queueLength: 5 },
    };
    expect([...faultPaths(faulty)].sort()).toEqual([
      'colour',
      'entry.queueCapacity',
      'entry.queueLength',
      'instanceId',
    ]);
  });

  it('refuse a lease that is shorter than its renewals allow', () => {
    const faulty = { ...valid, scheduler: { workerLeaseMs: 2_000 } };
    expect(faultPaths(faulty)).toEqual(['scheduler.workerLeaseMs']);
  });

  // With these limits crossed a throttle would be taken back as soon as it is in force, evictions
  // would come before throttling, and a step would be judged by what was before it.
  it('refuse weights of interference that would alternate', () => {
    const faultsOf = (interference: Readonly<Record<string, number>>): readonly string[] =>
      faultPaths({ ...valid, scheduler: { interference } });
    const path = 'scheduler.interference';
    expect(faultsOf({ releaseSlowdown: 0.12 })).toEqual([`${path}.releaseSlowdown`]);
    expect(faultsOf({ evictionSlowdown: 0.11 })).toEqual([`${path}.evictionSlowdown`]);
    expect(faultsOf({ settleMs: 4_999 })).toEqual([`${path}.settleMs`]);
  });

  it('refuse an interval with which a change would be in force too late', () => {
    const platform = { ...valid.platform, configurationIntervalMs: 601 };
    expect(faultPaths({ ...valid, platform })).toEqual(['platform.configurationIntervalMs']);
  });

  // An operator mends what is reported, restarts, and is told of the next fault: a file with
  // faults of both kinds must have all of them reported at once.
  it('tell broken rules and faulty forms in one pass', () => {
    const faulty = {
      ...valid,
      colour: 'red',
      scheduler: { workerLeaseMs: 2_000, cellLeaseMs: 'long' },
      peers: { silenceTimeoutMs: 1_000 },
    };
    expect([...faultPaths(faulty)].sort()).toEqual([
      'colour',
      'peers.silenceTimeoutMs',
      'scheduler.cellLeaseMs',
      'scheduler.workerLeaseMs',
    ]);
  });

  // The renewals are no number, so nothing can be said of the lease beside them.
  it('do not report a field for a fault in another', () => {
    const scheduler = { workerLeaseMs: 2_000, workerRenewalIntervalMs: 'often' };
    expect(faultPaths({ ...valid, scheduler })).toEqual(['scheduler.workerRenewalIntervalMs']);
  });

  it.each([[null], [[]], ['text'], [{ entry: 5, platform: null, operator: [] }]])(
    'that are %j are faults and no exception',
    (settings) => {
      expect(faultPaths(settings).length).toBeGreaterThan(0);
    },
  );
});
