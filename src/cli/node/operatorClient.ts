/** Calls the operator API of a daemon. */
import { type Either, left, right } from 'fp-ts/lib/Either.js';
import { request } from 'undici';

import {
  type ErrorBody,
  errorBody,
  ErrorKind,
  failure,
} from '../../services/errors/common/errorKinds.js';
import { isSurelyNotSent } from '../../services/http/node/httpCall.js';

const FIRST_ERROR_STATUS = 400;
const CALL_TIMEOUT_MS = 30_000;

/** Distinguishes a call that certainly reached no daemon from one that may have been executed. */
const noAnswerError = (origin: string, error: unknown): ErrorBody => {
  const kind = isSurelyNotSent(error) ? ErrorKind.DaemonUnreachable : ErrorKind.DaemonAnswerLost;
  const reason = (error as Error).message;
  return errorBody(failure(kind, `no answer of a daemon at ${origin}: ${reason}`));
};

export class OperatorClient {
  readonly #origin: string;

  readonly #token: string;

  constructor(origin: string, token: string) {
    this.#origin = origin;
    this.#token = token;
  }

  get(path: string): Promise<Either<ErrorBody, unknown>> {
    return this.#call('GET', path, undefined);
  }

  post(path: string, body: unknown): Promise<Either<ErrorBody, unknown>> {
    return this.#call('POST', path, body);
  }

  async #call(
    method: 'GET' | 'POST',
    path: string,
    body: unknown,
  ): Promise<Either<ErrorBody, unknown>> {
    try {
      const response = await request(`${this.#origin}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${this.#token}`,
          ...(body === undefined ? {} : { 'content-type': 'application/json' }),
        },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
      });
      const answer: unknown = await response.body.json();
      if (response.statusCode >= FIRST_ERROR_STATUS) return left(answer as ErrorBody);
      return right(answer);
    } catch (error) {
      return left(noAnswerError(this.#origin, error));
    }
  }
}
