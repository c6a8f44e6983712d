/** Callers under chaos: unique requests through all entries, with what each was told. */
import { setTimeout as delay } from 'node:timers/promises';

import { Agent, request } from 'undici';

import { WorkOutcome } from '../../src/platform/errors/common/errorKinds.js';

const HTTP_OK = 200;
const LANE_COUNT = 8;
const PAUSE_MS = 10;
const TIMEOUT_MS = 8_000;

/** What a caller was told of one request. */
export interface ToldOutcome {
  readonly path: string;
  readonly isIdempotent: boolean;
  readonly outcome: 'whole' | 'wrong' | 'cut' | 'refused-connection' | WorkOutcome;
  readonly origin: string;
  readonly startedAtMs: number;
}

export class ChaosCaller {
  readonly told: ToldOutcome[] = [];

  readonly #origins: () => readonly string[];

  readonly #serviceName: string;

  readonly #agent = new Agent({ connections: LANE_COUNT, headersTimeout: TIMEOUT_MS });

  #isRunning = true;

  #requestCount = 0;

  readonly #lanes: Promise<unknown>;

  constructor(origins: () => readonly string[], serviceName: string) {
    this.#origins = origins;
    this.#serviceName = serviceName;
    this.#lanes = Promise.all(Array.from({ length: LANE_COUNT }, () => this.#runLane()));
  }

  async stop(): Promise<void> {
    this.#isRunning = false;
    await this.#lanes;
    await this.#agent.destroy();
  }

  async #runLane(): Promise<void> {
    while (this.#isRunning) {
      // eslint-disable-next-line no-await-in-loop -- a lane sends one request at a time
      await this.#send();
      // eslint-disable-next-line no-await-in-loop
      await delay(PAUSE_MS);
    }
  }

  async #send(): Promise<void> {
    const index = this.#requestCount;
    this.#requestCount += 1;
    const origins = this.#origins();
    const origin = origins[index % origins.length];
    if (origin === undefined) return;
    const path = `/request/${index}`;
    const isIdempotent = index % 2 === 0;
    const startedAtMs = performance.now();
    const outcome = await this.#outcomeOf(origin, path, isIdempotent);
    this.told.push({ path, isIdempotent, outcome, origin, startedAtMs });
  }

  async #outcomeOf(
    origin: string,
    path: string,
    isIdempotent: boolean,
  ): Promise<ToldOutcome['outcome']> {
    try {
      const response = await request(`${origin}/services/${this.#serviceName}${path}`, {
        dispatcher: this.#agent,
        method: isIdempotent ? 'GET' : 'POST',
      });
      const answer = (await response.body.json()) as { url?: string; workOutcome?: WorkOutcome };
      if (response.statusCode !== HTTP_OK) return answer.workOutcome ?? WorkOutcome.Unknown;
      return answer.url === path ? 'whole' : 'wrong';
    } catch (error) {
      return (error as { code?: string }).code === 'ECONNREFUSED' ? 'refused-connection' : 'cut';
    }
  }
}
