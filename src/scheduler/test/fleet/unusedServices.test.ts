import { beforeEach, describe, expect, it } from 'vitest';

import type { FleetConfiguration } from '../../../services/fleet/common/fleetConfiguration.js';
import type { FleetWorkerEntry } from '../../../services/fleet/common/fleetWorker.js';
import { ROSTER_KEY, type RosterRow } from '../../../services/submissions/common/submissionRows.js';
import { CONFIGURATION, DONE_AFTER_500_MS, entryOf, STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';

const FOREIGN = 'foreign';
const ID = '00000000000000f1';
const LATER_ID = '00000000000000f2';
const NO_SERVICES: FleetConfiguration = { ...CONFIGURATION, version: 2, queues: [], services: [] };
const NAMED: FleetConfiguration = {
  ...CONFIGURATION,
  services: [...CONFIGURATION.services, { name: FOREIGN, guardsCapacity: false }],
};

const foreignEntry = (index: number): FleetWorkerEntry => ({
  ...entryOf(`${FOREIGN}-${index}`, false, 0),
  serviceName: FOREIGN,
});

describe('entries of a service on which nothing can run', () => {
  let world: FleetWorld;

  beforeEach(() => {
    world = new FleetWorld(5, DONE_AFTER_500_MS);
    world.addWorker('worker-0');
  });

  const rosterIds = (): readonly string[] => {
    const [row] = world.table.read({ keys: [ROSTER_KEY], prefixes: [] }).rows;
    return (row?.value as unknown as RosterRow).workers.map(([id]) => id);
  };

  // Each was called again and again, and the roster with all of them would outgrow its row.
  it('are neither called nor stored, however many they are', async () => {
    for (let index = 0; index < 400; index += 1) world.foreignEntries.push(foreignEntry(index));
    world.addScheduler();
    world.submit(submissionOf(ID, [STEP]));
    await world.runFor(4_000);
    expect(world.progress(ID)?.state).toBe('complete');
    expect([...world.heldWorkers]).toEqual(['worker-0']);
    expect(rosterIds()).toEqual(['worker-0']);
  });

  it('are workers as soon as a configuration names their service', async () => {
    world.foreignEntries.push(foreignEntry(0));
    world.addScheduler();
    await world.runFor(2_500);
    expect(world.heldWorkers).not.toContain(foreignEntry(0).id);
    world.configure(NAMED);
    await world.runFor(50);
    expect(world.heldWorkers).toContain(foreignEntry(0).id);
  });

  describe('whose name has left the configuration', () => {
    beforeEach(async () => {
      world.addScheduler();
      world.submit(
        submissionOf(ID, [
          { ...STEP, taskCount: 3 },
          { ...STEP, after: [0] },
        ]),
      );
      await world.runFor(1_500);
      world.configure(NO_SERVICES);
    });

    it('are workers until the accepted submissions have ended and their ends are acknowledged', async () => {
      await world.runFor(3_000);
      expect(world.progress(ID)?.state).toBe('complete');
      expect(world.workers.get('worker-0')?.hasNewEnds(world.nowMs)).toBe(false);
      await world.runFor(10_000);
      expect(rosterIds()).toEqual([]);
      expect(world.invariants.broken).toEqual([]);
    });

    it('are found by the next owner while submissions that were accepted for it are open', async () => {
      world.killScheduler(0);
      world.addScheduler();
      await world.runFor(20_000);
      expect(world.progress(ID)?.state).toBe('complete');
      expect(world.invariants.broken).toEqual([]);
    });

    it('are workers again when the service comes back', async () => {
      await world.runFor(15_000);
      world.configure({ ...CONFIGURATION, version: 3 });
      world.submit(submissionOf(LATER_ID, [STEP]));
      await world.runFor(3_000);
      expect(world.progress(LATER_ID)?.state).toBe('complete');
      expect(world.invariants.broken).toEqual([]);
    });
  });
});
