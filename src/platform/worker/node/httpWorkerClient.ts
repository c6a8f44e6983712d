/** A worker's control interface over HTTP, on one connection of its own. */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import { Agent } from 'undici';

import type { Disposable } from '../../../base/common/lifecycle.js';
import { ErrorKind, type Failure } from '../../errors/common/errorKinds.js';
import { httpCall } from '../../http/node/httpCall.js';
import {
  type WorkerClient,
  type WorkerCommand,
  type WorkerReport,
  workerReportSchema,
} from '../common/workerClient.js';

export class HttpWorkerClient implements WorkerClient, Disposable {
  readonly #agent: Agent;

  readonly #origin: string;

  readonly #timeoutMs: number;

  constructor(origin: string, timeoutMs: number) {
    this.#origin = origin;
    this.#timeoutMs = timeoutMs;
    this.#agent = new Agent({ connections: 1, connect: { timeout: timeoutMs } });
  }

  command(command: WorkerCommand): TaskEither<Failure, WorkerReport> {
    return this.#call('command', command);
  }

  report(): TaskEither<Failure, WorkerReport> {
    return this.#call('report', {});
  }

  dispose(): void {
    void this.#agent.destroy();
  }

  #call(path: string, body: unknown): TaskEither<Failure, WorkerReport> {
    return httpCall({
      dispatcher: this.#agent,
      url: `${this.#origin}/v1/worker/${path}`,
      body,
      answerSchema: workerReportSchema,
      timeoutMs: this.#timeoutMs,
      notSentKind: ErrorKind.WorkerUnavailable,
      lostKind: ErrorKind.WorkerUnavailable,
    });
  }
}
