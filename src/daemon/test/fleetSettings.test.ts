import { describe, expect, it } from 'vitest';

import { checkFleetSettings } from '../common/fleetSettings.js';

const SETTINGS = {
  instanceId: 'entry-1',
  availabilityZone: 'zone-1',
  listen: { callers: '10.1.0.13:8161', readiness: '10.1.0.13:8167', metrics: '10.1.0.13:9464' },
  storeAddress: '10.200.1.7:8169',
  maximumLeaseMs: 6_000,
  workerReportIntervalMs: 1_500,
  workerStopMs: 900,
  configurationBoundMs: 2_000,
  withdrawalBoundMs: 5_000,
  drainBoundMs: 2_000,
  graceSeconds: 6,
  processor: { share: 0.27, speed: 1 },
};

describe('the settings of a daemon on the platform', () => {
  it('are read with each address split into host and port', () => {
    expect(checkFleetSettings(SETTINGS)).toMatchObject({
      faults: [],
      settings: { listen: { callers: { host: '10.1.0.13', port: 8161 } } },
    });
  });

  // A field that the platform does not name must not keep the daemon from starting.
  it.each([
    ['65536', 65_536],
    ['131072', 131_072],
    ['', 65_536],
    ['undefined', 65_536],
    [undefined, 65_536],
    [4_096, 4_096],
  ])('have the row size of the platform or the default: %s', (maximumRowBytes, expected) => {
    expect(checkFleetSettings({ ...SETTINGS, maximumRowBytes })).toMatchObject({
      faults: [],
      settings: { maximumRowBytes: expected },
    });
  });

  it.each([
    ['a host name in place of an IP address', { storeAddress: 'store.example:80' }, 'storeAddress'],
    ['a store whose port is too high', { storeAddress: '10.200.1.7:70000' }, 'storeAddress'],
    ['a store at no port', { storeAddress: '10.200.1.7:0' }, 'storeAddress'],
    ['a store at five numbers', { storeAddress: '10.200.1.7.9:8169' }, 'storeAddress'],
    [
      'a port above 65535',
      { listen: { ...SETTINGS.listen, callers: '1.2.3.4:99999' } },
      'listen.callers',
    ],
    ['a lease of zero length', { maximumLeaseMs: 0 }, 'maximumLeaseMs'],
    ['a processor share of zero', { processor: { share: 0, speed: 1 } }, 'processor.share'],
    ['a row size that is no number', { maximumRowBytes: '64 KB' }, 'maximumRowBytes'],
    ['an unknown member', { grace: 1 }, ''],
  ])('are rejected with the path of the error for %s', (_what, change, path) => {
    const { settings, faults } = checkFleetSettings({ ...SETTINGS, ...change });
    expect(settings).toBeUndefined();
    expect(faults.map((fault) => fault.path)).toEqual([path]);
  });
});
