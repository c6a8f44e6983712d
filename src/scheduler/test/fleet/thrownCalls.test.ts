import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { BusyFleet, type Costs } from './busyFleet.js';
import { STEP, submissionOf } from './fleetFixtures.js';

const FREE: Costs = { sendMs: 0, answerMs: 0, connectMs: 0, stepMs: 0, rowMs: 0 };
const IDS = ['00000000000000e1', '00000000000000e2', '00000000000000e3'];
const EVERY = 5;

// An exception in one call was handled by nothing and ended the process.
describe('a call that throws instead of returning a failure', () => {
  let fleet: BusyFleet;

  beforeEach(() => {
    fleet = new BusyFleet(3, () => 300);
    fleet.simulator.stubTimers();
  });

  afterEach(() => vi.unstubAllGlobals());

  const completeAll = async (): Promise<void> => {
    const { simulator } = fleet;
    fleet.addDaemon('daemon', FREE);
    for (let index = 0; index < IDS.length; index += 1) {
      fleet.submit(submissionOf(IDS[index] ?? '', [{ ...STEP, taskCount: 4 }]));
      // eslint-disable-next-line no-await-in-loop -- one after the other
      await simulator.runUntil(simulator.outside.nowMs() + 3_000);
    }
    await simulator.runUntil(simulator.outside.nowMs() + 15_000);
    expect(IDS.map((id) => fleet.progress(id)?.state)).toEqual(IDS.map(() => 'complete'));
  };

  it.each(['read', 'transact', 'follow', 'workers', 'operatorChanges', 'hold', 'start'])(
    'is repeated like one that fails: %s',
    async (thrown) => {
      let count = 0;
      fleet.isCallThrown = (call) => {
        if (call === thrown) count += 1;
        return call === thrown && count % EVERY === 1;
      };
      await completeAll();
      expect(count).toBeGreaterThan(1);
    },
  );

  it('keeps neither the owner from its other workers nor the worker from its next call', async () => {
    let holds = 0;
    fleet.isCallThrown = (call) => {
      if (call === 'hold') holds += 1;
      return call === 'hold' && holds <= 30;
    };
    await completeAll();
    expect(new Set(fleet.startCounts.values())).toEqual(new Set([1]));
  });
});
