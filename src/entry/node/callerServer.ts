/** The HTTP server that receives the callers' requests. */
import type { Socket } from 'node:net';

import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { isLeft } from 'fp-ts/lib/Either.js';

import {
  ERROR_ANSWERS,
  errorBody,
  ErrorKind,
  failure,
  type Failure,
} from '../../services/errors/common/errorKinds.js';
import { replyWithFailure, WORK_OUTCOME_HEADER } from '../../services/http/node/errorReply.js';
import { listeningPort } from '../../services/http/node/listening.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import type { Settings } from '../../services/settings/common/settings.js';
import { HangUpSignal } from '../common/hangUpSignal.js';
import { endToEndHeaders } from '../common/forwardedHeaders.js';
import type { RequestHandler } from './requestHandler.js';

const SERVICE_PATH = /^\/services\/([^/?]+)(.*)$/u;
const BODY_TOO_LARGE_CODE = 'FST_ERR_CTP_BODY_TOO_LARGE';
const REQUEST_TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';
const FIRST_SERVER_ERROR = 500;
/** The interval at which connections are checked for callers that send too slowly. */
const SLOW_SENDER_CHECK_INTERVAL_MS = 1_000;

const toFailure = (error: { code?: string; statusCode?: number; message: string }): Failure => {
  if (error.code === BODY_TOO_LARGE_CODE) return failure(ErrorKind.BodyTooLarge, error.message);
  const isFault = (error.statusCode ?? FIRST_SERVER_ERROR) >= FIRST_SERVER_ERROR;
  return failure(isFault ? ErrorKind.Internal : ErrorKind.BadRequest, error.message);
};

/**
 * Answers malformed HTTP, or a request that took too long to send, with the error kind of a bad
 * request. Nothing was forwarded, so the work certainly did not run.
 */
const answerMalformed = (error: { readonly code?: string }, socket: Socket): void => {
  if (!socket.writable) {
    socket.destroy();
    return;
  }
  const message =
    error.code === REQUEST_TIMEOUT_CODE ? 'the request took too long to send' : 'malformed HTTP';
  const cause = failure(ErrorKind.BadRequest, message);
  const body = JSON.stringify(errorBody(cause));
  socket.end(
    [
      `HTTP/1.1 ${ERROR_ANSWERS[cause.kind].statusCode} Bad Request`,
      'content-type: application/json',
      `content-length: ${Buffer.byteLength(body)}`,
      `${WORK_OUTCOME_HEADER}: ${errorBody(cause).workOutcome}`,
      'connection: close',
      '',
      body,
    ].join('\r\n'),
  );
};

/**
 * Limits memory when many callers send slowly or send large bodies at once. The total size of the
 * bodies held at a time is limited before they are read, a body without a declared length counts
 * with the maximum size, and the number of connections is limited. Without these limits an entry
 * with 128 MB runs out of memory and cuts off the requests of all callers.
 */
export class CallerServer {
  readonly #server: FastifyInstance;

  readonly #handler: RequestHandler;

  readonly #settings: Settings['entry'];

  readonly #metrics: Metrics;

  #heldBytes = 0;

  #isDraining = false;

