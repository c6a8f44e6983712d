/** A caller that sends requests through all entries and checks whose answers it gets. */
import { build, type Histogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';

import { systemClock } from '../../src/base/node/systemClock.js';

export interface CallerReport {
  whole: number;
  refused: number;
  unknown: number;
  wrongAnswers: number;
}

const CONCURRENCY = 8;
const HTTP_OK = 200;
const MICROSECONDS_PER_MS = 1_000;

export class Caller {
  readonly report: CallerReport = { whole: 0, refused: 0, unknown: 0, wrongAnswers: 0 };

  readonly #latency: Histogram = build({ numberOfSignificantValueDigits: 2 });

  readonly #origins: readonly string[];

  readonly #serviceName: string;

  readonly #agent = new Agent({ connections: CONCURRENCY });

  constructor(origins: readonly string[], serviceName: string) {
    this.#origins = origins;
    this.#serviceName = serviceName;
  }

  /** Sends `count` requests in turn through the entries, spread over about `durationMs`. */
  async run(count: number, durationMs: number): Promise<void> {
    const startedAtMs = systemClock.nowMs();
    let nextIndex = 0;
    const lane = async (): Promise<void> => {
      while (nextIndex < count) {
        const index = nextIndex;
        nextIndex += 1;
        const dueAtMs = startedAtMs + (index / count) * durationMs;
        const waitMs = Math.max(0, dueAtMs - systemClock.nowMs());
        // eslint-disable-next-line no-await-in-loop -- a lane sends one request at a time
        await new Promise((resolve) => {
          setTimeout(resolve, waitMs);
        });
        // eslint-disable-next-line no-await-in-loop
        await this.#send(index);
      }
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, lane));
    await this.#agent.close();
  }

  latencyMs(percentile: number): number {
    return this.#latency.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }

  async #send(index: number): Promise<void> {
    const origin = this.#origins[index % this.#origins.length] as string;
    const path = `/echo/${index}`;
    const startedAtMs = systemClock.nowMs();
    try {
      const response = await request(`${origin}/services/${this.#serviceName}${path}`, {
        dispatcher: this.#agent,
      });
      const answer = (await response.body.json()) as { url?: string; workOutcome?: string };
      if (response.statusCode === HTTP_OK && answer.url === path) {
        this.report.whole += 1;
        const elapsedMs = systemClock.nowMs() - startedAtMs;
        this.#latency.recordValue(Math.round(elapsedMs * MICROSECONDS_PER_MS));
      } else if (response.statusCode === HTTP_OK) this.report.wrongAnswers += 1;
      else if (answer.workOutcome === 'not-run') this.report.refused += 1;
      else this.report.unknown += 1;
    } catch {
      this.report.unknown += 1;
    }
  }
}
