/** Reads and checks the options in the headers of a caller's request. */
import { type Either, left, right } from 'fp-ts/lib/Either.js';

import { ErrorKind, failure, type Failure } from '../../services/errors/common/errorKinds.js';
import {
  CALLER_HEADER,
  DEADLINE_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  IDEMPOTENT_HEADER,
} from './headers.js';

export interface CallerRequest {
  readonly serviceName: string;
  readonly method: string;
  /** Path and query as the backend server receives them. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Uint8Array | undefined;
}

export interface RequestOptions {
  readonly timeoutMs: number;
  readonly isIdempotent: boolean;
  readonly idempotencyKey: string | undefined;
  /** Empty for callers that do not identify themselves. */
  readonly callerId: string;
}

export interface DeadlineLimits {
  readonly defaultDeadlineMs: number;
  readonly maximumDeadlineMs: number;
}

/** Methods that HTTP defines as idempotent. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set([
  'GET',
  'HEAD',
  'OPTIONS',
  'PUT',
  'DELETE',
]);
const KEY_PATTERN = /^[\x21-\x7e]{1,128}$/u;
const TIMEOUT_PATTERN = /^[1-9][0-9]{0,8}$/u;

const MAXIMUM_CALLER_ID_LENGTH = 64;

const badRequest = (message: string): Either<Failure, never> =>
  left(failure(ErrorKind.BadRequest, message));

const firstValue = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

export const readRequestOptions = (
  request: CallerRequest,
  limits: DeadlineLimits,
): Either<Failure, RequestOptions> => {
  const timeout = firstValue(request.headers[DEADLINE_HEADER]);
  if (timeout !== undefined && !TIMEOUT_PATTERN.test(timeout)) {
    return badRequest(`${DEADLINE_HEADER} is not a positive number of milliseconds`);
  }
  const idempotent = firstValue(request.headers[IDEMPOTENT_HEADER]);
  if (idempotent !== undefined && idempotent !== 'true' && idempotent !== 'false') {
    return badRequest(`${IDEMPOTENT_HEADER} is neither true nor false`);
  }
  const idempotencyKey = firstValue(request.headers[IDEMPOTENCY_KEY_HEADER]);
  if (idempotencyKey !== undefined && !KEY_PATTERN.test(idempotencyKey)) {
    return badRequest(`${IDEMPOTENCY_KEY_HEADER} is not 1 to 128 visible characters`);
  }
  const timeoutMs = timeout === undefined ? limits.defaultDeadlineMs : Number(timeout);
  return right({
    timeoutMs: Math.min(timeoutMs, limits.maximumDeadlineMs),
    isIdempotent:
      idempotent === undefined ? IDEMPOTENT_METHODS.has(request.method) : idempotent === 'true',
    idempotencyKey,
    callerId: (firstValue(request.headers[CALLER_HEADER]) ?? '').slice(0, MAXIMUM_CALLER_ID_LENGTH),
  });
};
