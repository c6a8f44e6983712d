/** A caller that sends requests through all entries and checks that each answer is its own. */
import { setTimeout as delay } from 'node:timers/promises';

import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';

import { systemClock } from '../../src/base/node/systemClock.js';

export interface CallerReport {
  readonly whole: number;
  readonly refused: number;
  readonly unknown: number;
  readonly wrongAnswers: number;
}

/** The outcome of one request as the caller sees it. */
export interface RequestOutcome {
  readonly path: string;
  readonly isIdempotent: boolean;
  readonly outcome: 'whole' | 'not-run' | 'unknown' | 'wrong' | 'cut' | 'not-connected';
  readonly origin: string;
  readonly startedAtMs: number;
}

/** The number of concurrent requests. */
export const CALLER_CONCURRENCY = 8;
const HTTP_OK = 200;
const MICROSECONDS_PER_MS = 1_000;

export class Caller {
  readonly outcomes: RequestOutcome[] = [];

  readonly #latency: Histogram = build({ numberOfSignificantValueDigits: 2 });

  readonly #origins: () => readonly string[];

  readonly #serviceName: string;

  readonly #agent = new Agent({ connections: CALLER_CONCURRENCY });

  constructor(origins: () => readonly string[], serviceName: string) {
    this.#origins = origins;
    this.#serviceName = serviceName;
  }

  /** Sends `count` requests to the entries in turn, spread over about `durationMs`. */
  async run(count: number, durationMs: number): Promise<void> {
    const startedAtMs = systemClock.nowMs();
    let nextIndex = 0;
    const sendInTurn = async (): Promise<void> => {
      while (nextIndex < count) {
        const index = nextIndex;
        nextIndex += 1;
        const dueAtMs = startedAtMs + (index / count) * durationMs;
        const waitMs = Math.max(0, dueAtMs - systemClock.nowMs());
        // eslint-disable-next-line no-await-in-loop -- a sender sends one request at a time
        await delay(waitMs);
        // eslint-disable-next-line no-await-in-loop
        await this.#send(index);
      }
    };
    await Promise.all(Array.from({ length: CALLER_CONCURRENCY }, sendInTurn));
    await this.#agent.close();
  }

  latencyMs(percentile: number): number {
    return this.#latency.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }

  get report(): CallerReport {
    const count = (outcomes: readonly RequestOutcome['outcome'][]): number =>
      this.outcomes.filter(({ outcome }) => outcomes.includes(outcome)).length;
    return {
      whole: count(['whole']),
      refused: count(['not-run', 'not-connected']),
      unknown: count(['unknown', 'cut']),
      wrongAnswers: count(['wrong']),
    };
  }

  async #send(index: number): Promise<void> {
    const origins = this.#origins();
    const origin = origins[index % origins.length];
    if (origin === undefined) return;
    const path = `/echo/${index}`;
    const isIdempotent = index % 2 === 0;
    const startedAtMs = systemClock.nowMs();
    const outcome = await this.#outcomeOf(origin, path, isIdempotent);
    this.outcomes.push({ path, isIdempotent, outcome, origin, startedAtMs });
    if (outcome !== 'whole') return;
    const elapsedMs = systemClock.nowMs() - startedAtMs;
    this.#latency.recordValue(Math.round(elapsedMs * MICROSECONDS_PER_MS));
  }

  async #outcomeOf(
    origin: string,
    path: string,
    isIdempotent: boolean,
  ): Promise<RequestOutcome['outcome']> {
    try {
      const response = await request(`${origin}/services/${this.#serviceName}${path}`, {
        dispatcher: this.#agent,
        method: isIdempotent ? 'GET' : 'POST',
      });
      const answer = (await response.body.json()) as { url?: string; workOutcome?: string };
      if (response.statusCode === HTTP_OK) return answer.url === path ? 'whole' : 'wrong';
      return answer.workOutcome === 'not-run' ? 'not-run' : 'unknown';
    } catch (error) {
      // The answer arrived as complete, but its body is truncated.
      if (error instanceof SyntaxError) return 'wrong';
      return (error as { code?: string }).code === 'ECONNREFUSED' ? 'not-connected' : 'cut';
    }
  }
}
