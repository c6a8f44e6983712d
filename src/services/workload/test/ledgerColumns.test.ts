import { describe, expect, it } from 'vitest';

import { toLedgerColumns } from '../common/ledgerColumns.js';
import { type Assignment, ledgerRowSchema } from '../common/workRows.js';

const assignment = (index: number): Assignment => ({
  taskId: `kitchen.plan-${index % 3}/${index}`,
  attempt: 1 + (index % 4 === 0 ? 1 : 0),
  workerId: `w${index % 8}`,
  incarnation: `w${index % 8}@${index % 5 === 0 ? 2 : 1}`,
  taskClass: 'batch',
  serviceName: '',
  shardId: `kitchen.plan-${index % 3}~zone-a`,
  taskIndex: index,
  size: { processorMillis: 1_000, memoryBytes: 1_073_741_824, acceleratorCount: index % 2 },
  workMs: 40_000,
  checkpoint: index % 7 === 0 ? `checkpoint-${index}` : null,
});

const replica = (index: number): Assignment => ({
  ...assignment(index),
  taskId: `rounds@d1:zone-a:${index}.0`,
  taskClass: 'latency-critical',
  serviceName: 'rounds',
  shardId: '',
  taskIndex: 0,
});

const assignments = Array.from({ length: 160 }, (_, index) =>
  index % 5 === 0 ? replica(index) : assignment(index),
);

describe('the columns of a ledger row', () => {
  it('are parsed into the same assignments in the same order', () => {
    const stored = JSON.parse(JSON.stringify(toLedgerColumns(assignments))) as unknown;
    expect(ledgerRowSchema.parse(stored)).toEqual({ assignments });
    expect(ledgerRowSchema.parse({ assignments })).toEqual({ assignments });
  });

  // If an owner accepted a truncated row or one with invalid positions, it would forget running
  // tasks and start them a second time elsewhere.
  it('are refused when they are inconsistent', () => {
    const columns = toLedgerColumns(assignments);
    expect(() => ledgerRowSchema.parse({ ...columns, kindPositions: [0] })).toThrow();
    expect(() => ledgerRowSchema.parse({ ...columns, workers: [] })).toThrow();
  });

  it('take less than a quarter of the size of plain assignments', () => {
    const { length } = JSON.stringify(toLedgerColumns(assignments));
    expect(length).toBeLessThan(JSON.stringify({ assignments }).length / 4);
  });
});
