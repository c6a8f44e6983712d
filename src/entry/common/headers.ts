/** Header names agreed between callers, entries and backend servers. All are lower case. */

/** From callers: time until the answer is worthless, in milliseconds. */
export const DEADLINE_HEADER = 'snipethread-timeout-ms';
/** From callers: `true` or `false`, in place of what the method says. */
export const IDEMPOTENT_HEADER = 'snipethread-idempotent';
/** From callers: repeats of a request carry the same key. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
/** From backend servers, with status 503: the request surely did not run. */
export const NOT_RUN_HEADER = 'snipethread-not-run';
/** From backend servers, with any answer: send no new work here. */
export const LEAVING_HEADER = 'snipethread-leaving';
/** To backend servers: the service that the request is for. */
export const SERVICE_HEADER = 'snipethread-service';
export const TRACEPARENT_HEADER = 'traceparent';
/** From callers: who sends, so that callers take turns when requests have to wait. */
export const CALLER_HEADER = 'snipethread-caller';
/** To callers: `true` when an answer recorded under the idempotency key is given again. */
export const REPLAYED_HEADER = 'snipethread-replayed';
