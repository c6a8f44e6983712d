import { describe, expect, it } from 'vitest';

import { TransactionOutcome } from '../../services/table/common/table.js';
import { cellHeartbeatKey, cellOwnerKey } from '../../services/workload/common/workRows.js';
import {
  type CellLease,
  initialCellLease,
  LeaseStepKind,
  nextLeaseStep,
  withLeaseCallFailed,
  withLeaseCommitted,
  withLeaseLost,
  withLeaseRows,
} from '../common/cellLease.js';
import { acquireDelayMs } from '../common/fleet/acquireDelay.js';
import type { CellLeaseTiming } from '../common/cellLeaseTiming.js';

const TIMING = { heartbeatIntervalMs: 450, leaseMs: 1_500, acquireDelayMs: 0 };
/** The timing of an owner with hundreds of workers. */
const FLEET_TIMING = { ...TIMING, renewsFromSending: true };
const CELL = 'cell';

const rowsOf = (version: number, sentAtTableMs?: number, leastDelayMs?: number) => [
  { key: cellOwnerKey(CELL), version: 7, value: { ownerId: 'other', epoch: 3 }, operationId: '' },
  {
    key: cellHeartbeatKey(CELL),
    version,
    value: {
      counter: 9,
      ...(sentAtTableMs !== undefined && { sentAtTableMs }),
      ...(leastDelayMs !== undefined && { leastDelayMs }),
    },
    operationId: '',
  },
];

interface Heartbeat {
  readonly version: number;
  readonly sentAtTableMs?: number;
  readonly leastDelayMs?: number;
}

/** Reads the heartbeat as often as the lease requires. Returns when the lease is acquired. */
const takeoverAtMs = (
  firstReadAtMs: number,
  readHeartbeat: (nowMs: number) => Heartbeat,
  tableNowMs?: (nowMs: number) => number,
  timing: CellLeaseTiming = TIMING,
): number => {
  let lease: CellLease = initialCellLease(CELL, 'self', firstReadAtMs);
  for (let nowMs = firstReadAtMs; nowMs < firstReadAtMs + 10_000; nowMs += 10) {
    const next = nextLeaseStep(lease, timing, 'operation', nowMs);
    if (next !== undefined) {
      const { version, sentAtTableMs, leastDelayMs } = readHeartbeat(nowMs);
      if (next.step.kind === LeaseStepKind.Acquire) {
        const condition = next.step.transaction.conditions.at(-1);
        if (condition?.version === version) return nowMs;
        lease = withLeaseLost(next.lease, timing, nowMs);
      } else {
        const rows = rowsOf(version, sentAtTableMs, leastDelayMs);
        const clock = tableNowMs === undefined ? {} : { tableNowMs: tableNowMs(nowMs) };
        lease = withLeaseRows(next.lease, timing, { rows, ...clock }, nowMs, nowMs);
      }
    }
  }
  return Number.POSITIVE_INFINITY;
};

