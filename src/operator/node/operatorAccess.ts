/** Authenticates operators by bearer token and checks their roles. */
import { createHash, timingSafeEqual } from 'node:crypto';

import { type Either, left, right } from 'fp-ts/lib/Either.js';

import { ErrorKind, failure, type Failure } from '../../services/errors/common/errorKinds.js';
import { OperatorRole, type Settings } from '../../services/settings/common/settings.js';

const RANKS: Readonly<Record<OperatorRole, number>> = {
  [OperatorRole.View]: 0,
  [OperatorRole.Plan]: 1,
  [OperatorRole.Confirm]: 2,
};

const BEARER = /^Bearer (\S+)$/u;

export class OperatorAccess {
  readonly #tokens: Settings['operator']['tokens'];

  constructor(tokens: Settings['operator']['tokens']) {
    this.#tokens = tokens;
  }

  /** Returns the operator's name. Fails if the token is unknown or its role is not sufficient. */
  check(authorization: string | undefined, needed: OperatorRole): Either<Failure, string> {
    const [, token = ''] = BEARER.exec(authorization ?? '') ?? [];
    const hash = createHash('sha256').update(token).digest();
    // All hashes are compared, so that the response time does not reveal which one matched.
    const [operator] = this.#tokens.filter(({ sha256 }) =>
      timingSafeEqual(Buffer.from(sha256, 'hex'), hash),
    );
    if (operator === undefined) {
      const message = token === '' ? 'no bearer token was given' : 'the token is not known here';
      return left(failure(ErrorKind.Unauthorised, message));
    }
    if (RANKS[operator.role] < RANKS[needed]) {
      const message = `${operator.name} has the role ${operator.role}; this needs ${needed}`;
      return left(failure(ErrorKind.Forbidden, message));
    }
    return right(operator.name);
  }
}