  constructor(handler: RequestHandler, settings: Settings['entry'], metrics: Metrics) {
    this.#handler = handler;
    this.#settings = settings;
    this.#metrics = metrics;
    this.#server = Fastify({
      bodyLimit: settings.maximumBodyBytes,
      requestTimeout: settings.receiveTimeoutMs,
      http: {
        connectionsCheckingInterval: SLOW_SENDER_CHECK_INTERVAL_MS,
        headersTimeout: settings.receiveTimeoutMs,
      },
      exposeHeadRoutes: false,
      // Requests on kept-alive connections are still served during a shutdown.
      return503OnClosing: false,
      clientErrorHandler: (error, socket) => {
        metrics.count('caller_connection_errors');
        answerMalformed(error, socket);
      },
    });
    this.#server.server.maxConnections = settings.maximumCallerConnections;
    this.#addHooks();
    this.#server.all('/services/*', (request, reply) => this.#handle(request, reply));
  }

  /** Starts listening and returns the port, which the system may have chosen. */
  async listen(host: string, port: number): Promise<number> {
    await this.#server.listen({ host, port });
    return listeningPort(this.#server);
  }

  /** Tells callers to close their kept-alive connections; new connections are still accepted. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Stops listening, and resolves when all requests in flight are answered. */
  async close(): Promise<void> {
    await this.#server.close();
  }

  /** Closes all connections, including those on which a request is still being sent. */
  closeAllConnections(): void {
    this.#server.server.closeAllConnections();
  }

  #addHooks(): void {
    this.#server.removeAllContentTypeParsers();
    this.#server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) =>
      done(null, body),
    );
    this.#server.addHook('onRequest', (request, reply, done) => {
      if (this.#isDraining) void reply.header('connection', 'close');
      if (this.#tryReserveBody(request, reply)) done();
    });
    this.#server.setErrorHandler((error, _request, reply) =>
      replyWithFailure(reply, toFailure(error as Error)),
    );
    this.#server.setNotFoundHandler((_request, reply) =>
      replyWithFailure(reply, failure(ErrorKind.UnknownService, 'paths start with /services/NAME')),
    );
  }

  /** Reserves memory for the body, or refuses the request before its body is read. */
  #tryReserveBody(request: FastifyRequest, reply: FastifyReply): boolean {
    const { 'content-length': length, 'transfer-encoding': encoding } = request.headers;
    if (length === undefined && encoding === undefined) return true;
    const { maximumBodyBytes, maximumHeldBytes } = this.#settings;
    const bytes = encoding === undefined ? Number(length) : maximumBodyBytes;
    // The body limit refuses longer bodies with an error kind of its own.
    if (bytes > maximumBodyBytes) return true;
    if (this.#heldBytes + bytes > maximumHeldBytes) {
      this.#metrics.count('requests_over_held_bytes');
      void reply.header('connection', 'close');
      void replyWithFailure(reply, failure(ErrorKind.Saturated, 'too much is being sent'));
      return false;
    }
    this.#heldBytes += bytes;
    reply.raw.once('close', () => {
      this.#heldBytes -= bytes;
    });
    return true;
  }

  /**
   * Runs a step with a signal that is raised if the caller's connection closes before the step
   * ends. It listens on the socket and not on the reply, because a reply that waits behind another
   * one on the same connection emits no event.
   */
  async #withHangUpSignal<Result>(
    socket: Socket,
    step: (hangUp: HangUpSignal) => Promise<Result>,
  ): Promise<Result> {
    const signal = new HangUpSignal();
    const handleClose = (): void => {
      this.#metrics.count('callers_hung_up');
      signal.raise();
    };
    socket.on('close', handleClose);
    if (socket.destroyed) handleClose();
    try {
      return await step(signal);
    } finally {
      socket.removeListener('close', handleClose);
    }
  }

  async #handle(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    const match = SERVICE_PATH.exec(request.raw.url ?? '');
    const [, serviceName = '', rest = ''] = match ?? [];
    const callerRequest = {
      serviceName,
      method: request.method,
      path: rest.startsWith('/') ? rest : `/${rest}`,
      headers: request.headers,
      body: Buffer.isBuffer(request.body) ? request.body : undefined,
    };
    const result = await this.#withHangUpSignal(request.raw.socket, (hangUp) =>
      this.#handler.handle(callerRequest, hangUp),
    );
    // Requests that came before the shutdown began get this header too. Otherwise their callers
    // would send the next request on a connection that is about to close.
    if (this.#isDraining) void reply.header('connection', 'close');
    if (isLeft(result)) return replyWithFailure(reply, result.left);
    const { statusCode, headers, body } = result.right;
    return reply.code(statusCode).headers(endToEndHeaders(headers)).send(body);
  }
}
