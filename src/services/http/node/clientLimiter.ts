/** Keeps an HTTP server within the limits of `ClientConnections`. */
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerResponse,
} from 'node:http';
import type { Socket } from 'node:net';

import type { FastifyRequest, FastifyServerFactory } from 'fastify';

import { errorBody, ErrorKind, failure } from '../../errors/common/errorKinds.js';
import type { Metrics } from '../../metrics/common/metrics.js';
import {
  type ClientConnection,
  ClientConnections,
  type ClientLimits,
  type ClientRequest,
  type ClientUsage,
} from '../common/clientConnections.js';
import { BodyReader } from './bodyReader.js';
import { WORK_OUTCOME_HEADER } from './errorReply.js';

const MS_PER_SECOND = 1_000;
const HTTP_UNAVAILABLE = 503;
/** The small chunks of all bodies that are being received. */
const MAXIMUM_SMALL_CHUNK_COUNT = 65_536;
/** How often connections are checked for clients that send too slowly. */
const SLOW_SENDER_CHECK_MS = 1_000;
/**
 * New connections that are read for the first time in one turn of the event loop. A first read may
 * bring 64 KB of chunks of one byte, which take several milliseconds, and all connections that are
 * readable are read before any timer.
 */
const FIRST_READS_PER_TURN = 2;

export interface ClientTimeouts {
  /** How long a client may take to send a request. */
  readonly receiveMs: number;
  /** How long a connection without a request stays open. */
  readonly idleMs: number;
  /** How long a connection may be silent, also while an answer is awaited or not taken. */
  readonly silenceMs: number;
}

type Connection = ClientConnection<Socket>;
type Request = ClientRequest<Socket>;

/** Why a client was refused or its connection closed; a label of the metric. */
const Refusal = {
  Connections: 'connections',
  Requests: 'requests',
  RequestsAhead: 'requests-ahead',
  HeldBytes: 'held-bytes',
  SmallChunks: 'small-chunks',
  Evicted: 'evicted',
} as const;
type Refusal = (typeof Refusal)[keyof typeof Refusal];

const refuse = (response: ServerResponse): void => {
  const body = errorBody(failure(ErrorKind.Saturated, 'too many requests are being handled'));
  response.writeHead(HTTP_UNAVAILABLE, {
    'content-type': 'application/json',
    'retry-after': String(Math.ceil(body.retryAfterMs / MS_PER_SECOND)),
    [WORK_OUTCOME_HEADER]: body.workOutcome,
    connection: 'close',
  });
  response.end(JSON.stringify(body));
};

export class ClientLimiter {
  readonly #listener: string;

  readonly #metrics: Metrics;

  readonly #connections: ClientConnections<Socket>;

  readonly #connectionOf = new WeakMap<Socket, Connection>();

  readonly #requestOf = new WeakMap<IncomingMessage, Request>();

  /** The body that is being received on a connection. */
  readonly #readerOf = new WeakMap<Socket, BodyReader>();

  /** New connections that are not read yet. */
  #unread: Socket[] = [];

  #smallChunkCount = 0;

  readonly #onDidBuffer: (bytes: number) => void;

  /**
   * `listener` is the label of the metrics. `onDidBuffer` is called with the number of bytes of
   * bodies and answers that have passed through buffers.
   */
  constructor(
    listener: string,
    limits: ClientLimits,
    metrics: Metrics,
    onDidBuffer: (bytes: number) => void = () => {},
  ) {
    this.#listener = listener;
    this.#metrics = metrics;
    this.#onDidBuffer = onDidBuffer;
    this.#connections = new ClientConnections(limits, (socket) => this.#evict(socket));
  }

  /** A factory for Fastify's option `serverFactory`. */
  serverFactory(timeouts: ClientTimeouts): FastifyServerFactory {
    return (handler) => this.#createServer(handler, timeouts);
  }

  /** Reads the body of a request, as a content type parser of Fastify does. */
  readBody(
    { raw }: FastifyRequest,
    maximumBytes: number,
    done: (error: Error | null, body?: Buffer) => void,
  ): void {
    const request = this.#requestOf.get(raw);
    const reader = new BodyReader(raw, {
      maximumBytes,
      onDidRead: this.#onDidBuffer,
      tryHold: (bytes) => {
        this.#onDidBuffer(bytes);
        return request === undefined || this.#tryHold(request, bytes);
      },
      tryAddSmallChunk: () => this.#tryAddSmallChunk(raw.socket),
      onEnd: (error, body) => {
        this.#smallChunkCount -= reader.smallChunkCount;
        this.#readerOf.delete(raw.socket);
        done(error, body);
      },
    });
    this.#readerOf.set(raw.socket, reader);
    reader.start();
  }

