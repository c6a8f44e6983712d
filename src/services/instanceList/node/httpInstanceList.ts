/**
 * The instance list over HTTP, transferred in full only if it may have changed.
 *
 * The first request is a POST. If the answer has an `ETag`, later requests are GETs with
 * `If-None-Match`, and the platform answers 304 while nothing has changed. If the platform sends no
 * tag or refuses GET, all requests are POSTs, and an answer identical to the previous one is not
 * parsed again.
 */
import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import { Agent, request } from 'undici';

import type { Disposable } from '../../../base/common/lifecycle.js';
import { ErrorKind, failure, type Failure } from '../../errors/common/errorKinds.js';
import {
  type InstanceList,
  type InstanceListAnswer,
  instanceListSchema,
} from '../common/instanceList.js';

const PATH = '/v1/instances/list';
const HTTP_OK = 200;
const HTTP_NOT_MODIFIED = 304;
/** Status codes of a platform that does not support GET for the list. */
const GET_UNSUPPORTED_STATUSES: ReadonlySet<number> = new Set([400, 404, 405, 501]);

interface RawAnswer {
  readonly statusCode: number;
  readonly etag: string | undefined;
  readonly text: string;
}

const toEtag = (header: string | readonly string[] | undefined): string | undefined =>
  typeof header === 'string' && header !== '' ? header : undefined;

export class HttpInstanceList implements InstanceList, Disposable {
  readonly #agent: Agent;

  readonly #origin: string;

  readonly #timeoutMs: number;

  #etag: string | undefined;

  #isGetSupported = true;

  /** The last valid full answer; about 310 bytes per instance. */
  #text: string | undefined;

  constructor(origin: string, timeoutMs: number) {
    this.#origin = origin;
    this.#timeoutMs = timeoutMs;
    this.#agent = new Agent({ connections: 1, connect: { timeout: timeoutMs } });
  }

  read(): TaskEither<Failure, InstanceListAnswer> {
    return async () => {
      const result = await this.#read();
      // After an outage the platform may have restarted and count its tags from the start again.
      // The same tag could then stand for another list, and a leaving instance would be missed.
      if (isLeft(result)) this.#etag = undefined;
      return result;
    };
  }

  dispose(): void {
    void this.#agent.destroy();
  }

  async #read(): Promise<Either<Failure, InstanceListAnswer>> {
    try {
      const answer = await this.#fetch();
      if (answer.statusCode === HTTP_NOT_MODIFIED && this.#etag !== undefined) {
        return right({ instances: undefined, isConditional: true });
      }
      if (answer.statusCode === HTTP_OK) return this.#toAnswer(answer);
      return this.#toFailure(`answered ${answer.statusCode}`);
    } catch (error) {
      return this.#toFailure((error as Error).message);
    }
  }

  #toAnswer({ etag, text }: RawAnswer): Either<Failure, InstanceListAnswer> {
    const isConditional = etag !== undefined && this.#isGetSupported;
    if (text === this.#text) {
      this.#etag = etag;
      return right({ instances: undefined, isConditional });
    }
    const parsed = instanceListSchema.safeParse(JSON.parse(text));
    if (!parsed.success) return this.#toFailure('gave an answer of another form');
    this.#etag = etag;
    this.#text = text;
    return right({ instances: parsed.data.instances, isConditional });
  }

  async #fetch(): Promise<RawAnswer> {
    if (this.#etag === undefined || !this.#isGetSupported) {
      const headers = { 'content-type': 'application/json' };
      return this.#send({ method: 'POST', headers, body: '{}' });
    }
    const answer = await this.#send({ method: 'GET', headers: { 'if-none-match': this.#etag } });
    if (!GET_UNSUPPORTED_STATUSES.has(answer.statusCode)) return answer;
    this.#isGetSupported = false;
    return this.#fetch();
  }

  async #send(
    options: { readonly headers: Record<string, string> } & (
      { readonly method: 'GET' } | { readonly method: 'POST'; readonly body: string }
    ),
  ): Promise<RawAnswer> {
    const { statusCode, headers, body } = await request(`${this.#origin}${PATH}`, {
      ...options,
      dispatcher: this.#agent,
      signal: AbortSignal.timeout(this.#timeoutMs),
    });
    return { statusCode, etag: toEtag(headers.etag), text: await body.text() };
  }

  #toFailure(message: string): Either<Failure, never> {
    return left(failure(ErrorKind.StoreUnavailable, `${this.#origin}${PATH} ${message}`));
  }
}
