import { isLeft } from 'fp-ts/lib/Either.js';
import { expect, it } from 'vitest';

import type { Instance } from '../../services/instanceList/common/instanceList.js';
import { OperatorQueries } from '../node/operatorQueries.js';
import { OperatorHarness, worker } from './operatorHarness.js';

const daemon = (id: string, state: 'live' | 'leaving' = 'live'): Instance => {
  const address = { host: '127.0.0.1', port: 1 };
  const addresses = { peerAddress: address, operatorAddress: address };
  return { kind: 'daemon', id, availabilityZone: 'zone-a', state, ...addresses };
};

// The platform's instance list lags: it contains a daemon that has died but not its replacement.
// An operator who looks for a missing daemon must see the listed state and the observed state.
it('listing instances shows their listed states and the observed states of daemons', async () => {
  const harness = new OperatorHarness(1);
  harness.instances = [daemon('one'), daemon('dead'), worker('w1', 'zone-a')];
  const members = new Map([
    ['one', 'live'],
    ['dead', 'silent'],
    ['new', 'live'],
  ]);
  const queries = new OperatorQueries(
    harness.table,
    undefined as never,
    harness,
    { members },
    () => 0,
  );
  const listed = await queries.list('instances');
  if (isLeft(listed)) throw new Error(listed.left.message);
  expect(listed.right.map(({ id, state, seen }) => [id, state, seen])).toEqual([
    ['one', 'live', 'live'],
    ['dead', 'live', 'silent'],
    ['w1', 'live', undefined],
    ['new', 'unlisted', 'live'],
  ]);
});
