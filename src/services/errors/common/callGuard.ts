/** Turns the exceptions of calls to other processes into failures of these calls. */
import { type Either, left } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import type { Clock } from '../../../base/common/clock.js';
import type { Log } from '../../log/common/log.js';
import type { Metrics } from '../../metrics/common/metrics.js';
import { ErrorKind, failure, type Failure } from './errorKinds.js';

/** A call that throws may be repeated at a high rate. */
const LOG_INTERVAL_MS = 1_000;

export interface CallGuardServices {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
}

/**
 * Calls return failures and do not throw. If one throws nevertheless, which is a fault of the
 * program, its caller gets a failure with an unknown work outcome. The caller can then repeat the
 * call or do without it, and the process does not end because of one row or one worker.
 */
export class CallGuard {
  readonly #services: CallGuardServices;

  #nextLogAtMs = Number.NEGATIVE_INFINITY;

  constructor(services: CallGuardServices) {
    this.#services = services;
  }

  async run<Answer>(
    call: string,
    task: TaskEither<Failure, Answer>,
  ): Promise<Either<Failure, Answer>> {
    try {
      return await task();
    } catch (error) {
      const { message, stack = '' } = error instanceof Error ? error : new Error(String(error));
      this.#record(call, message, stack);
      return left(failure(ErrorKind.Internal, `${call}: ${message}`));
    }
  }

  #record(call: string, message: string, stack: string): void {
    const { clock, log, metrics } = this.#services;
    metrics.count('calls_thrown', { call });
    const nowMs = clock.nowMs();
    if (nowMs < this.#nextLogAtMs) return;
    this.#nextLogAtMs = nowMs + LOG_INTERVAL_MS;
    log.error('call-thrown', { call, message, stack });
  }
}
