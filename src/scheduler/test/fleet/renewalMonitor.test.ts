import { describe, expect, it } from 'vitest';

import { type LogFields, silentLog } from '../../../services/log/common/log.js';
import type { LogEvent } from '../../../services/log/common/logEvents.js';
import { silentMetrics } from '../../../services/metrics/common/metrics.js';
import { LeaseStepKind } from '../../common/cellLease.js';
import { RenewalMonitor } from '../../node/renewalMonitor.js';

describe('RenewalMonitor', () => {
  it('logs a late renewal, but not the first renewal after an acquisition', () => {
    const logged: [LogEvent, LogFields | undefined][] = [];
    const gaps: number[] = [];
    const monitor = new RenewalMonitor(
      1_500,
      { ...silentLog, warn: (event, fields) => logged.push([event, fields]) },
      { ...silentMetrics, recordMs: (_, gapMs) => gaps.push(gapMs) },
    );
    monitor.note(LeaseStepKind.Renew, 0, 5);
    monitor.note(LeaseStepKind.Acquire, 60_000, 60_005);
    monitor.note(LeaseStepKind.Renew, 60_450, 60_455);
    monitor.note(LeaseStepKind.Renew, 61_650, 61_700);
    expect(gaps).toEqual([450, 1_200]);
    expect(logged).toEqual([['lease-renewed-late', { gapMs: 1_200, answeredAfterMs: 50 }]]);
  });
});
