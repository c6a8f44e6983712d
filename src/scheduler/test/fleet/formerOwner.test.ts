import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { FleetWorld } from './fleetWorld.js';

// Its idle connections counted against the workers' limits for a minute.
describe('an owner that has lost the fleet', () => {
  it('closes its connections to the workers at once', async () => {
    const world = new FleetWorld(1, () => ({ workMs: 300, end: RunEnd.Done }));
    world.addWorker('worker');
    [0, 1].forEach(() => world.addScheduler());
    await world.runFor(1_500);
    const owner = world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.isOwner === true);
    expect(world.disconnectedSlots).toEqual([]);
    Object.assign(world.schedulerSlots[owner] ?? {}, { isCutFromTable: true });
    await world.runFor(5_000);
    expect(world.disconnectedSlots).toEqual([owner]);
    expect(world.schedulerSlots[1 - owner]?.scheduler?.isOwner).toBe(true);
  });
});
