import { describe, expect, it } from 'vitest';

import type { WorkerInstance } from '../../../services/instanceList/common/instanceList.js';
import { settingsSchema } from '../../../services/settings/common/settings.js';
import { SampleStatus, sampleStatus } from '../../common/interference/learning.js';
import { observedControl } from '../../common/interference/workerControl.js';
import { unreachedWorkerView, type WorkerView } from '../../common/workerView.js';

const POLICY = settingsSchema.shape.scheduler.parse({}).interference;
const CHANGED_AT_MS = 100_000;
const NO_LOAD = { serviceNames: ['rounds'], batch: [] };
const CONTROL = observedControl(undefined, NO_LOAD, CHANGED_AT_MS);

const viewReportedAt = (reportedAtMs: number): WorkerView => ({
  ...unreachedWorkerView({ id: 'w0' } as WorkerInstance, 0),
  commandSentAtMs: reportedAtMs - 10,
  reportedAtMs,
});

const sampleFrom = (startedAtMs: number) => ({
  workerId: 'w0',
  serviceName: 'rounds',
  requestCount: 10,
  meanLatencyMs: 20,
  startedAtMs,
  endedAtMs: startedAtMs + 2_000,
});

// A task starts or is throttled, and samples from before that change still arrive for seconds.
// Learning from them would attribute the old latency to the new state.
describe('a latency sample', () => {
  const statusOf = (
    startedAtMs: number,
    reportedAtMs: number,
    view = viewReportedAt(reportedAtMs),
  ) => sampleStatus(sampleFrom(startedAtMs), view, CONTROL, POLICY, 110_000);

  it('is dropped when it began before the last change on its worker', () => {
    expect(statusOf(CHANGED_AT_MS - 1, 110_000)).toBe(SampleStatus.Stale);
    expect(statusOf(CHANGED_AT_MS, 110_000)).toBe(SampleStatus.Learnt);
  });

  it('waits for a report that was made after its end', () => {
    expect(statusOf(106_000, 107_900)).toBe(SampleStatus.Waiting);
    expect(statusOf(106_000, 108_005)).toBe(SampleStatus.Waiting);
    expect(statusOf(106_000, 108_010)).toBe(SampleStatus.Learnt);
  });

  it('waits for a report whose usage is newer than the change', () => {
    const usableAtMs = CHANGED_AT_MS + POLICY.usageLagMs;
    expect(statusOf(CHANGED_AT_MS, usableAtMs)).toBe(SampleStatus.Waiting);
    expect(statusOf(CHANGED_AT_MS, usableAtMs + 10)).toBe(SampleStatus.Learnt);
  });

  it('waits while the time of the latest report is unknown', () => {
    const viewAwaitingReport = { ...viewReportedAt(110_000), isCommandInFlight: true };
    expect(statusOf(106_000, 110_000, viewAwaitingReport)).toBe(SampleStatus.Waiting);
  });

  it('is dropped when its worker is unknown or no report arrives in time', () => {
    const { startedAtMs, endedAtMs } = sampleFrom(106_000);
    expect(sampleStatus(sampleFrom(startedAtMs), undefined, CONTROL, POLICY, 110_000)).toBe(
      'stale',
    );
    const expiredAtMs = endedAtMs + 30_001;
    const view = viewReportedAt(107_000);
    expect(sampleStatus(sampleFrom(startedAtMs), view, CONTROL, POLICY, expiredAtMs)).toBe('stale');
  });
});
