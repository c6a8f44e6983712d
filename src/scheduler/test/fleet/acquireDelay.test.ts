import { describe, expect, it } from 'vitest';

import { acquireDelayMs } from '../../common/fleet/acquireDelay.js';
import { FLEET_TIMING } from '../../common/fleet/fleetTiming.js';

describe('acquireDelayMs', () => {
  it('lets a daemon with more processor time read the heartbeat before a weak one acquires', () => {
    const { heartbeatIntervalMs } = FLEET_TIMING;
    expect(acquireDelayMs(0.186) - acquireDelayMs(1.35)).toBeGreaterThan(heartbeatIntervalMs);
  });

  it('is less than a lease, so that a daemon with little processor time can take over too', () => {
    expect(acquireDelayMs(0.01)).toBeLessThan(FLEET_TIMING.leaseMs);
  });
});
