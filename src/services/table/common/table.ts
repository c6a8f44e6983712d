/**
 * The platform's transactional table: versioned rows, snapshot reads and multi-row conditional
 * transactions. It is the only place for consensus and persistent state.
 */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import type { JsonValue } from '../../../base/common/json.js';
import type { Failure } from '../../errors/common/errorKinds.js';

/** The version of a row that does not exist. */
export const ABSENT_VERSION = 0;

/** A row as read. The version of a row only increases; a removed row has version zero. */
export interface TableRow {
  readonly key: string;
  readonly version: number;
  readonly value: JsonValue;
  /** The id of the transaction that last wrote the row; resolves lost answers. */
  readonly operationId: string;
}

export interface ReadRequest {
  readonly keys: readonly string[];
  readonly prefixes: readonly string[];
}

/** The rows of one snapshot; missing keys are left out. */
export interface ReadResult {
  readonly rows: readonly TableRow[];
  /** The feed position of the snapshot; absent if the service has no feed. */
  readonly position?: number;
  /** The table's monotonic clock when it answered; absent if the service does not report it. */
  readonly tableNowMs?: number;
}

export interface RowCondition {
  readonly key: string;
  /** The version that the row must have; `ABSENT_VERSION` if the row must not exist. */
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
  /** The new version of all written rows, if committed. */
  readonly version: number;
  /** The table's monotonic clock when it answered; absent if the service does not report it. */
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

/** Returns the condition that a row is unchanged since it was read, or still absent. */
export const unchangedSince = (key: string, rows: ReadonlyMap<string, TableRow>): RowCondition => ({
  key,
  version: rows.get(key)?.version ?? ABSENT_VERSION,
});
