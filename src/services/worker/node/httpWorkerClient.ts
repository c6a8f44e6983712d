/** The client of one worker over HTTP, with a dedicated connection. */
import { isLeft, left, right } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import { Agent } from 'undici';
import type { z } from 'zod';

import type { Disposable } from '../../../base/common/lifecycle.js';
import { ErrorKind, failure, type Failure } from '../../errors/common/errorKinds.js';
import { httpCall } from '../../http/node/httpCall.js';
import { ReportMirror } from '../common/reportMirror.js';
import {
  type WorkerClient,
  type WorkerCommand,
  type WorkerReport,
  workerReportSchema,
} from '../common/workerClient.js';
import { wireReportSchema } from '../common/workerExchange.js';

export class HttpWorkerClient implements WorkerClient, Disposable {
  readonly #agent: Agent;

  readonly #origin: string;

  readonly #timeoutMs: number;

  readonly #mirror = new ReportMirror();

  constructor(origin: string, timeoutMs: number) {
    this.#origin = origin;
    this.#timeoutMs = timeoutMs;
    this.#agent = new Agent({ connections: 1, connect: { timeout: timeoutMs } });
  }

  command(command: WorkerCommand): TaskEither<Failure, WorkerReport> {
    return async () => {
      const sent = this.#mirror.toMessage(command);
      const answer = await this.#call('command', sent.message, wireReportSchema)();
      if (isLeft(answer)) return answer;
      const report = this.#mirror.toReport(sent, answer.right);
      if (report !== undefined) return right(report);
      return left(failure(ErrorKind.WorkerUnavailable, `${this.#origin} told another revision`));
    };
  }

  report(): TaskEither<Failure, WorkerReport> {
    return this.#call('report', {}, workerReportSchema);
  }

  dispose(): void {
    void this.#agent.destroy();
  }

  #call<Answer>(
    path: string,
    body: unknown,
    answerSchema: z.ZodType<Answer>,
  ): TaskEither<Failure, Answer> {
    return httpCall({
      dispatcher: this.#agent,
      url: `${this.#origin}/v1/worker/${path}`,
      body,
      answerSchema,
      timeoutMs: this.#timeoutMs,
      notSentKind: ErrorKind.WorkerUnavailable,
      lostKind: ErrorKind.WorkerUnavailable,
    });
  }
}
