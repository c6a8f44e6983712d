/** Reads the body of a request into one buffer, within the limits of its listener. */
import type { IncomingMessage } from 'node:http';

import { errorCodes } from 'fastify';

const HTTP_UNAVAILABLE = 503;
const HTTP_BAD_REQUEST = 400;
const MINIMUM_CAPACITY = 1_024;
const GROWTH_FACTOR = 2;
const NO_BYTES = Buffer.alloc(0);

/** The listener has no room for the request. Nothing of it was handled. */
export class OverloadError extends Error {
  readonly statusCode = HTTP_UNAVAILABLE;
}

/** Chunks below this size take more time and memory to read than their bytes. */
const SMALL_CHUNK_BYTES = 64;
/** The small chunks that any body may have. */
const FREE_SMALL_CHUNK_COUNT = 256;

const discard = (): void => {};

export interface BodyReaderOptions {
  readonly maximumBytes: number;
  /** Accounts for a small chunk more; false if there are too many of them in all bodies. */
  readonly tryAddSmallChunk: () => boolean;
  /** Accounts for the given size of the buffer; false if there is no room for it. */
  readonly tryHold: (bytes: number) => boolean;
  readonly onEnd: (error: Error | null, body?: Buffer) => void;
}

/**
 * The chunks are copied into a buffer that grows, because each chunk as an object of its own would
 * take some hundred bytes, however short it is.
 */
export class BodyReader {
  readonly #message: IncomingMessage;

  readonly #options: BodyReaderOptions;

  readonly #declaredBytes: number | undefined;

  #buffer: Buffer = NO_BYTES;

  #length = 0;

  #smallChunkCount = 0;

  #isDone = false;

  constructor(message: IncomingMessage, options: BodyReaderOptions) {
    this.#message = message;
    this.#options = options;
    const { 'content-length': declared } = message.headers;
    this.#declaredBytes = declared === undefined ? undefined : Number(declared);
  }

  start(): void {
    if ((this.#declaredBytes ?? 0) > this.#options.maximumBytes) {
      this.#end(new errorCodes.FST_ERR_CTP_BODY_TOO_LARGE());
      return;
    }
    this.#message.on('data', this.#handleData);
    this.#message.on('end', this.#handleEnd);
    this.#message.on('error', this.#handleError);
  }

  /** Drops what was read and reports that there is no room. */
  refuse(): void {
    this.#end(new OverloadError('too much is being received'));
  }

  /** The small chunks that were accounted for. */
  get smallChunkCount(): number {
    return Math.max(0, this.#smallChunkCount - FREE_SMALL_CHUNK_COUNT);
  }

  readonly #handleData = (chunk: Buffer): void => {
    const length = this.#length + chunk.length;
    if (chunk.length < SMALL_CHUNK_BYTES && !this.#tryAddSmallChunk()) {
      this.refuse();
    } else if (length > this.#options.maximumBytes) {
      this.#end(new errorCodes.FST_ERR_CTP_BODY_TOO_LARGE());
    } else if (length > this.#buffer.length && !this.#tryGrow(length)) {
      this.refuse();
    } else {
      chunk.copy(this.#buffer, this.#length);
      this.#length = length;
    }
  };

  readonly #handleEnd = (): void => {
    if (this.#declaredBytes !== undefined && this.#declaredBytes !== this.#length) {
      this.#end(new errorCodes.FST_ERR_CTP_INVALID_CONTENT_LENGTH());
    } else {
      this.#end(null, this.#buffer.subarray(0, this.#length));
    }
  };

  readonly #handleError = (error: Error): void => {
    this.#end(Object.assign(error, { statusCode: HTTP_BAD_REQUEST }));
  };

  #tryAddSmallChunk(): boolean {
    if (this.#smallChunkCount >= FREE_SMALL_CHUNK_COUNT && !this.#options.tryAddSmallChunk()) {
      return false;
    }
    this.#smallChunkCount += 1;
    return true;
  }

  #tryGrow(length: number): boolean {
    const doubled = Math.max(this.#buffer.length * GROWTH_FACTOR, MINIMUM_CAPACITY);
    const wanted = length === this.#declaredBytes ? length : Math.max(length, doubled);
    const capacity = Math.min(wanted, this.#options.maximumBytes);
    if (!this.#options.tryHold(capacity)) return false;
    // Memory of its own: a part of the shared pool would keep all of the pool alive.
    const grown = Buffer.allocUnsafeSlow(capacity);
    this.#buffer.copy(grown, 0, 0, this.#length);
    this.#buffer = grown;
    return true;
  }

  #end(error: Error | null, body?: Buffer): void {
    if (this.#isDone) return;
    this.#isDone = true;
    this.#message.off('data', this.#handleData);
    this.#message.off('end', this.#handleEnd);
    this.#message.off('error', this.#handleError);
    this.#buffer = NO_BYTES;
    // Without a listener, the stream would keep the rest of a body that is refused.
    if (error !== null) this.#message.on('data', discard);
    this.#options.onEnd(error, body);
  }
}