describe('the lease of a cell', () => {
  it('is taken over sooner if the heartbeat is older than a lease on the table clock', () => {
    // All daemons die at once and restart. None of them has seen a heartbeat change, and callers
    // wait while no daemon schedules. The table's clock shows that the owner died long ago, so the
    // first daemon that reads the heartbeat need not watch it for a whole lease.
    const heartbeat = () => ({ version: 40, sentAtTableMs: 90_000 });
    const takeoverDelayMs = takeoverAtMs(5_000, heartbeat, (nowMs) => 95_000 + nowMs) - 5_000;
    expect(takeoverDelayMs).toBeLessThan(TIMING.leaseMs);
    expect(takeoverDelayMs).toBeGreaterThan(900);
  });

  it('is watched for its whole duration if the table provides no clock', () => {
    const takeoverDelayMs = takeoverAtMs(5_000, () => ({ version: 40 })) - 5_000;
    expect(takeoverDelayMs).toBeGreaterThanOrEqual(TIMING.leaseMs);
    expect(takeoverDelayMs).toBeLessThanOrEqual(TIMING.leaseMs + TIMING.heartbeatIntervalMs);
  });

  it('stays with an owner that survives an outage of the table', () => {
    // The table was down for longer than a lease. The live owner waits for a call that times out
    // after 700 ms, then for the retry delay, and sends a heartbeat. Another daemon reads the rows
    // at the moment the table returns.
    const backAtMs = 5_000;
    const renewedAtMs = backAtMs + 700 + 200 + 20;
    const heartbeat = (nowMs: number) =>
      nowMs < renewedAtMs
        ? { version: 40, sentAtTableMs: 1_000 }
        : { version: 41 + Math.floor((nowMs - renewedAtMs) / 450), sentAtTableMs: nowMs };
    expect(takeoverAtMs(backAtMs, heartbeat, (nowMs) => nowMs)).toBe(Number.POSITIVE_INFINITY);
  });

  it('is renewed in time by an owner that processes the last answer late', () => {
    // The transaction is sent and committed at 1,000. Its answer waits 400 ms behind those of
    // workers.
    const owned = withLeaseCommitted(
      initialCellLease(CELL, 'self', 0),
      FLEET_TIMING,
      LeaseStepKind.Acquire,
      { outcome: TransactionOutcome.Committed, version: 8, tableNowMs: 90_000 },
      1_000,
      1_400,
    );
    expect(nextLeaseStep(owned, FLEET_TIMING, 'operation', 1_440)).toBeUndefined();
    const renewal = nextLeaseStep(owned, FLEET_TIMING, 'operation', 1_450);
    expect(renewal?.step.kind).toBe(LeaseStepKind.Renew);
  });

  it('is renewed early by an owner that sent the last renewal late', () => {
    const committed = { outcome: TransactionOutcome.Committed, version: 8 };
    const start = initialCellLease(CELL, 'self', 0);
    const { Acquire, Renew } = LeaseStepKind;
    const owned = withLeaseCommitted(start, FLEET_TIMING, Acquire, committed, 1_000, 1_010);
    // The renewal is due at 1,450 and sent 200 ms later because the process was delayed.
    const renewed = withLeaseCommitted(owned, FLEET_TIMING, Renew, committed, 1_650, 1_660);
    expect(nextLeaseStep(renewed, FLEET_TIMING, 'operation', 1_890)).toBeUndefined();
    expect(nextLeaseStep(renewed, FLEET_TIMING, 'operation', 1_900)?.step.kind).toBe(Renew);
    // Even after a long delay, the lease is renewed at most three times as often.
    const late = withLeaseCommitted(renewed, FLEET_TIMING, Renew, committed, 3_000, 3_010);
    expect(nextLeaseStep(late, FLEET_TIMING, 'operation', 3_140)).toBeUndefined();
    expect(nextLeaseStep(late, FLEET_TIMING, 'operation', 3_150)?.step.kind).toBe(Renew);
  });

  it('gets a correct heartbeat time from an owner that processes the last answer late', () => {
    const owned = withLeaseCommitted(
      initialCellLease(CELL, 'self', 0),
      FLEET_TIMING,
      LeaseStepKind.Acquire,
      { outcome: TransactionOutcome.Committed, version: 8, tableNowMs: 90_000 },
      1_000,
      1_400,
    );
    const renewal = nextLeaseStep(owned, FLEET_TIMING, 'operation', 1_500);
    const written = renewal !== undefined && 'transaction' in renewal.step && renewal.step;
    expect(written && written.transaction.writes[0]?.value).toMatchObject({
      sentAtTableMs: 90_500,
    });
  });

  it('is renewed soon after a failed call', () => {
    const committed = { outcome: TransactionOutcome.Committed, version: 41, tableNowMs: 1_000 };
    const owner = withLeaseCommitted(
      initialCellLease(CELL, 'self', 0),
      TIMING,
      LeaseStepKind.Acquire,
      committed,
      0,
      0,
    );
    const failed = withLeaseCallFailed(owner, TIMING, 1_200);
    const next = nextLeaseStep(failed, TIMING, 'operation', 1_400);
    expect(next?.step).toMatchObject({
      kind: LeaseStepKind.Renew,
      transaction: { writes: [{ value: { sentAtTableMs: 2_400 } }] },
    });
  });

  it('goes first to the daemon with more processor if an owner has had as much', () => {
    const heartbeat = { version: 40, sentAtTableMs: 0, leastDelayMs: 90 };
    const better = { ...TIMING, acquireDelayMs: 90, isDelayRelative: true };
    const worse = { ...better, acquireDelayMs: 645 };
    const readHeartbeat = () => heartbeat;
    const clock = (nowMs: number): number => nowMs;
    const betterAfterMs = takeoverAtMs(5_000, readHeartbeat, clock, better) - 5_000;
    expect(betterAfterMs).toBeLessThanOrEqual(TIMING.leaseMs + TIMING.heartbeatIntervalMs);
    // The better daemon may have read the heartbeat a whole interval later.
    const worseAfterMs = takeoverAtMs(5_000, readHeartbeat, clock, worse) - 5_000;
    expect(worseAfterMs).toBeGreaterThan(betterAfterMs + TIMING.heartbeatIntervalMs);
  });

  it('goes to a daemon with a third of a core only after one with a whole core may take it', () => {
    const timingOf = (cores: number): CellLeaseTiming => ({
      ...TIMING,
      ...{ acquireDelayMs: acquireDelayMs(cores), isDelayRelative: true },
    });
    const readHeartbeat = () => ({
      version: 40,
      sentAtTableMs: 0,
      leastDelayMs: acquireDelayMs(1.35),
    });
    // Without a table clock, each daemon sees the heartbeat unchanged from its first read on.
    const betterAtMs = takeoverAtMs(5_000, readHeartbeat, undefined, timingOf(1.35));
    const worseAtMs = takeoverAtMs(5_000, readHeartbeat, undefined, timingOf(0.324));
    expect(worseAtMs).toBeGreaterThanOrEqual(betterAtMs + TIMING.heartbeatIntervalMs);
  });

  it('goes first to the daemon with more processor if both see at once that it is overdue', () => {
    // By then the heartbeat has been seen unchanged for longer than the extra delay.
    const better = { ...TIMING, acquireDelayMs: 90, isDelayRelative: true };
    const worse = { ...better, acquireDelayMs: 645 };
    const readHeartbeat = () => ({ version: 40, sentAtTableMs: 0, leastDelayMs: 90 });
    const overdueAtMs = 5_000 + TIMING.leaseMs - 10;
    const clock = (nowMs: number): number => (nowMs < overdueAtMs ? 0 : TIMING.leaseMs);
    const betterAtMs = takeoverAtMs(5_000, readHeartbeat, clock, better);
    const worseAtMs = takeoverAtMs(5_000, readHeartbeat, clock, worse);
    expect(worseAtMs).toBeGreaterThan(betterAtMs + TIMING.heartbeatIntervalMs);
  });

  it('goes without extra delay to a daemon with as much processor as any owner has had', () => {
    const timing = { ...TIMING, acquireDelayMs: 645, isDelayRelative: true };
    const readHeartbeat = () => ({ version: 40, sentAtTableMs: 0, leastDelayMs: 645 });
    const takeoverDelayMs = takeoverAtMs(5_000, readHeartbeat, (nowMs) => nowMs, timing) - 5_000;
    expect(takeoverDelayMs).toBeLessThanOrEqual(TIMING.leaseMs + TIMING.heartbeatIntervalMs);
  });

  it('carries the smallest takeover delay of its owners in each heartbeat', () => {
    const timing = { ...TIMING, acquireDelayMs: 645, isDelayRelative: true };
    const rows = rowsOf(40, 0, 90);
    const watched = withLeaseRows(initialCellLease(CELL, 'self', 0), timing, { rows }, 0, 0);
    const next = nextLeaseStep(watched, timing, 'operation', 10_000);
    const step = next?.step;
    const written = step !== undefined && 'transaction' in step ? step.transaction.writes : [];
    expect(written.at(-1)?.value).toMatchObject({ leastDelayMs: 90 });
  });
});
