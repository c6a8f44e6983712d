/** One JSON call over HTTP to a platform service, with its failures classified. */
import { type Either, left, right } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import { type Dispatcher, request } from 'undici';
import type { z } from 'zod';

import { ErrorKind, failure, type Failure } from '../../errors/common/errorKinds.js';

/** Error codes of undici that mean that nothing was sent. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

const HTTP_OK = 200;
const HTTP_UNAVAILABLE = 503;

/** Whether an exception of undici proves that the request was not sent. */
export const isSurelyNotSent = (error: unknown): boolean => {
  const { code } = error as { readonly code?: unknown };
  return typeof code === 'string' && NOT_SENT_CODES.has(code);
};

export interface HttpCall<Answer> {
  readonly dispatcher: Dispatcher;
  readonly url: string;
  readonly body?: unknown;
  /** The body as JSON text, from callers that serialize it themselves; it overrides `body`. */
  readonly bodyText?: string;
  readonly answerSchema: z.ZodType<Answer>;
  readonly timeoutMs: number;
  /** The error kind when the call cannot have taken effect. */
  readonly notSentKind: ErrorKind;
  /** The error kind when the call may have taken effect. */
  readonly lostKind: ErrorKind;
}

/**
 * Posts a JSON body and validates the answer. If there is no answer within the timeout, the abort
 * closes the connection, so a silent connection fails one call and not every later one.
 */
export const httpCall =
  <Answer>(call: HttpCall<Answer>): TaskEither<Failure, Answer> =>
  async (): Promise<Either<Failure, Answer>> => {
    try {
      const response = await request(call.url, {
        dispatcher: call.dispatcher,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: call.bodyText ?? JSON.stringify(call.body),
        signal: AbortSignal.timeout(call.timeoutMs),
      });
      const answer: unknown = await response.body.json();
      if (response.statusCode === HTTP_UNAVAILABLE) {
        return left(failure(call.notSentKind, `${call.url} is unavailable`));
      }
      if (response.statusCode !== HTTP_OK) {
        return left(failure(call.lostKind, `${call.url} answered ${response.statusCode}`));
      }
      const parsed = call.answerSchema.safeParse(answer);
      if (!parsed.success) {
        return left(failure(call.lostKind, `${call.url} gave an answer of another form`));
      }
      return right(parsed.data);
    } catch (error) {
      const kind = isSurelyNotSent(error) ? call.notSentKind : call.lostKind;
      return left(failure(kind, `${call.url}: ${(error as Error).message}`));
    }
  };
