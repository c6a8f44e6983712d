/** Finds the queue of a request by a configuration that is recent enough to go by. */
import { type Either, left, right } from 'fp-ts/lib/Either.js';

import { ErrorKind, failure, type Failure } from '../../errors/common/errorKinds.js';
import { findQueue, type KnownOperatorState, type Queue } from './fleetConfiguration.js';

/**
 * Fails with `unknown-service` only if the queue was missing within the last `maximumAgeMs`. Where
 * the configuration may have changed since, the failure is `configuration-unknown`, which is worth
 * retrying, also for a queue that was found.
 */
export const lookUpQueue = (
  { state: { configuration }, confirmedAtMs }: KnownOperatorState,
  host: string,
  path: string,
  maximumAgeMs: number,
  nowMs: number,
): Either<Failure, Queue> => {
  const unknown = (message: string): Either<Failure, Queue> =>
    left(failure(ErrorKind.ConfigurationUnknown, message));
  if (configuration === undefined) return unknown('no configuration is known yet');
  if (nowMs - confirmedAtMs > maximumAgeMs) return unknown('the configuration may have changed');
  const queue = findQueue(configuration, host, path);
  return queue === undefined
    ? left(failure(ErrorKind.UnknownService, 'there is no such queue'))
    : right(queue);
};
