/** Counts the calls to the table by kind and outcome, and records their durations. */
import { type Either, isLeft } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import type { Clock } from '../../../base/common/clock.js';
import type { Failure } from '../../errors/common/errorKinds.js';
import type { Metrics } from '../../metrics/common/metrics.js';
import type {
  ReadRequest,
  ReadResult,
  TableService,
  Transaction,
  TransactionResult,
} from './table.js';

export class MeteredTable implements TableService {
  readonly #table: TableService;

  readonly #metrics: Metrics;

  readonly #clock: Clock;

  constructor(table: TableService, metrics: Metrics, clock: Clock) {
    this.#table = table;
    this.#metrics = metrics;
    this.#clock = clock;
  }

  read(request: ReadRequest): TaskEither<Failure, ReadResult> {
    return () => this.#metered('read', this.#table.read(request), () => 'answered');
  }

  transact(transaction: Transaction): TaskEither<Failure, TransactionResult> {
    const call = this.#table.transact(transaction);
    return () => this.#metered('write', call, ({ outcome }) => outcome);
  }

  async #metered<Result>(
    call: 'read' | 'write',
    task: TaskEither<Failure, Result>,
    outcomeOf: (result: Result) => string,
  ): Promise<Either<Failure, Result>> {
    const startedAtMs = this.#clock.nowMs();
    const result = await task();
    const outcome = isLeft(result) ? result.left.kind : outcomeOf(result.right);
    this.#metrics.count('table_calls', { call, outcome });
    this.#metrics.recordMs('table_call_duration', this.#clock.nowMs() - startedAtMs, { call });
    return result;
  }
}
