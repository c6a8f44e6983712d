/** Writes a failure as the HTTP answer that `ERROR_ANSWERS` defines for its kind. */
import type { FastifyReply } from 'fastify';

import { ERROR_ANSWERS, errorBody, type Failure } from '../../errors/common/errorKinds.js';

const MS_PER_SECOND = 1_000;

/** The header of error answers to callers and operators: `not-run`, `ran` or `unknown`. */
export const WORK_OUTCOME_HEADER = 'snipethread-work';

/** Sends an error answer; `details` are added to the fields that every error body has. */
export const replyWithFailure = (
  reply: FastifyReply,
  cause: Failure,
  details: Readonly<Record<string, unknown>> = {},
): FastifyReply => {
  const body = errorBody(cause);
  void reply
    .code(ERROR_ANSWERS[cause.kind].statusCode)
    .header(WORK_OUTCOME_HEADER, body.workOutcome);
  if (body.isWorthRetrying) {
    void reply.header('retry-after', Math.ceil(body.retryAfterMs / MS_PER_SECOND));
  }
  return reply.send({ ...body, ...details });
};
