/** An in-memory transactional table, which reports conflicts like a real one. */
import type { JsonValue } from '../../src/base/common/json.js';
import {
  ABSENT_VERSION,
  type ReadRequest,
  type ReadResult,
  type TableRow,
  type Transaction,
  TransactionOutcome,
  type TransactionResult,
} from '../../src/services/table/common/table.js';

/** Counts of the calls to the stand-in and of the rows that they read and wrote. */
export interface TableCounts {
  readCount: number;
  readRowCount: number;
  transactionCount: number;
  writtenRowCount: number;
  conflictCount: number;
}

export class TableStandIn {
  readonly counts: TableCounts = {
    readCount: 0,
    readRowCount: 0,
    transactionCount: 0,
    writtenRowCount: 0,
    conflictCount: 0,
  };

  readonly #rows = new Map<string, TableRow>();

  #version = 0;

  read(request: ReadRequest): ReadResult {
    const rowsByKey = request.keys.map((key) => this.#rows.get(key));
    const rowsByPrefix = [...this.#rows.values()].filter((row) =>
      request.prefixes.some((prefix) => row.key.startsWith(prefix)),
    );
    const found = [...rowsByKey, ...rowsByPrefix].filter(
      (row): row is TableRow => row !== undefined,
    );
    const rows = [...new Set(found)].sort((left, right) => (left.key < right.key ? -1 : 1));
    this.counts.readCount += 1;
    this.counts.readRowCount += Math.max(rows.length, request.keys.length);
    return { rows };
  }

  transact(transaction: Transaction): TransactionResult {
    this.counts.transactionCount += 1;
    const areConditionsMet = transaction.conditions.every(
      ({ key, version }) => (this.#rows.get(key)?.version ?? ABSENT_VERSION) === version,
    );
    if (!areConditionsMet) {
      this.counts.conflictCount += 1;
      return { outcome: TransactionOutcome.Conflict, version: 0 };
    }
    this.#version += 1;
    transaction.writes.forEach(({ key, value }) =>
      this.#write(key, value, transaction.operationId),
    );
    this.counts.writtenRowCount += transaction.writes.length;
    return { outcome: TransactionOutcome.Committed, version: this.#version };
  }

  #write(key: string, value: JsonValue, operationId: string): void {
    if (value === null) this.#rows.delete(key);
    else this.#rows.set(key, { key, version: this.#version, value, operationId });
  }
}
