/** Clients of the daemon that submit, repeat, read and cancel over persistent connections. */
import { setTimeout as delay } from 'node:timers/promises';

import type { RandomSource } from '../../../src/base/common/random.js';
import { RunEnd } from '../../../src/services/fleet/common/fleetWorker.js';
import type { ModelTask } from '../../../standIns/fleet/workerModel.js';
import type { DaemonInstance } from './daemonInstance.js';
import type { PlatformJudge } from './platformJudge.js';
import { drawSubmission, toBody } from './soakSubmissions.js';
import type { WriteLog, SoakSubmission } from './soakTypes.js';

export const QUEUE_HOST = 'soak.example';
export const QUEUE_PREFIX = '/soak/';
const TIMEOUT_MS = 3_000;
const CLIENT_MARGIN_MS = 500;
const SUBMIT_ATTEMPTS = 4;
const RETRY_MS = 300;
const CANCEL_ATTEMPTS = 10;
const SUBMIT_INTERVAL_MS = 300;
const READ_INTERVAL_MS = 40;
const INITIAL_PERSISTENT_COUNT = 8;
const PERSISTENT_LIMIT = 14;
const PERSISTENT_RATIO = 0.06;
const REPEAT = { ratio: 0.15, withinMs: 4_000 };
const CANCEL = { ratio: 0.12, withinMs: 2_500 };
const CANCEL_PERSISTENT = { ratio: 0.25, withinMs: 25_000 };
/** The share of persistent tasks that fail by themselves, and the time after which they do. */
const FAILING = { ratio: 0.3, leastMs: 4_000, withinMs: 20_000 };
const NEVER_MS = 2 ** 40;
const OK = 200;
const GONE = 410;
const REFUSALS: readonly number[] = [429, 503];
const UNCERTAIN: readonly number[] = [502, 504];

interface Answer {
  readonly statusCode: number | undefined;
  readonly state: string | undefined;
  readonly sentAtMs: number;
}

export class SoakClients {
  readonly #random: RandomSource;

  readonly #instances: readonly DaemonInstance[];

  readonly #judge: PlatformJudge;

  readonly #nowMs: () => number;

  readonly #log: WriteLog;

  readonly #accepted: string[] = [];

  #isSubmitting = true;

  #isReading = true;

  #persistentCount = 0;

  unansweredCount = 0;

  constructor(
    random: RandomSource,
    instances: readonly DaemonInstance[],
    judge: PlatformJudge,
    nowMs: () => number,
    log: WriteLog,
  ) {
    this.#random = random;
    this.#instances = instances;
    this.#judge = judge;
    this.#nowMs = nowMs;
    this.#log = log;
  }

  /** Returns how a started task behaves: how long it works and how it ends. */
  taskOf(taskName: string): ModelTask {
    const step = this.#judge.stepOf(taskName);
    if (step?.isPersistent !== true) {
      const end = step?.isFailing === true ? RunEnd.Failed : RunEnd.Done;
      return { workMs: step?.workMs ?? 0, end };
    }
    const isFailing = this.#random.nextFraction() < FAILING.ratio;
    const failsAfterMs = FAILING.leastMs + this.#random.nextIndex(FAILING.withinMs);
    return { workMs: isFailing ? failsAfterMs : NEVER_MS, end: RunEnd.Failed };
  }

