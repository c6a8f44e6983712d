/** A worker client that records each call as a span of a trace. */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import type { Failure } from '../../errors/common/errorKinds.js';
import { Hop, tracedCall, type TraceSpan, type Tracing } from '../../tracing/common/tracing.js';
import type { WorkerClient, WorkerCommand, WorkerReport } from './workerClient.js';

export class TracedWorkerClient implements WorkerClient {
  readonly #client: WorkerClient;

  readonly #workerId: string;

  readonly #tracing: Tracing;

  constructor(client: WorkerClient, workerId: string, tracing: Tracing) {
    this.#client = client;
    this.#workerId = workerId;
    this.#tracing = tracing;
  }

  command(command: WorkerCommand): TaskEither<Failure, WorkerReport> {
    return () => tracedCall(this.#span('command'), this.#client.command(command));
  }

  report(): TaskEither<Failure, WorkerReport> {
    return () => tracedCall(this.#span('report'), this.#client.report());
  }

  #span(call: string): TraceSpan | undefined {
    return this.#tracing.startTrace(Hop.WorkerCall, undefined, { call, worker: this.#workerId });
  }
}
