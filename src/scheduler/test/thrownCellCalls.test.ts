import * as TE from 'fp-ts/lib/TaskEither.js';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { TableStandIn } from '../../../standIns/platform/tableStandIn.js';
import { Emitter } from '../../base/common/event.js';
import { silentLog } from '../../services/log/common/log.js';
import { silentMetrics } from '../../services/metrics/common/metrics.js';
import { settingsSchema } from '../../services/settings/common/settings.js';
import { silentTracing } from '../../services/tracing/common/tracing.js';
import { CellTasks } from '../node/cellTasks.js';

const LISTEN = { host: '127.0.0.1' };
const ORIGIN = 'http://127.0.0.1:1';
const SETTINGS = settingsSchema.parse({
  instanceId: 'entry-1',
  availabilityZone: 'zone-a',
  listen: { callers: LISTEN, operators: LISTEN, peers: LISTEN },
  platform: { tableOrigin: ORIGIN, objectStoreOrigin: ORIGIN, instanceListOrigin: ORIGIN },
});
const WORKER = {
  kind: 'worker',
  id: 'w1',
  availabilityZone: 'zone-a',
  rack: 'r1',
  state: 'live',
  controlAddress: { host: 'a b', port: 1 },
  backendAddress: { host: 'a b', port: 1 },
  capacity: { processorMillis: 32_000, memoryBytes: 1, acceleratorCount: 0 },
  ...{ slotCount: 8, connectionCount: 64 },
} as const;

// An exception in one call of a cell was handled by nothing and ended the process.
describe('a call of a cell that throws instead of returning a failure', () => {
  const events: string[] = [];

  beforeEach(() => {
    vi.useFakeTimers();
    events.length = 0;
  });

  afterEach(() => {
    vi.useRealTimers();
  });

  it.each([3, 4, 5])('is repeated like one that fails: every call number %i', async (every) => {
    let nowMs = 0;
    let count = 0;
    const standIn = new TableStandIn();
    const throwIfDue = (): void => {
      count += 1;
      if (count % every === 0) throw new TypeError('the call threw');
    };
    const tasks = new CellTasks(
      {
        table: {
          read: (request) => {
            throwIfDue();
            return TE.right(standIn.read(request));
          },
          transact: (transaction) => {
            throwIfDue();
            return TE.right(standIn.transact(transaction));
          },
        },
        configuration: {
          ...{ current: undefined, confirmedAtMs: 0, refresh: async () => {} },
          onDidChange: new Emitter<never>().event,
        },
        directory: { instances: [WORKER], onDidChange: new Emitter<never>().event },
        clock: { nowMs: () => nowMs },
        log: { ...silentLog, info: (event) => events.push(event) },
        ...{ metrics: silentMetrics, tracing: silentTracing },
      },
      SETTINGS,
      'entry-1#1',
    );
    for (; nowMs < 30_000; nowMs += 100) {
      // eslint-disable-next-line no-await-in-loop -- table calls complete between two steps
      await vi.advanceTimersByTimeAsync(100);
    }
    tasks.dispose();
    expect(events).toContain('cell-acquired');
    expect(count).toBeGreaterThan(10 * every);
  });
});
