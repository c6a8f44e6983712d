import { describe, expect, it } from 'vitest';

import { sourceText } from '../../../../tools/test/sourceText.js';
import { ERROR_ANSWERS, ErrorKind, errorBody, failure, WorkOutcome } from '../common/errorKinds.js';

/** Kinds that occur only before anything is sent, or that the backend server itself reports. */
const NOT_RUN_KINDS: readonly ErrorKind[] = [
  ErrorKind.BadRequest,
  ErrorKind.BodyTooLarge,
  ErrorKind.UnknownService,
  ErrorKind.UnknownObject,
  ErrorKind.Unauthorised,
  ErrorKind.Forbidden,
  ErrorKind.NoServer,
  ErrorKind.Saturated,
  ErrorKind.DeadlineExceeded,
  ErrorKind.ServerRefused,
  ErrorKind.ShuttingDown,
  ErrorKind.StoreUnavailable,
  ErrorKind.PlanStale,
  ErrorKind.PlanExpired,
  ErrorKind.PlanConflict,
  ErrorKind.IntentImpossible,
  ErrorKind.ConfigurationUnknown,
  ErrorKind.DaemonUnreachable,
];

describe('the table of error kinds', () => {
  it('gives every kind an error status, and a retry delay only to retryable kinds', () => {
    Object.values(ErrorKind).forEach((kind) => {
      const answer = ERROR_ANSWERS[kind];
      expect(answer.statusCode, kind).toBeGreaterThanOrEqual(400);
      expect(answer.retryAfterMs > 0, kind).toBe(answer.isWorthRetrying);
      expect(errorBody(failure(kind, 'why')).workOutcome, kind).toBe(answer.workOutcome);
    });
  });

  it('reports not-run only for kinds where nothing can have been sent', () => {
    const notRun = Object.values(ErrorKind).filter(
      (kind) => ERROR_ANSWERS[kind].workOutcome === WorkOutcome.NotRun,
    );
    expect([...notRun].sort()).toEqual([...NOT_RUN_KINDS].sort());
  });

  it('contains no kind that the program never uses', async () => {
    const text = await sourceText(['services/errors/']);
    const unused = Object.keys(ErrorKind).filter((name) => !text.includes(`ErrorKind.${name}`));
    expect(unused).toEqual([]);
  });
});
