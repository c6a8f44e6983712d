import { isRight } from 'fp-ts/lib/Either.js';
import { afterEach, describe, expect, it } from 'vitest';

import type { Disposable } from '../../base/common/lifecycle.js';
import { systemClock } from '../../base/node/systemClock.js';
import { silentMetrics } from '../../services/metrics/common/metrics.js';
import {
  CLAIM_PART_COUNT,
  CLAIM_PREFIX,
  claimKey,
} from '../../services/workload/common/claimRow.js';
import { ClaimManager } from '../node/claimManager.js';
import { ClaimSweeper } from '../node/claimSweeper.js';
import { FaultyTable } from './entryHarness.js';

const LIFETIME_MS = 86_400_000;
const NOON_MS = 500.4 * LIFETIME_MS;

const disposables: Disposable[] = [];
afterEach(() => disposables.splice(0).forEach((item) => item.dispose()));

const claimAt = async (table: FaultyTable, key: string, wallMs: number): Promise<boolean> => {
  const settings = { claimLifetimeMs: LIFETIME_MS, maximumRecordedBytes: 100 };
  const claims = new ClaimManager(table, systemClock, silentMetrics, settings);
  disposables.push(claims);
  const request = { serviceName: 's', method: 'POST', path: '/', headers: {}, body: undefined };
  const claimed = await claims.claim(request, key, wallMs);
  return isRight(claimed) && claimed.right.kind === 'held';
};

describe('a claim', () => {
  // The repeat comes in the next generation, through an entry whose clock is ahead or behind. It
  // must find the first claim, whichever of the two clocks is right.
  it.each([0, LIFETIME_MS - 1, 1 - LIFETIME_MS])(
    'is found one lifetime later by an entry whose clock is off by %d ms',
    async (offMs) => {
      const table = new FaultyTable();
      expect(await claimAt(table, 'k', NOON_MS)).toBe(true);
      expect(await claimAt(table, 'k', NOON_MS + offMs)).toBe(false);
      expect(await claimAt(table, 'k', NOON_MS + LIFETIME_MS)).toBe(false);
    },
  );

  // An entry runs for days. Claims that no insertion checks any more must be removed, and claims
  // that an insertion may still check must stay. Otherwise the table grows with every order.
  it('is removed when no insertion can check it any more, and not before', async () => {
    const table = new FaultyTable();
    const generation = Math.floor(NOON_MS / LIFETIME_MS);
    const write = (distance: number, index: number): void => {
      const key = claimKey(generation - distance, 's', `k${index}`);
      table.standIn.transact({
        operationId: key,
        conditions: [],
        writes: [{ key, value: { index } }],
      });
    };
    for (let index = 0; index < 300; index += 1) {
      [0, 1, 2, 3, 4].forEach((distance) => write(distance, index));
    }
    const sweeper = new ClaimSweeper(table, silentMetrics, LIFETIME_MS, () => NOON_MS, 7);
    disposables.push(sweeper);
    const count = (): number =>
      table.standIn.read({ keys: [], prefixes: [CLAIM_PREFIX] }).rows.length;
    for (let step = 0; step < CLAIM_PART_COUNT * 2; step += 1) {
      // eslint-disable-next-line no-await-in-loop -- steps run in sequence
      await sweeper.sweepNext();
    }
    expect(count()).toBe(900);
  });
});
