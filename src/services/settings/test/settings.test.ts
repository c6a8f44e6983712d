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
  // The daemon must start exactly if no fault is reported.
  expect(settingsSchema.safeParse(settings).success).toBe(paths.length === 0);
  return paths;
};

describe('settings', () => {
  it('have defaults for everything except identity and addresses', () => {
    expect(faultPaths(valid)).toEqual([]);
  });

  it('are reported with the path of every fault, including unknown keys', () => {
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

  it('must have a lease of at least three renewal intervals', () => {
    const faulty = { ...valid, scheduler: { workerLeaseMs: 2_000 } };
    expect(faultPaths(faulty)).toEqual(['scheduler.workerLeaseMs']);
  });

  // Otherwise a throttle would be released as soon as it is in force, evictions would precede
  // throttling, and an intervention would be judged by usage from before it.
  it('must have consistent interference limits', () => {
    const faultsOf = (interference: Readonly<Record<string, number>>): readonly string[] =>
      faultPaths({ ...valid, scheduler: { interference } });
    const path = 'scheduler.interference';
    expect(faultsOf({ releaseSlowdown: 0.12 })).toEqual([`${path}.releaseSlowdown`]);
    expect(faultsOf({ evictionSlowdown: 0.11 })).toEqual([`${path}.evictionSlowdown`]);
    expect(faultsOf({ settleMs: 4_999 })).toEqual([`${path}.settleMs`]);
  });

  it('must have a polling interval that puts changes in force in time', () => {
    const platform = { ...valid.platform, configurationIntervalMs: 601 };
    expect(faultPaths({ ...valid, platform })).toEqual(['platform.configurationIntervalMs']);
  });

  // An operator would otherwise fix the reported faults, restart, and only then see the next ones.
  // The schema faults and the broken rules of a file must be reported together.
  it('are reported with schema faults and broken rules in one pass', () => {
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

  // The renewal interval is not a number, so the lease cannot be compared with it.
  it('have no fault reported for one field because of a fault in another', () => {
    const scheduler = { workerLeaseMs: 2_000, workerRenewalIntervalMs: 'often' };
    expect(faultPaths({ ...valid, scheduler })).toEqual(['scheduler.workerRenewalIntervalMs']);
  });

  it.each([[null], [[]], ['text'], [{ entry: 5, platform: null, operator: [] }]])(
    'that are %j cause faults, not an exception',
    (settings) => {
      expect(faultPaths(settings).length).toBeGreaterThan(0);
    },
  );
});
