/**
 * The platform's transactional table: versioned rows, snapshot reads and multi-row conditional
 * transactions. It is the only place where anything is agreed upon or kept.
 */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import type { JsonValue } from '../../../base/common/json.js';
import type { Failure } from '../../errors/common/errorKinds.js';

/** The version of a row that does not exist. */
export const ABSENT_VERSION = 0;

/** A row as read. Versions of one row only grow; a removed row has version zero. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
  /** The transaction that wrote the row last, by which a lost answer is resolved. */
  readonly operationId: string;
}

export interface ReadRequest {
  readonly keys: readonly string[];
  readonly prefixes: readonly string[];
}

/** Rows of one snapshot; keys that do not exist are left out. */
export interface ReadResult {
  readonly rows: readonly TableRow[];
  /** Where a feed goes on from the snapshot; absent where the service has no feed. */
  readonly position?: number;
  /** The table's own steady clock when it answered; absent where the service tells none. */
  readonly tableNowMs?: number;
}

export interface RowCondition {
  readonly key: string;
  /** The version the row must have; `ABSENT_VERSION` when it must not exist. */
  readonly version: number;
}

export interface RowWrite {
  readonly key: string;
  /** Null removes the row. */
  readonly value: JsonValue;
}

export interface Transaction {
  readonly operationId: string;
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
}

export const TransactionOutcome = { Committed: 'committed', Conflict: 'conflict' } as const;
export type TransactionOutcome = (typeof TransactionOutcome)[keyof typeof TransactionOutcome];

export interface TransactionResult {
  readonly outcome: TransactionOutcome;
  /** The version that all written rows now have, when committed. */
  readonly version: number;
  /** The table's own steady clock when it answered; absent where the service tells none. */
  readonly tableNowMs?: number;
}

/**
 * Failures: `store-unavailable` when nothing can have taken effect, `store-answer-lost` when
 * the transaction may have taken effect or may still do so.
 */
export interface TableService {
  read(request: ReadRequest): TaskEither<Failure, ReadResult>;
  transact(transaction: Transaction): TaskEither<Failure, TransactionResult>;
}

/** Indexes rows by key. */
export const rowsByKey = (rows: readonly TableRow[]): ReadonlyMap<string, TableRow> =>
  new Map(rows.map((row) => [row.key, row]));

/** The condition that a row is still as it was read, or still absent. */
export const unchangedSince = (key: string, rows: ReadonlyMap<string, TableRow>): RowCondition => ({
  key,
  version: rows.get(key)?.version ?? ABSENT_VERSION,
});
