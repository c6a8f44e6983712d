/** The HTTP server for callers. */
import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { isLeft } from 'fp-ts/lib/Either.js';

import { ErrorKind, failure, type Failure } from '../../platform/errors/common/errorKinds.js';
import { listeningPort } from '../../platform/http/node/listening.js';
import { replyWithFailure } from '../../platform/http/node/errorReply.js';
import type { Settings } from '../../platform/settings/common/settings.js';
import { endToEndHeaders, type RequestHandler } from './requestHandler.js';

const SERVICE_PATH = /^\/services\/([^/?]+)(.*)$/u;
const BODY_TOO_LARGE_CODE = 'FST_ERR_CTP_BODY_TOO_LARGE';
const FIRST_SERVER_ERROR = 500;

const toFailure = (error: { code?: string; statusCode?: number; message: string }): Failure => {
  if (error.code === BODY_TOO_LARGE_CODE) return failure(ErrorKind.BodyTooLarge, error.message);
  const isFault = (error.statusCode ?? FIRST_SERVER_ERROR) >= FIRST_SERVER_ERROR;
  return failure(isFault ? ErrorKind.Internal : ErrorKind.BadRequest, error.message);
};

export class CallerServer {
  readonly #server: FastifyInstance;

  readonly #handler: RequestHandler;

  #isDraining = false;

  constructor(handler: RequestHandler, settings: Settings['entry']) {
    this.#handler = handler;
    this.#server = Fastify({
      bodyLimit: settings.maximumBodyBytes,
      requestTimeout: settings.receiveTimeoutMs,
      exposeHeadRoutes: false,
    });
    this.#server.removeAllContentTypeParsers();
    this.#server.addContentTypeParser('*', { parseAs: 'buffer' }, (_request, body, done) =>
      done(null, body),
    );
    this.#server.setErrorHandler((error, _request, reply) =>
      replyWithFailure(reply, toFailure(error as Error)),
    );
    this.#server.setNotFoundHandler((_request, reply) =>
      replyWithFailure(reply, failure(ErrorKind.UnknownService, 'paths start with /services/NAME')),
    );
    this.#server.all('/services/*', (request, reply) => this.#handle(request, reply));
  }

  /** Starts to listen and returns the port, which the system may have chosen. */
  async listen(host: string, port: number): Promise<number> {
    await this.#server.listen({ host, port });
    return listeningPort(this.#server);
  }

  /** Tells callers on kept-alive connections to close them; new connections still come in. */
  startDraining(): void {
    this.#isDraining = true;
  }

  /** Stops listening and resolves when everything in flight is answered. */
  async close(): Promise<void> {
    await this.#server.close();
  }

  async #handle(request: FastifyRequest, reply: FastifyReply): Promise<FastifyReply> {
    if (this.#isDraining) void reply.header('connection', 'close');
    const match = SERVICE_PATH.exec(request.raw.url ?? '');
    const [, serviceName = '', rest = ''] = match ?? [];
    const result = await this.#handler.handle({
      serviceName,
      method: request.method,
      path: rest.startsWith('/') ? rest : `/${rest}`,
      headers: request.headers,
      body: Buffer.isBuffer(request.body) ? request.body : undefined,
    });
    if (isLeft(result)) return replyWithFailure(reply, result.left);
    const { statusCode, headers, body } = result.right;
    return reply.code(statusCode).headers(endToEndHeaders(headers)).send(body);
  }
}