  async submitUntilStopped(): Promise<void> {
    const lifecycles: Promise<void>[] = [];
    while (this.#isSubmitting) {
      const isInitial = this.#persistentCount < INITIAL_PERSISTENT_COUNT;
      const isDrawn = this.#random.nextFraction() < PERSISTENT_RATIO;
      const isPersistent = isInitial || (isDrawn && this.#persistentCount < PERSISTENT_LIMIT);
      if (isPersistent) this.#persistentCount += 1;
      lifecycles.push(this.#runLifecycle(drawSubmission(this.#random, isPersistent), isPersistent));
      // eslint-disable-next-line no-await-in-loop -- one after the other
      await delay(isInitial ? 1 : this.#random.nextIndex(SUBMIT_INTERVAL_MS));
    }
    await Promise.all(lifecycles);
  }

  async readUntilStopped(): Promise<void> {
    while (this.#isReading) {
      const id = this.#accepted[this.#random.nextIndex(Math.max(1, this.#accepted.length))];
      if (id !== undefined) void this.read(id);
      // eslint-disable-next-line no-await-in-loop -- one after the other
      await delay(READ_INTERVAL_MS);
    }
  }

  stopSubmitting(): void {
    this.#isSubmitting = false;
  }

  stopReading(): void {
    this.#isReading = false;
  }

  async read(id: string): Promise<void> {
    const { statusCode, state, sentAtMs } = await this.#call('GET', id);
    const isKnown = statusCode === OK && state !== undefined;
    if (isKnown || statusCode === GONE) {
      this.#judge.noteState(id, isKnown ? state : undefined, sentAtMs, this.#nowMs());
    }
  }

  async #runLifecycle(submission: SoakSubmission, isPersistent: boolean): Promise<void> {
    const { id } = submission;
    this.#judge.noteSubmission(submission);
    await this.#submit(submission);
    if (this.#judge.submissions.get(id)?.acceptedAtMs === undefined) return;
    this.#accepted.push(id);
    const cancel = isPersistent ? CANCEL_PERSISTENT : CANCEL;
    const isRepeated = this.#random.nextFraction() < REPEAT.ratio;
    const isCancelled = this.#random.nextFraction() < cancel.ratio;
    const repeatAfterMs = this.#random.nextIndex(REPEAT.withinMs);
    const cancelAfterMs = this.#random.nextIndex(cancel.withinMs);
    await Promise.all([
      isRepeated ? delay(repeatAfterMs).then(() => this.#call('POST', id, submission)) : undefined,
      isCancelled ? delay(cancelAfterMs).then(() => this.#cancel(id)) : undefined,
    ]);
  }

  async #submit(submission: SoakSubmission): Promise<void> {
    const { id } = submission;
    const statuses: (number | undefined)[] = [];
    for (let attempt = 0; attempt < SUBMIT_ATTEMPTS; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- the next attempt depends on this one's answer
      const { statusCode } = await this.#call('POST', id, submission);
      statuses.push(statusCode);
      if (statusCode === OK) {
        this.#judge.noteAccepted(id, this.#nowMs());
        return;
      }
      const isExpected =
        statusCode === undefined || [...REFUSALS, ...UNCERTAIN].includes(statusCode);
      if (!isExpected) this.#judge.noteUnexpected(`${id} is answered ${statusCode}`, this.#nowMs());
      // eslint-disable-next-line no-await-in-loop
      await delay(RETRY_MS);
    }
    const isRefused = statuses.every((status) => status !== undefined && REFUSALS.includes(status));
    if (isRefused) this.#judge.noteRefused(id, this.#nowMs());
  }

  async #cancel(id: string): Promise<void> {
    this.#judge.noteCancelSent(id);
    for (let attempt = 0; attempt < CANCEL_ATTEMPTS; attempt += 1) {
      // eslint-disable-next-line no-await-in-loop -- retries only if this attempt was not confirmed
      const { statusCode, sentAtMs } = await this.#call('DELETE', id);
      if (statusCode === OK) {
        this.#judge.noteCancelled(id, this.#nowMs());
        return;
      }
      if (statusCode === GONE) this.#judge.noteState(id, undefined, sentAtMs, this.#nowMs());
      // eslint-disable-next-line no-await-in-loop
      await delay(RETRY_MS);
    }
  }

  /** Calls a random instance whose process runs, even if it drains. */
  async #call(
    method: 'GET' | 'POST' | 'DELETE',
    id: string,
    submission?: SoakSubmission,
  ): Promise<Answer> {
    const sentAtMs = this.#nowMs();
    const running = this.#instances.filter(({ pool }) => pool !== undefined);
    const instance = running[this.#random.nextIndex(Math.max(1, running.length))];
    const pool = instance?.pool;
    if (pool === undefined) return { statusCode: undefined, state: undefined, sentAtMs };
    try {
      const response = await pool.request({
        method,
        path: `${QUEUE_PREFIX}${id}`,
        headers: {
          host: QUEUE_HOST,
          'content-type': 'application/json',
          'snipethread-timeout-ms': String(TIMEOUT_MS),
        },
        ...(submission === undefined ? {} : { body: JSON.stringify(toBody(submission)) }),
        headersTimeout: TIMEOUT_MS + CLIENT_MARGIN_MS,
        bodyTimeout: TIMEOUT_MS + CLIENT_MARGIN_MS,
      });
      const body = (await response.body.json()) as { readonly State?: string };
      return { statusCode: response.statusCode, state: body.State, sentAtMs };
    } catch (error) {
      // The process has ended or timed out. Whether the request took effect is unknown.
      this.unansweredCount += 1;
      const { code, message } = error as { readonly code?: unknown; readonly message: string };
      this.#log('unanswered', { method, id, sentAtMs, instance: instance?.id, code, message });
      return { statusCode: undefined, state: undefined, sentAtMs };
    }
  }
}
