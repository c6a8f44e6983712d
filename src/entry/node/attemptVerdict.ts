/** Maps the result of an attempt to a verdict on its server. */
import { ServerVerdict } from '../common/admissionDecision.js';
import { AttemptEnd } from '../common/attempt.js';
import type { AttemptResult } from './attemptRun.js';
import type { RunningAttempt } from './activeRequest.js';

const FIRST_SERVER_ERROR = 500;

/** An attempt that this entry cancelled does not count as a failure of its server. */
export const attemptVerdict = (attempt: RunningAttempt, result: AttemptResult): ServerVerdict => {
  if (attempt.isOvertaken) return ServerVerdict.Overtaken;
  if (attempt.isAbandoned) {
    const isUnused = result.end === AttemptEnd.NotRun;
    return isUnused ? ServerVerdict.Unused : ServerVerdict.Abandoned;
  }
  const isServerError =
    result.answer === undefined || result.answer.statusCode >= FIRST_SERVER_ERROR;
  return isServerError ? ServerVerdict.Failure : ServerVerdict.Success;
};
