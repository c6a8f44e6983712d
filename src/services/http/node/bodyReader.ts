/** Reads the body of a request within the limits of its listener. */
import type { IncomingMessage } from 'node:http';

import { errorCodes } from 'fastify';

const HTTP_UNAVAILABLE = 503;
const HTTP_BAD_REQUEST = 400;
const MINIMUM_BLOCK_BYTES = 1_024;
const MAXIMUM_BLOCK_BYTES = 16_384;

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
  readonly onDidRead: (bytes: number) => void;
  /** Accounts for a small chunk more; false if there are too many of them in all bodies. */
  readonly tryAddSmallChunk: () => boolean;
  /** Accounts for all blocks of the body, in bytes; false if there is no room for them. */
  readonly tryHold: (bytes: number) => boolean;
  readonly onEnd: (error: Error | null, body?: Buffer) => void;
}

/**
 * The chunks are copied into blocks, because each chunk as an object of its own would take some
 * hundred bytes, however short it is.
 */
export class BodyReader {
  readonly #message: IncomingMessage;

  readonly #options: BodyReaderOptions;

  readonly #declaredBytes: number | undefined;

  #blocks: Buffer[] = [];

  #capacity = 0;

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
    this.#options.onDidRead(chunk.length);
    if (chunk.length < SMALL_CHUNK_BYTES && !this.#tryAddSmallChunk()) {
      this.refuse();
    } else if (length > this.#options.maximumBytes) {
      this.#end(new errorCodes.FST_ERR_CTP_BODY_TOO_LARGE());
    } else if (length > this.#capacity && !this.#tryGrow(length)) {
      this.refuse();
    } else {
      this.#append(chunk);
    }
  };

  readonly #handleEnd = (): void => {
    if (this.#declaredBytes !== undefined && this.#declaredBytes !== this.#length) {
      this.#end(new errorCodes.FST_ERR_CTP_INVALID_CONTENT_LENGTH());
    } else {
      this.#end(null, this.#wholeBody());
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
    const missingBytes = length - this.#capacity;
    const isLast = length === this.#declaredBytes;
    const usualBytes = Math.min(Math.max(this.#capacity, MINIMUM_BLOCK_BYTES), MAXIMUM_BLOCK_BYTES);
    const blockBytes = isLast ? missingBytes : Math.max(missingBytes, usualBytes);
    if (!this.#options.tryHold(this.#capacity + blockBytes)) return false;
    // Memory of its own: a part of the shared pool would keep all of the pool alive.
    this.#blocks.push(Buffer.allocUnsafeSlow(blockBytes));
    this.#capacity += blockBytes;
    return true;
  }

  /** Copies a chunk to the end of the content, which may be in the block before the last one. */
  #append(chunk: Buffer): void {
    const last = this.#blocks.at(-1);
    if (last === undefined) return;
    const lastStart = this.#capacity - last.length;
    const bytesBefore = Math.max(0, lastStart - this.#length);
    if (bytesBefore > 0) {
      const previous = this.#blocks.at(-2);
      if (previous !== undefined)
        chunk.copy(previous, previous.length - bytesBefore, 0, bytesBefore);
    }
    chunk.copy(last, Math.max(0, this.#length - lastStart), bytesBefore);
    this.#length += chunk.length;
  }

  #wholeBody(): Buffer {
    const [only] = this.#blocks;
    if (only === undefined) return Buffer.alloc(0);
    if (this.#blocks.length === 1) return only.subarray(0, this.#length);
    return Buffer.concat(this.#blocks, this.#length);
  }

  #end(error: Error | null, body?: Buffer): void {
    if (this.#isDone) return;
    this.#isDone = true;
    this.#message.off('data', this.#handleData);
    this.#message.off('end', this.#handleEnd);
    this.#message.off('error', this.#handleError);
    this.#blocks = [];
    // Without a listener, the stream would keep the rest of a body that is refused.
    if (error !== null) this.#message.on('data', discard);
    this.#options.onEnd(error, body);
  }
}
