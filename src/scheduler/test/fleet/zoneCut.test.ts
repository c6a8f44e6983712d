import { describe, expect, it } from 'vitest';

import { RunEnd } from '../../../services/fleet/common/fleetWorker.js';
import { STEP, submissionOf } from './fleetFixtures.js';
import { FleetWorld } from './fleetWorld.js';
import { ENTRY_EXPIRY_MS, ZoneCut } from './zoneCut.js';

const ID = '00000000000000c1';
const TASK = `${ID}.0.0.0`;
/** Covers a read of the list of workers, a round and a start. */
const PLACEMENT_MS = 1_500;
/** Covers the grants of an owner without the table, the longest lease and the slack of clocks. */
const ALL_LEASES_MS = 11_500;

const worldOf = async (workMs: number, isPersistent = false): Promise<FleetWorld> => {
  const world = new FleetWorld(11, () => ({ workMs, end: RunEnd.Done }));
  for (let index = 0; index < 4; index += 1) world.addWorker(`worker-${index}`);
  for (let index = 0; index < 2; index += 1) world.addScheduler();
  Object.assign(world.faults, { doCutsRefuse: true });
  await world.runFor(1_500);
  world.submit(submissionOf(ID, [{ ...STEP, isPersistent }]));
  await world.runFor(400);
  return world;
};

const ownerIndex = (world: FleetWorld): number =>
  world.schedulerSlots.findIndex(({ scheduler }) => scheduler?.epoch !== undefined);

describe('a task on a cut-off worker whose address refuses connections', () => {
  it.each([
    ['ends meanwhile', 2_500],
    ['continues', 9_000],
  ])('does not start elsewhere if the run %s', async (_, workMs) => {
    const world = await worldOf(workMs);
    const cut = new ZoneCut(world, world.workersRunning(TASK));
    await world.runFor(ENTRY_EXPIRY_MS);
    cut.expireEntries();
    await world.runFor(PLACEMENT_MS);
    cut.heal();
    await world.runFor(6_000);
    expect(world.invariants.broken).toEqual([]);
    expect(world.invariants.startCounts.get(TASK)).toBe(1);
    expect(world.progress(ID)?.state).toBe('complete');
  });

  it('does not start elsewhere if the owner is cut off together with the worker', async () => {
    const world = await worldOf(2_500);
    const cut = new ZoneCut(world, world.workersRunning(TASK), [ownerIndex(world)]);
    await world.runFor(ENTRY_EXPIRY_MS);
    cut.expireEntries();
    await world.runFor(PLACEMENT_MS);
    cut.heal();
    await world.runFor(3_000);
    expect(world.invariants.broken).toEqual([]);
    expect(world.invariants.startCounts.get(TASK)).toBe(1);
    expect(world.progress(ID)?.state).toBe('complete');
  });

  it.each([
    ['stays connected', false],
    ['is cut off too', true],
  ])('starts elsewhere after all leases have ended if the owner %s', async (_, isOwnerCut) => {
    const world = await worldOf(90_000, true);
    const owners = isOwnerCut ? [ownerIndex(world)] : [];
    const cut = new ZoneCut(world, world.workersRunning(TASK), owners);
    await world.runFor(ENTRY_EXPIRY_MS);
    cut.expireEntries();
    await world.runFor(ALL_LEASES_MS - ENTRY_EXPIRY_MS + PLACEMENT_MS);
    expect(world.workersRunning(TASK)).toHaveLength(1);
    expect(world.invariants.startCounts.get(TASK)).toBe(2);
    cut.heal();
    await world.runFor(3_000);
    expect(world.invariants.broken).toEqual([]);
  });
});
