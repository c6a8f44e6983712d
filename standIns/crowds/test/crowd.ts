/** Clients that send what they like over plain connections and read no answers. */
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

const HOST = '127.0.0.1';
const BATCH_SIZE = 100;
/** A server that does not read for this long is not waited for any longer. */
const STALL_MS = 1_000;

/** The content that a member sends, piece by piece. */
export type Pieces = Iterable<Buffer>;

export class Crowd {
  readonly #port: number;

  readonly #sockets: Socket[] = [];

  constructor(port: number) {
    this.#port = port;
  }

  /** The number of connections that the server has not closed. */
  get openCount(): number {
    return this.#sockets.filter((socket) => !socket.destroyed).length;
  }

  /**
   * Opens connections, sends to each the pieces of its own and leaves them open. Resolves when
   * everything is sent, the connection is closed or the server does not read any more.
   */
  async join(count: number, piecesOf: (index: number) => Pieces): Promise<void> {
    for (let from = 0; from < count; from += BATCH_SIZE) {
      const size = Math.min(BATCH_SIZE, count - from);
      const batch = Array.from({ length: size }, (_, offset) =>
        this.#send(piecesOf(from + offset)),
      );
      // eslint-disable-next-line no-await-in-loop -- the backlog of a listener is limited
      await Promise.all(batch);
    }
  }

  /** Resets each `nth` connection. */
  leave(nth: number): void {
    this.#sockets.filter((_, index) => index % nth === 0).forEach((it) => it.resetAndDestroy());
  }

  dispose(): void {
    this.#sockets.forEach((socket) => socket.destroy());
  }

  async #send(pieces: Pieces): Promise<void> {
    const socket = connect({ host: HOST, port: this.#port, noDelay: true });
    this.#sockets.push(socket);
    socket.on('error', () => {});
    const closed = once(socket, 'close').catch(() => {});
    await Promise.race([once(socket, 'connect').catch(() => {}), closed]);
    // eslint-disable-next-line no-restricted-syntax -- a generator creates the pieces on demand
    for (const piece of pieces) {
      if (socket.destroyed) return;
      if (!socket.write(piece)) {
        const drained = once(socket, 'drain').catch(() => {});
        // eslint-disable-next-line no-await-in-loop -- the pieces are sent one after another
        await Promise.race([drained, closed, delay(STALL_MS)]);
        if (socket.writableNeedDrain) return;
      }
    }
  }
}

const LAST_CHUNK = '0\r\n\r\n';

export interface ChunkedRequest {
  readonly path: string;
  readonly host?: string;
  readonly chunkBytes: number;
  readonly chunkCount: number;
}

const headOf = ({ path, host = 'queue.example' }: ChunkedRequest): string =>
  `POST ${path} HTTP/1.1\r\nHost: ${host}\r\nContent-Type: application/json\r\n` +
  'Transfer-Encoding: chunked\r\n\r\n';

/** Several chunks are sent in one write, as a client with a small buffer of its own would. */
const WRITE_BYTES = 32_768;

/** A chunked request that stops before its last chunk. */
export function* unfinishedRequest(request: ChunkedRequest): Generator<Buffer> {
  yield Buffer.from(headOf(request));
  const { chunkBytes, chunkCount } = request;
  const chunk = `${chunkBytes.toString(16)}\r\n${' '.repeat(chunkBytes)}\r\n`;
  const perWrite = Math.max(1, Math.floor(WRITE_BYTES / chunk.length));
  const piece = Buffer.from(chunk.repeat(perWrite));
  for (let sent = 0; sent + perWrite <= chunkCount; sent += perWrite) yield piece;
}

/** A whole chunked request with the given body in chunks of the given size. */
export const finishedRequest = (path: string, body: string, chunkBytes: number): Buffer => {
  const chunks = Array.from({ length: Math.ceil(body.length / chunkBytes) }, (_, index) => {
    const text = body.slice(index * chunkBytes, (index + 1) * chunkBytes);
    return `${text.length.toString(16)}\r\n${text}\r\n`;
  });
  const head = headOf({ path, chunkBytes, chunkCount: chunks.length });
  return Buffer.from(`${head}${chunks.join('')}${LAST_CHUNK}`);
};

/** The number of requests that are sent in one write. */
const REQUESTS_PER_WRITE = 20;

/** Requests one after another on one connection, none of which waits for an answer. */
export function* requestsAhead(
  count: number,
  requestOf: (index: number) => string,
): Generator<Buffer> {
  for (let from = 0; from < count; from += REQUESTS_PER_WRITE) {
    const size = Math.min(REQUESTS_PER_WRITE, count - from);
    yield Buffer.from(
      Array.from({ length: size }, (_, offset) => requestOf(from + offset)).join(''),
    );
  }
}
