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
import type { ClientUsage } from '../../services/http/common/clientConnections.js';
import { ClientLimiter } from '../../services/http/node/clientLimiter.js';
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
const HTTP_UNAVAILABLE = 503;
const IDLE_TIMEOUT_MS = 72_000;
/** Bodies of the largest size that one connection may have in memory, answers included. */
const LARGEST_BODIES_PER_CONNECTION = 4;

const toFailure = (error: { code?: string; statusCode?: number; message: string }): Failure => {
  if (error.code === BODY_TOO_LARGE_CODE) return failure(ErrorKind.BodyTooLarge, error.message);
  if (error.statusCode === HTTP_UNAVAILABLE) return failure(ErrorKind.Saturated, error.message);
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

export class CallerServer {
  readonly #server: FastifyInstance;

  readonly #handler: RequestHandler;

  readonly #settings: Settings['entry'];

  readonly #metrics: Metrics;

  readonly #limiter: ClientLimiter;

  #isDraining = false;

  /** `onDidBuffer` is called with the number of bytes that have passed through buffers. */
  constructor(
    handler: RequestHandler,
    settings: Settings['entry'],
    metrics: Metrics,
    onDidBuffer?: (bytes: number) => void,
  ) {
    this.#handler = handler;
    this.#settings = settings;
    this.#metrics = metrics;
    const { maximumBodyBytes, maximumDeadlineMs, receiveTimeoutMs } = settings;
    const limits = {
      maximumConnections: settings.maximumCallerConnections,
      maximumRequests: settings.maximumRequests,
      maximumRequestsPerConnection: settings.maximumRequestsPerConnection,
      maximumHeldBytes: settings.maximumHeldBytes,
      maximumHeldBytesPerConnection: maximumBodyBytes * LARGEST_BODIES_PER_CONNECTION,
    };
    this.#limiter = new ClientLimiter('callers', limits, metrics, onDidBuffer);
    const timeouts = {
      receiveMs: receiveTimeoutMs,
      idleMs: IDLE_TIMEOUT_MS,
      silenceMs: maximumDeadlineMs + receiveTimeoutMs,
    };
    this.#server = Fastify({
      serverFactory: this.#limiter.serverFactory(timeouts),
      exposeHeadRoutes: false,
      // Requests on kept-alive connections are still served during a shutdown.
      return503OnClosing: false,
      clientErrorHandler: (error, socket) => {
        metrics.count('caller_connection_errors');
        answerMalformed(error, socket);
      },
    });
    this.#addHooks();
    this.#server.all('/services/*', (request, reply) =>
      this.#limiter.whileWorking(request, () => this.#handle(request, reply)),
    );
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
    this.#server.addContentTypeParser('*', (request, _payload, done) =>
      this.#limiter.readBody(request, this.#settings.maximumBodyBytes, done),
    );
    this.#server.addHook('onRequest', (_request, reply, done) => {
      if (this.#isDraining) void reply.header('connection', 'close');
      done();
    });
    this.#server.setErrorHandler((error, _request, reply) =>
      replyWithFailure(reply, toFailure(error as Error)),
    );
    this.#server.setNotFoundHandler((_request, reply) =>
      replyWithFailure(reply, failure(ErrorKind.UnknownService, 'paths start with /services/NAME')),
    );
  }

  /** What is held for callers now. */
  get clientUsage(): ClientUsage {
    return this.#limiter.usage;
  }

  /** Updates the gauges of what is held for callers. */
  recordUsage(): void {
    this.#limiter.recordUsage();
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
    this.#limiter.holdAnswer(request, body.length);
    return reply.code(statusCode).headers(endToEndHeaders(headers)).send(body);
  }
}
