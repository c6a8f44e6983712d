import { describe, expect, it } from 'vitest';

import type { FleetWorld } from '../fleetWorld.js';
import { explore, replayOf } from './explorer.js';
import { FAULT_NAMES } from './faults.js';

/** A defect: workers keep the acknowledged sequence over a restart and forget unstored run ends. */
const keepAcknowledgedAcrossRestarts = ({ workers }: FleetWorld): void =>
  workers.forEach((worker) => {
    const hold = worker.hold.bind(worker);
    let highestSequence = 0;
    Object.assign(worker, {
      hold: (...[request, nowMs]: Parameters<typeof hold>) => {
        highestSequence = Math.max(highestSequence, request.acknowledgedSequence);
        return hold({ ...request, acknowledgedSequence: highestSequence }, nowMs);
      },
    });
  });

describe('the explorer', () => {
  it('finds no violation in a short run with all faults', async () => {
    const { finding, orderCount } = await explore({ seed: 1, stepCount: 120, faults: FAULT_NAMES });
    expect(finding).toBeUndefined();
    expect(orderCount).toBeGreaterThan(1_000);
  });

  it('finds workers that keep the acknowledged sequence over a restart, and shrinks the run', async () => {
    const { finding } = await explore({
      seed: 1,
      stepCount: 40,
      faults: ['worker-restart'],
      prepare: keepAcknowledgedAcrossRestarts,
    });
    expect(finding?.broken).not.toEqual([]);
    expect(finding?.steps.length).toBeLessThanOrEqual(4);
    expect(finding?.steps.map(({ fault }) => fault)).toContain('worker-restart');
    expect(finding === undefined ? '' : replayOf(finding)).toContain('"fault":"worker-restart"');
  });
});
