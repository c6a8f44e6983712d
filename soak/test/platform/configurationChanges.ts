/** Changes the configuration in series and asks each instance for counts of the changed queues. */
import { setTimeout as delay } from 'node:timers/promises';

import type { RandomSource } from '../../../src/base/common/random.js';
import type { StoreServer } from '../../../platform/test/storeServer.js';
import { ConfigurationJudge } from './configurationJudge.js';
import type { DaemonInstance } from './daemonInstance.js';
import { SERVICE } from './fleetWorkerOptions.js';
import { MAXIMUM_ATTEMPTS, type PlatformJudge } from './platformJudge.js';
import { QUEUE_HOST, QUEUE_PREFIX } from './soakClients.js';
import { drawFailing, toBody } from './soakSubmissions.js';
import type { WriteLog } from './soakTypes.js';

const QUEUE_NAMES = ['extra-0', 'extra-1', 'extra-2', 'extra-3'] as const;
/** Changes come in series with short gaps and long pauses between the series. */
const SERIES = { leastChanges: 1, moreChanges: 5, gapMs: 700, pauseMs: 5_000 };
const VERSION_STEP = 4;
const ASK_INTERVAL_MS = 150;
const ANSWER_TIMEOUT_MS = 1_500;
const OK = 200;
const NOT_FOUND = 404;
const UNAVAILABLE = 503;

export interface ConfigurationChangeServices {
  readonly random: RandomSource;
  readonly store: StoreServer;
  readonly instances: readonly DaemonInstance[];
  readonly judge: PlatformJudge;
  readonly nowMs: () => number;
  readonly log: WriteLog;
  readonly addFinding: (text: string) => void;
}

const routeOf = (name: string, prefix: string): Readonly<Record<string, unknown>> => ({
  ...{ Name: name, Host: QUEUE_HOST, Prefix: prefix, Service: SERVICE },
  Attempts: MAXIMUM_ATTEMPTS,
});

export class ConfigurationChanges {
  readonly #services: ConfigurationChangeServices;

  readonly #judge = new ConfigurationJudge();

  readonly #present = new Set<string>();

  #version = 0;

  #isRunning = true;

  readonly counts = { versions: 0, counted: 0, missing: 0, unconfirmed: 0, failing: 0 };

  constructor(services: ConfigurationChangeServices) {
    this.#services = services;
  }

  /** Stores the next version, in which the queues that are present now can be used. */
  store(): void {
    const { store, random, nowMs, log } = this.#services;
    this.#version += 1 + random.nextIndex(VERSION_STEP);
    const queues = [...this.#present];
    store.put('op', 'config', {
      Version: this.#version,
      Services: [{ Name: SERVICE }],
      Routes: [routeOf('soak', QUEUE_PREFIX), ...queues.map((name) => routeOf(name, `/${name}/`))],
    });
    this.#judge.noteStored(this.#version, queues, nowMs());
    this.counts.versions += 1;
    log('configuration', { version: this.#version, queues });
  }

  async changeUntilStopped(): Promise<void> {
    const { random } = this.#services;
    const submitted: Promise<void>[] = [];
    while (this.#isRunning) {
      const changeCount = SERIES.leastChanges + random.nextIndex(SERIES.moreChanges);
      for (let change = 0; change < changeCount; change += 1) {
        const name = QUEUE_NAMES[random.nextIndex(QUEUE_NAMES.length)] ?? QUEUE_NAMES[0];
        if (!this.#present.delete(name)) this.#present.add(name);
        this.store();
        submitted.push(this.#submitFailing());
        // eslint-disable-next-line no-await-in-loop -- one after the other
        await delay(random.nextIndex(SERIES.gapMs));
      }
      // eslint-disable-next-line no-await-in-loop
      await delay(random.nextIndex(SERIES.pauseMs));
    }
    await Promise.all(submitted);
  }

  /** Submits a task that always fails to a queue that is present and may soon be removed. */
  async #submitFailing(): Promise<void> {
    const { random, judge, instances, nowMs } = this.#services;
    const queue = [...this.#present][random.nextIndex(Math.max(1, this.#present.size))];
    const running = instances.filter(({ pool }) => pool !== undefined);
    const pool = running[random.nextIndex(Math.max(1, running.length))]?.pool;
    if (queue === undefined || pool === undefined) return;
    const submission = drawFailing(random);
    judge.noteSubmission(submission);
    const answer = await pool
      .request({
        ...{ method: 'POST', path: `/${queue}/${submission.id}`, headers: { host: QUEUE_HOST } },
        body: JSON.stringify(toBody(submission)),
        ...{ headersTimeout: ANSWER_TIMEOUT_MS, bodyTimeout: ANSWER_TIMEOUT_MS },
      })
      .catch(() => undefined);
    await answer?.body.dump().catch(() => undefined);
    if (answer?.statusCode !== OK) return;
    judge.noteAccepted(submission.id, nowMs());
    this.counts.failing += 1;
  }

  /** Asks every instance for every queue, whether it is present or not. */
  async askUntilStopped(): Promise<void> {
    const asked: Promise<void>[] = [];
    while (this.#isRunning) {
      this.#services.instances.forEach((instance) =>
        QUEUE_NAMES.forEach((name) => asked.push(this.#ask(instance, name))),
      );
      // eslint-disable-next-line no-await-in-loop -- again and again
      await delay(ASK_INTERVAL_MS);
    }
    await Promise.all(asked);
  }

  stop(): void {
    this.#isRunning = false;
  }

  async #ask({ id, pool, startCount }: DaemonInstance, queue: string): Promise<void> {
    const { nowMs, addFinding } = this.#services;
    const sentAtMs = nowMs();
    const answer = await pool
      ?.request({
        ...{ method: 'GET', path: `/${queue}/`, headers: { host: QUEUE_HOST } },
        ...{ headersTimeout: ANSWER_TIMEOUT_MS, bodyTimeout: ANSWER_TIMEOUT_MS },
      })
      .catch(() => undefined);
    await answer?.body.dump().catch(() => undefined);
    const statusCode = answer?.statusCode;
    if (statusCode === UNAVAILABLE) this.counts.unconfirmed += 1;
    if (statusCode !== OK && statusCode !== NOT_FOUND) return;
    const isCounted = statusCode === OK;
    this.counts[isCounted ? 'counted' : 'missing'] += 1;
    const processKey = `${id}#${startCount}`;
    const finding = this.#judge.check({ processKey, queue, isCounted, sentAtMs }, nowMs());
    if (finding !== undefined) addFinding(finding);
  }
}
