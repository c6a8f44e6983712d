/** The table over HTTP with JSON bodies. */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import { Agent } from 'undici';

import type { Disposable } from '../../../base/common/lifecycle.js';
import { jsonText } from '../../../base/node/jsonText.js';
import { ErrorKind, type Failure } from '../../errors/common/errorKinds.js';
import { httpCall } from '../../http/node/httpCall.js';
import type {
  ReadRequest,
  ReadResult,
  TableService,
  Transaction,
  TransactionResult,
} from '../common/table.js';
import { readResultSchema, transactionResultSchema } from '../common/tableWire.js';

export class HttpTableService implements TableService, Disposable {
  readonly #agent: Agent;

  readonly #origin: string;

  readonly #timeoutMs: number;

  constructor(origin: string, timeoutMs: number, connectionCount: number) {
    this.#origin = origin;
    this.#timeoutMs = timeoutMs;
    this.#agent = new Agent({ connections: connectionCount, connect: { timeout: timeoutMs } });
  }

  read(request: ReadRequest): TaskEither<Failure, ReadResult> {
    return httpCall({
      dispatcher: this.#agent,
      url: `${this.#origin}/v1/table/read`,
      body: request,
      answerSchema: readResultSchema,
      timeoutMs: this.#timeoutMs,
      notSentKind: ErrorKind.StoreUnavailable,
      lostKind: ErrorKind.StoreUnavailable,
    });
  }

  transact(transaction: Transaction): TaskEither<Failure, TransactionResult> {
    return async () =>
      httpCall({
        dispatcher: this.#agent,
        url: `${this.#origin}/v1/table/transact`,
        bodyText: await jsonText(transaction),
        answerSchema: transactionResultSchema,
        timeoutMs: this.#timeoutMs,
        notSentKind: ErrorKind.StoreUnavailable,
        lostKind: ErrorKind.StoreAnswerLost,
      })();
  }

  dispose(): void {
    void this.#agent.destroy();
  }
}
