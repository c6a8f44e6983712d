/** Connections to backend servers and single attempts over them. */
import { type Dispatcher, Pool } from 'undici';

import type { Disposable } from '../../base/common/lifecycle.js';
import { isSurelyNotSent } from '../../platform/http/node/httpCall.js';
import { AttemptEnd } from '../common/attempt.js';
import { LEAVING_HEADER, NOT_RUN_HEADER } from '../common/headers.js';
import type { BackendServer } from '../common/routing.js';

export interface AttemptRequest {
  readonly server: BackendServer;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Uint8Array | undefined;
  readonly timeoutMs: number;
  readonly maximumBodyBytes: number;
}

export interface BackendAnswer {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: Buffer;
}

export interface AttemptResult {
  readonly end: AttemptEnd;
  readonly answer: BackendAnswer | undefined;
  readonly isServerLeaving: boolean;
}

const CONNECT_TIMEOUT_MS = 1_000;
const HTTP_UNAVAILABLE = 503;
const TIMEOUT_ERROR = 'TimeoutError';

const ended = (end: AttemptEnd): AttemptResult => ({
  end,
  answer: undefined,
  isServerLeaving: false,
});

/**
 * One pool for each backend server, bounded by this entry's share of the server's connections.
 * A connection carries one request at a time and is closed when its request is given up, so a
 * late answer can meet no other request.
 */
export class BackendConnections implements Disposable {
  readonly #pools = new Map<string, Pool>();

  readonly #maximumEntryCount: number;

  constructor(maximumEntryCount: number) {
    this.#maximumEntryCount = maximumEntryCount;
  }

  /**
   * This entry's share of a server's connections. The share is fixed by the number of entries
   * there may be at most, so the server's limit holds while entries disagree about who exists.
   */
  connectionShare(server: BackendServer): number {
    return Math.max(1, Math.floor(server.connectionCount / this.#maximumEntryCount));
  }

  async attempt(request: AttemptRequest): Promise<AttemptResult> {
    try {
      const response = await this.#pool(request.server).request({
        method: request.method,
        path: request.path,
        headers: request.headers,
        body: request.body ?? null,
        signal: AbortSignal.timeout(request.timeoutMs),
      });
      const body = await BackendConnections.#readBody(response, request.maximumBodyBytes);
      if (body === undefined) return ended(AttemptEnd.Lost);
      const isServerLeaving = response.headers[LEAVING_HEADER] === 'true';
      const isNotRun =
        response.statusCode === HTTP_UNAVAILABLE && response.headers[NOT_RUN_HEADER] === 'true';
      if (isNotRun) return { end: AttemptEnd.NotRun, answer: undefined, isServerLeaving };
      const { statusCode, headers } = response;
      return { end: AttemptEnd.Answered, answer: { statusCode, headers, body }, isServerLeaving };
    } catch (error) {
      if ((error as Error).name === TIMEOUT_ERROR) return ended(AttemptEnd.TimedOut);
      return ended(isSurelyNotSent(error) ? AttemptEnd.NotRun : AttemptEnd.Lost);
    }
  }

  /** Closes the pools of servers that are gone; requests in flight on them finish. */
  retainOnly(origins: ReadonlySet<string>): void {
    this.#pools.forEach((pool, origin) => {
      if (origins.has(origin)) return;
      this.#pools.delete(origin);
      void pool.close();
    });
  }

  dispose(): void {
    this.#pools.forEach((pool) => void pool.destroy());
    this.#pools.clear();
  }

  #pool(server: BackendServer): Pool {
    const known = this.#pools.get(server.origin);
    if (known !== undefined) return known;
    const pool = new Pool(server.origin, {
      connections: this.connectionShare(server),
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
    });
    this.#pools.set(server.origin, pool);
    return pool;
  }

  /** The whole body, or undefined when it is larger than allowed. */
  static async #readBody(
    response: Dispatcher.ResponseData,
    maximumBodyBytes: number,
  ): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    let lengthBytes = 0;
    // eslint-disable-next-line no-restricted-syntax -- a stream is read piece by piece
    for await (const chunk of response.body as AsyncIterable<Buffer>) {
      lengthBytes += chunk.length;
      if (lengthBytes > maximumBodyBytes) {
        response.body.destroy();
        return undefined;
      }
      chunks.push(chunk);
    }
    return chunks.length === 1 ? chunks[0] : Buffer.concat(chunks);
  }
}