  /**
   * Runs the work for a complete request. What it holds counts until the work has ended, even if
   * the client leaves earlier.
   */
  async whileWorking<Result>(
    { raw }: FastifyRequest,
    work: () => Promise<Result>,
  ): Promise<Result> {
    const request = this.#requestOf.get(raw);
    if (request === undefined) return work();
    this.#connections.startWork(request);
    try {
      return await work();
    } finally {
      this.#connections.endWork(request);
    }
  }

  /**
   * Accounts for an answer until its client has taken it. Closes the connection if the client
   * leaves too many bytes of answers there.
   */
  holdAnswer({ raw }: FastifyRequest, bytes: number): void {
    this.#onDidBuffer(bytes);
    const request = this.#requestOf.get(raw);
    if (request === undefined || !request.connection.isOpen) return;
    if (this.#connections.holdAnswer(request, bytes)) return;
    this.#count(Refusal.HeldBytes);
    raw.socket.destroy();
  }

  get usage(): ClientUsage {
    return this.#connections.usage;
  }

  /** Updates the gauges; called before the metrics are read. */
  recordUsage(): void {
    const labels = { listener: this.#listener };
    const { connectionCount, requestCount, heldBytes } = this.usage;
    this.#metrics.gauge('client_connections', connectionCount, labels);
    this.#metrics.gauge('client_requests', requestCount, labels);
    this.#metrics.gauge('client_held_bytes', heldBytes, labels);
  }

  #createServer(
    handler: RequestListener,
    { receiveMs, idleMs, silenceMs }: ClientTimeouts,
  ): Server {
    const options = {
      requestTimeout: receiveMs,
      headersTimeout: receiveMs,
      keepAliveTimeout: idleMs,
      connectionsCheckingInterval: SLOW_SENDER_CHECK_MS,
    };
    const server = createServer(options, (message, response) =>
      this.#handle(message, response, handler),
    );
    server.setTimeout(silenceMs);
    server.on('connection', (socket: Socket) => this.#handleConnection(socket));
    return server;
  }

  #handleConnection(socket: Socket): void {
    const connection = this.#connections.open(socket);
    if (connection === undefined) {
      this.#count(Refusal.Connections);
      socket.destroy();
      return;
    }
    this.#connectionOf.set(socket, connection);
    // Each request of the connection may listen for its end.
    socket.setMaxListeners(0);
    socket.once('close', () => this.#connections.close(connection));
    socket.pause();
    this.#unread.push(socket);
    if (this.#unread.length === 1) setImmediate(() => this.#readNext());
  }

  #readNext(): void {
    this.#unread = this.#unread.filter((socket) => !socket.destroyed);
    this.#unread.splice(0, FIRST_READS_PER_TURN).forEach((socket) => socket.resume());
    if (this.#unread.length > 0) setImmediate(() => this.#readNext());
  }

  #handle(message: IncomingMessage, response: ServerResponse, handler: RequestListener): void {
    const connection = this.#connectionOf.get(message.socket);
    if (connection === undefined) return;
    if (message.socket.destroyed || !connection.isOpen) {
      // It was read together with, or after, the request for which the connection was closed.
      this.#connections.ignore(connection);
      message.socket.destroy();
      return;
    }
    const request = this.#connections.begin(connection);
    if (request === undefined) {
      this.#count(Refusal.RequestsAhead);
      message.socket.destroy();
      return;
    }
    response.once('close', () => this.#connections.finish(request));
    if (request.isRefused) {
      this.#count(Refusal.Requests);
      refuse(response);
      return;
    }
    this.#requestOf.set(message, request);
    handler(message, response);
  }

  #tryHold(request: Request, bytes: number): boolean {
    const isHeld = this.#connections.hold(request, bytes);
    if (!isHeld) this.#count(Refusal.HeldBytes);
    return isHeld;
  }

  #tryAddSmallChunk(socket: Socket): boolean {
    if (this.#smallChunkCount >= MAXIMUM_SMALL_CHUNK_COUNT) {
      this.#count(Refusal.SmallChunks);
      // To read on until an answer has been sent would take the time that is short.
      socket.destroy();
      return false;
    }
    this.#smallChunkCount += 1;
    return true;
  }

  #evict(socket: Socket): void {
    this.#count(Refusal.Evicted);
    const reader = this.#readerOf.get(socket);
    if (reader === undefined) socket.destroy();
    else reader.refuse();
  }

  #count(reason: Refusal): void {
    this.#metrics.count('client_refusals', { listener: this.#listener, reason });
  }
}
