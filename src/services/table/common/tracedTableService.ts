/** A table service that records each call as a span of a trace. */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import type { Failure } from '../../errors/common/errorKinds.js';
import { Hop, tracedCall, type TraceSpan, type Tracing } from '../../tracing/common/tracing.js';
import type {
  ReadRequest,
  ReadResult,
  TableService,
  Transaction,
  TransactionResult,
} from './table.js';

const READ_FIELDS = { call: 'read' } as const;
const TRANSACT_FIELDS = { call: 'transact' } as const;

export class TracedTableService implements TableService {
  readonly #table: TableService;

  readonly #tracing: Tracing;

  constructor(table: TableService, tracing: Tracing) {
    this.#table = table;
    this.#tracing = tracing;
  }

  /** Returns the table for one sampled request; its spans are children of the request's span. */
  under(span: TraceSpan): TableService {
    const startTrace: Tracing['startTrace'] = (hop, _traceparent, fields) =>
      span.child(hop, fields);
    return new TracedTableService(this.#table, { startTrace });
  }

  read(request: ReadRequest): TaskEither<Failure, ReadResult> {
    return () => {
      const span = this.#tracing.startTrace(Hop.TableCall, undefined, READ_FIELDS);
      return tracedCall(span, this.#table.read(request));
    };
  }

  transact(transaction: Transaction): TaskEither<Failure, TransactionResult> {
    return () => {
      const span = this.#tracing.startTrace(Hop.TableCall, undefined, TRANSACT_FIELDS);
      return tracedCall(span, this.#table.transact(transaction));
    };
  }
}

/** Returns the table for a request's calls; the table itself if the request is not sampled. */
export const tableUnder = (table: TableService, span: TraceSpan | undefined): TableService =>
  span !== undefined && table instanceof TracedTableService ? table.under(span) : table;
