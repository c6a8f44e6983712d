import { describe, expect, it } from 'vitest';

import { acquireDelayMs } from '../../common/fleet/acquireDelay.js';
import { FLEET_TIMING } from '../../common/fleet/fleetTiming.js';

describe('the patience of daemons that would own the fleet', () => {
  it('lets one with more processor look at the heartbeat before a weak one takes the lease', () => {
    const { heartbeatIntervalMs } = FLEET_TIMING;
    expect(acquireDelayMs(0.186) - acquireDelayMs(1.35)).toBeGreaterThan(heartbeatIntervalMs);
  });

  it('is bounded, so that daemons with hardly any processor take over as well', () => {
    expect(acquireDelayMs(0.01)).toBeLessThan(FLEET_TIMING.leaseMs);
  });
});
