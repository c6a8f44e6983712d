/** Header names agreed between callers, entries and backend servers. All are lower case. */

/** From callers: milliseconds after which the caller has no use for the answer. */
export const DEADLINE_HEADER = 'snipethread-timeout-ms';
/** From callers: `true` or `false`; overrides the default of the HTTP method. */
export const IDEMPOTENT_HEADER = 'snipethread-idempotent';
/** From callers: the key that all repeats of one request carry. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key';
/** From backend servers, with status 503: the request certainly did not run. */
export const NOT_RUN_HEADER = 'snipethread-not-run';
/** From backend servers, with any answer: send no new work here. */
export const LEAVING_HEADER = 'snipethread-leaving';
/** To backend servers: the service that the request is for. */
export const SERVICE_HEADER = 'snipethread-service';
export const TRACEPARENT_HEADER = 'traceparent';
/** From callers: the caller's id, by which callers take turns when requests have to wait. */
export const CALLER_HEADER = 'snipethread-caller';
/** To callers: `true` when the answer is the one recorded under the idempotency key. */
export const REPLAYED_HEADER = 'snipethread-replayed';
