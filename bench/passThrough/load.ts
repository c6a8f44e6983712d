/** Generates load in a closed loop: each connection sends a request after the previous answer. */
import { build } from 'hdr-histogram-js';
import { Pool } from 'undici';

import { systemClock } from '../../src/base/node/systemClock.js';

export const CONNECTION_COUNT = 32;

const BODY_BYTES = 256;
const HTTP_OK = 200;
const MICROSECONDS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** The result of one round of load. */
export interface LoadResult {
  readonly requestCount: number;
  readonly requestsPerSecond: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Answers with a status other than 200. */
  readonly failureCount: number;
}

const body = Buffer.alloc(BODY_BYTES, 'b');
const REQUEST_HEADERS = { 'content-type': 'text/plain' };

/** Sends requests on all connections without pause for `durationMs`. */
export const runLoad = async (
  origin: string,
  path: string,
  durationMs: number,
): Promise<LoadResult> => {
  const pool = new Pool(origin, { connections: CONNECTION_COUNT, pipelining: 1 });
  const latency = build({ numberOfSignificantValueDigits: 3, useWebAssembly: false });
  const startedAtMs = systemClock.nowMs();
  let failureCount = 0;
  const sendInSequence = async (): Promise<void> => {
    for (let sentAtMs = startedAtMs; sentAtMs < startedAtMs + durationMs;) {
      // eslint-disable-next-line no-await-in-loop -- one request at a time on each connection
      const answer = await pool.request({ method: 'POST', path, headers: REQUEST_HEADERS, body });
      // eslint-disable-next-line no-await-in-loop
      await answer.body.arrayBuffer();
      const nowMs = systemClock.nowMs();
      if (answer.statusCode !== HTTP_OK) failureCount += 1;
      latency.recordValue(Math.round((nowMs - sentAtMs) * MICROSECONDS_PER_MS));
      sentAtMs = nowMs;
    }
  };
  await Promise.all(Array.from({ length: CONNECTION_COUNT }, sendInSequence));
  const elapsedMs = systemClock.nowMs() - startedAtMs;
  await pool.close();
  return {
    requestCount: latency.totalCount,
    requestsPerSecond: (latency.totalCount / elapsedMs) * MS_PER_SECOND,
    p50Ms: latency.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99Ms: latency.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
    failureCount,
  };
};
