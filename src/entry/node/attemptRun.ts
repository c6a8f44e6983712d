/** One attempt at a backend server, over one undici connection. */
import type { Dispatcher } from 'undici';

import type { Metrics } from '../../services/metrics/common/metrics.js';
import { AttemptEnd } from '../common/attempt.js';
import { LEAVING_HEADER, NOT_RUN_HEADER } from '../common/headers.js';

type Headers = Readonly<Record<string, string | string[] | undefined>>;

export interface BackendAnswer {
  readonly statusCode: number;
  readonly headers: Headers;
  readonly body: Buffer;
}

export interface AttemptResult {
  readonly end: AttemptEnd;
  readonly answer: BackendAnswer | undefined;
  readonly isServerLeaving: boolean;
}

const FIRST_FINAL_STATUS = 200;
const HTTP_NO_CONTENT = 204;
const HTTP_NOT_MODIFIED = 304;
const HTTP_UNAVAILABLE = 503;

class AttemptCancelledError extends Error {}

/**
 * Handles the events of the attempt's connection and settles once.
 *
 * It is known exactly whether anything was sent: undici calls `onRequestStart` just before it
 * writes the first byte, and an attempt that was cancelled before then is stopped there. An error
 * code would not show this, because a broken route gives the same code for a connection that has
 * carried the request and for one that never opened.
 *
 * An answer counts as complete only when its framing says where it ends and that end was reached.
 * An answer without a length that ends with the connection looks the same when its server died in
 * the middle, so it counts as lost.
 */
export class AttemptRun implements Dispatcher.DispatchHandler {
  readonly result: Promise<AttemptResult>;

  readonly #method: string;

  readonly #maximumBodyBytes: number;

  readonly #metrics: Metrics;

  #settle: ((result: AttemptResult) => void) | undefined;

  #controller: Dispatcher.DispatchController | undefined;

  #isSent = false;

  #hasProgress = false;

  #isFramed = false;

  #statusCode = 0;

  #headers: Headers = {};

  #chunks: Buffer[] = [];

  #receivedBytes = 0;

  constructor(method: string, maximumBodyBytes: number, metrics: Metrics) {
    this.#method = method;
    this.#maximumBodyBytes = maximumBodyBytes;
    this.#metrics = metrics;
    this.result = new Promise((resolve) => {
      this.#settle = resolve;
    });
  }

  /** Whether any byte of the answer has arrived. */
  get hasProgress(): boolean {
    return this.#hasProgress;
  }

  /** Whether a byte of the request may have been sent. */
  get isSent(): boolean {
    return this.#isSent;
  }

  /** Cancels the attempt and closes its connection, so that no other request gets its answer. */
  cancel(): void {
    this.#end(AttemptEnd.TimedOut);
    this.#controller?.abort(new AttemptCancelledError('cancelled'));
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    if (this.#isSent) {
      this.#reportInvariantViolation('invariant_attempt_sent_twice', controller);
      return;
    }
    if (this.#settle === undefined) {
      controller.abort(new AttemptCancelledError('cancelled before it was sent'));
      return;
    }
    this.#controller = controller;
    this.#isSent = true;
  }

  onResponseStart(
    controller: Dispatcher.DispatchController,
    statusCode: number,
    headers: Headers,
  ): void {
    this.#hasProgress = true;
    if (statusCode < FIRST_FINAL_STATUS) return;
    if (this.#statusCode !== 0) {
      this.#reportInvariantViolation('invariant_second_answer', controller);
      return;
    }
    this.#statusCode = statusCode;
    this.#headers = headers;
    this.#isFramed =
      this.#hasNoBody() ||
      headers['content-length'] !== undefined ||
      headers['transfer-encoding'] !== undefined;
  }

  onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#receivedBytes += chunk.length;
    if (this.#receivedBytes <= this.#maximumBodyBytes) {
      this.#chunks.push(chunk);
      return;
    }
    this.#metrics.count('answers_too_large');
    this.#end(AttemptEnd.Lost);
    controller.abort(new AttemptCancelledError('the answer is too large'));
  }

  onResponseEnd(): void {
    if (!this.#isFramed || !this.#hasDeclaredLength()) {
      this.#metrics.count('answers_cut');
      this.#end(AttemptEnd.Lost);
      return;
    }
    const headers = this.#headers;
    const isNotRun = this.#statusCode === HTTP_UNAVAILABLE && headers[NOT_RUN_HEADER] === 'true';
    if (isNotRun) {
      this.#end(AttemptEnd.NotRun);
      return;
    }
    const body = this.#chunks.length === 1 ? this.#chunks[0] : Buffer.concat(this.#chunks);
    this.#end(AttemptEnd.Answered, {
      statusCode: this.#statusCode,
      headers,
      body: body ?? Buffer.alloc(0),
    });
  }

  onResponseError(_controller: Dispatcher.DispatchController, _error: Error): void {
    if (this.#statusCode !== 0) this.#metrics.count('answers_cut');
    this.#end(AttemptEnd.Lost);
  }

  #end(end: AttemptEnd, answer?: BackendAnswer): void {
    const settle = this.#settle;
    if (settle === undefined) return;
    this.#settle = undefined;
    this.#chunks = [];
    const isServerLeaving = this.#headers[LEAVING_HEADER] === 'true';
    settle({ end: this.#isSent ? end : AttemptEnd.NotRun, answer, isServerLeaving });
  }

  #reportInvariantViolation(invariant: string, controller: Dispatcher.DispatchController): void {
    this.#metrics.count(invariant);
    this.#end(AttemptEnd.Lost);
    controller.abort(new AttemptCancelledError(invariant));
  }

  #hasNoBody(): boolean {
    return (
      this.#method === 'HEAD' ||
      this.#statusCode === HTTP_NO_CONTENT ||
      this.#statusCode === HTTP_NOT_MODIFIED
    );
  }

  #hasDeclaredLength(): boolean {
    const declared = this.#headers['content-length'];
    return declared === undefined || this.#hasNoBody() || Number(declared) === this.#receivedBytes;
  }
}
