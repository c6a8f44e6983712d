import * as TE from 'fp-ts/lib/TaskEither.js';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { Emitter } from '../../base/common/event.js';
import { TableStandIn } from '../../../standIns/platform/tableStandIn.js';
import { silentLog } from '../../services/log/common/log.js';
import { settingsSchema } from '../../services/settings/common/settings.js';
import { silentMetrics } from '../../services/metrics/common/metrics.js';
import { silentTracing } from '../../services/tracing/common/tracing.js';
import { CellTasks } from '../node/cellTasks.js';

const LOOPBACK = { host: '127.0.0.1' };
const SETTINGS = settingsSchema.parse({
  instanceId: 'entry-1',
  availabilityZone: 'zone-a',
  listen: { callers: LOOPBACK, operators: LOOPBACK, peers: LOOPBACK },
  platform: {
    tableOrigin: 'http://127.0.0.1:1',
    objectStoreOrigin: 'http://127.0.0.1:1',
    instanceListOrigin: 'http://127.0.0.1:1',
  },
});
const WORKER = {
  kind: 'worker',
  id: 'w1',
  availabilityZone: 'zone-a',
  rack: 'r1',
  state: 'live',
  controlAddress: { host: '127.0.0.1', port: 1 },
  backendAddress: { host: '127.0.0.1', port: 1 },
  capacity: { processorMillis: 32_000, memoryBytes: 1, acceleratorCount: 0 },
  slotCount: 8,
  connectionCount: 64,
} as const;

describe('CellTasks', () => {
  afterEach(() => {
    vi.useRealTimers();
  });

  // The latencies that the entry of the process measures have to reach the owner of the worker's
  // cell. The worker here never answers, so its sample is counted as stale. A sample of a worker in
  // no cell of this daemon is not counted.
  it('passes the latencies measured by the entry of the same process to the cells', async () => {
    vi.useFakeTimers();
    let nowMs = 0;
    const counters = new Map<string, number>();
    const table = new TableStandIn();
    const sample = {
      serviceName: 'rounds',
      requestCount: 10,
      meanLatencyMs: 20,
      startedAtMs: 0,
      endedAtMs: 1,
    };
    const tasks = new CellTasks(
      {
        table: {
          read: (request) => TE.right(table.read(request)),
          transact: (transaction) => TE.right(table.transact(transaction)),
        },
        configuration: {
          current: undefined,
          confirmedAtMs: 0,
          onDidChange: new Emitter<never>().event,
          refresh: async () => {},
        },
        directory: { instances: [WORKER], onDidChange: new Emitter<never>().event },
        clock: { nowMs: () => nowMs },
        log: silentLog,
        metrics: {
          count: (name, _, amount = 1) => counters.set(name, (counters.get(name) ?? 0) + amount),
          gauge: () => {},
          recordMs: () => {},
        },
        tracing: silentTracing,
      },
      SETTINGS,
      'entry-1#1',
      {
        takeSamples: () => [
          { ...sample, workerId: 'w1' },
          { ...sample, workerId: 'elsewhere' },
        ],
      },
    );
    for (; nowMs < 20_000; nowMs += 100) {
      // Table calls complete between two steps of the timers.
      // eslint-disable-next-line no-await-in-loop
      await vi.advanceTimersByTimeAsync(100);
    }
    tasks.dispose();
    const count = counters.get('interference_samples_stale') ?? 0;
    expect(count).toBeGreaterThan(0);
    expect(count).toBeLessThanOrEqual(10);
  });
});

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
