/** Lets a new owner read its stored state from the table of a simulation. */
import { right } from 'fp-ts/lib/Either.js';

import { StoredStateReader } from '../../src/scheduler/node/storedStateReader.js';
import type { FleetWorkerEntry } from '../../src/services/fleet/common/fleetWorker.js';
import { silentLog } from '../../src/services/log/common/log.js';
import type { TableStandIn } from '../../standIns/platform/tableStandIn.js';

export const newStoredStateReader = (
  table: TableStandIn,
  entries: () => readonly FleetWorkerEntry[],
): StoredStateReader =>
  new StoredStateReader(
    {
      read: (request) => () =>
        Promise.resolve(right({ ...table.read(request), position: 0, tableNowMs: 0 })),
      transact: (transaction) => () => Promise.resolve(right(table.transact(transaction))),
    },
    {
      operatorChanges: () => () =>
        Promise.resolve(right({ isSnapshot: false, changes: [], position: 0 })),
      workers: () => () => Promise.resolve(right(entries())),
    },
    silentLog,
  );
