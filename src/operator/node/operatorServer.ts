/** The HTTP server for operators: plans, queries, health, metrics and traces. */
import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';
import { type Either, isLeft } from 'fp-ts/lib/Either.js';
import { z } from 'zod';

import { jsonText } from '../../base/node/jsonText.js';
import type {
  ConfigurationHealth,
  ConfigurationService,
} from '../../services/configuration/common/configurationService.js';
import { ErrorKind, failure, type Failure } from '../../services/errors/common/errorKinds.js';
import {
  SMALL_LISTENER_TIMEOUTS,
  smallListenerLimits,
} from '../../services/http/common/smallListener.js';
import { ClientLimiter } from '../../services/http/node/clientLimiter.js';
import { replyWithFailure } from '../../services/http/node/errorReply.js';
import { listeningPort } from '../../services/http/node/listening.js';
import {
  EXPOSITION_TYPE,
  type PrometheusMetrics,
} from '../../services/metrics/node/prometheusMetrics.js';
import { OperatorRole, type Settings } from '../../services/settings/common/settings.js';
import type { SpanRing } from '../../services/tracing/node/openTelemetryTracing.js';
import { intentSchema } from '../common/intent.js';
import { OperatorAccess } from './operatorAccess.js';
import { ObjectKind, type OperatorQueries } from './operatorQueries.js';
import type { PlanProgressReader } from './planProgress.js';
import type { ConfirmationRefusal, PlanService } from './planService.js';

export interface OperatorServerServices {
  readonly plans: PlanService;
  readonly queries: OperatorQueries;
  readonly progress: PlanProgressReader;
  readonly configuration: ConfigurationService & { readonly health: ConfigurationHealth };
  readonly metrics: PrometheusMetrics;
  readonly spans: SpanRing;
  /** Called before metrics are collected, to update gauges. */
  readonly onWillCollect: () => void;
  /** Whether the daemon is ready for traffic from the load balancer. */
  readonly isReady: () => boolean;
}

type Handler = (
  request: FastifyRequest,
  author: string,
) => Promise<Either<ConfirmationRefusal, unknown>> | Either<ConfirmationRefusal, unknown>;

export const planBodySchema = z.strictObject({ intent: intentSchema });
export const confirmBodySchema = z.strictObject({ digest: z.string().min(1) });
const idParamsSchema = z.object({ id: z.string().min(1) });
const JSON_TYPE = 'application/json; charset=utf-8';
const HTTP_OK = 200;
/** Bodies and answers of the largest size that may be in memory. */
const LARGEST_INTENTS = 8;
const LARGEST_INTENTS_PER_CONNECTION = 4;
const HTTP_UNAVAILABLE = 503;
const FIRST_SERVER_ERROR = 500;

const invalidBody = (error: z.ZodError): Either<Failure, never> => {
  const [issue] = error.issues;
  const path = issue === undefined || issue.path.length === 0 ? 'body' : issue.path.join('.');
  const message = `${path}: ${issue?.message ?? 'is not valid'}`;
  return { _tag: 'Left', left: failure(ErrorKind.BadRequest, message) };
};

const toFailure = (error: { statusCode?: number; message: string }): Failure => {
  const statusCode = error.statusCode ?? FIRST_SERVER_ERROR;
  if (statusCode === 413) return failure(ErrorKind.BodyTooLarge, error.message);
  if (statusCode === HTTP_UNAVAILABLE) return failure(ErrorKind.Saturated, error.message);
  const isFault = statusCode >= FIRST_SERVER_ERROR;
  return failure(isFault ? ErrorKind.Internal : ErrorKind.BadRequest, error.message);
};

export class OperatorServer {
  readonly #services: OperatorServerServices;

  readonly #access: OperatorAccess;

  readonly #limiter: ClientLimiter;

  readonly #server: FastifyInstance;

  /** Adds the routes to `server`; the generator of the OpenAPI description passes its own. */
  constructor(
    services: OperatorServerServices,
    settings: Settings['operator'],
    server?: FastifyInstance,
  ) {
    this.#services = services;
    this.#access = new OperatorAccess(settings.tokens);
    const { maximumIntentBytes } = settings;
    const limits = {
      ...smallListenerLimits(),
      maximumHeldBytes: maximumIntentBytes * LARGEST_INTENTS,
      maximumHeldBytesPerConnection: maximumIntentBytes * LARGEST_INTENTS_PER_CONNECTION,
    };
    this.#limiter = new ClientLimiter('operators', limits, services.metrics);
    this.#server =
      server ?? Fastify({ serverFactory: this.#limiter.serverFactory(SMALL_LISTENER_TIMEOUTS) });
    this.#readIntents(maximumIntentBytes);
    this.#server.setErrorHandler((error, _request, reply) =>
      replyWithFailure(reply, toFailure(error as Error)),
    );
    this.#server.setNotFoundHandler((request, reply) =>
      replyWithFailure(reply, failure(ErrorKind.UnknownObject, `no ${request.url}`)),
    );
    this.#addHealthRoutes();
    this.#addPlanRoutes();
    this.#addQueryRoutes();
  }

  /** Starts to listen and returns the port. For port 0 the operating system chooses one. */
  async listen(host: string, port: number): Promise<number> {
    await this.#server.listen({ host, port });
    return listeningPort(this.#server);
  }

  async close(): Promise<void> {
    await this.#server.close();
  }

  /** Bodies are JSON, as by default, but are read within the limits of the listener. */
  #readIntents(maximumBytes: number): void {
    const parseJson = this.#server.getDefaultJsonParser('error', 'error');
    this.#server.removeAllContentTypeParsers();
    this.#server.addContentTypeParser('application/json', (request, _payload, done) =>
      this.#limiter.readBody(request, maximumBytes, (error, body) => {
        if (error === null) void parseJson(request, body?.toString('utf8') ?? '', done);
        else done(error);
      }),
    );
  }

  #addHealthRoutes(): void {
    const { metrics, isReady, onWillCollect } = this.#services;
    this.#server.get('/healthz', () => ({ status: 'ok' }));
    this.#server.get('/readyz', (_request, reply) => {
      const { health } = this.#services.configuration;
      const statusCode = isReady() ? HTTP_OK : HTTP_UNAVAILABLE;
      const status = isReady() ? 'ready' : 'not ready';
      return reply.code(statusCode).send({ status, configuration: health });
    });
    this.#server.get('/metrics', async (_request, reply) => {
      onWillCollect();
      this.#limiter.recordUsage();
      return reply.type(EXPOSITION_TYPE).send(await metrics.exposition());
    });
  }

  #addPlanRoutes(): void {
    const { plans } = this.#services;
    this.#route('POST', '/v1/plans', OperatorRole.Plan, (request, author) => {
      const body = planBodySchema.safeParse(request.body);
      return body.success ? plans.plan(body.data.intent, author) : invalidBody(body.error);
    });
    this.#route('GET', '/v1/plans/:id', OperatorRole.View, (request) =>
      plans.find(idParamsSchema.parse(request.params).id),
    );
    this.#route('GET', '/v1/plans/:id/progress', OperatorRole.View, async (request) => {
      const plan = await plans.find(idParamsSchema.parse(request.params).id);
      return isLeft(plan) ? plan : this.#services.progress.of(plan.right);
    });
    this.#route('POST', '/v1/plans/:id/confirm', OperatorRole.Confirm, (request, author) => {
      const body = confirmBodySchema.safeParse(request.body);
      if (!body.success) return invalidBody(body.error);
      const { id } = idParamsSchema.parse(request.params);
      return plans.confirm({ planId: id, digest: body.data.digest, author });
    });
  }

  #addQueryRoutes(): void {
    const { queries, configuration, spans } = this.#services;
    const success = (value: unknown): Either<Failure, unknown> => ({ _tag: 'Right', right: value });
    Object.values(ObjectKind).forEach((kind) => {
      this.#route('GET', `/v1/${kind}`, OperatorRole.View, () => queries.list(kind));
      // Single plans have their own route, which returns them with their steps.
      if (kind === ObjectKind.Plans) return;
      this.#route('GET', `/v1/${kind}/:id`, OperatorRole.View, (request) =>
        queries.describe(kind, idParamsSchema.parse(request.params).id),
      );
    });
    this.#route('GET', '/v1/policy', OperatorRole.View, async () => {
      const view = await queries.view();
      return isLeft(view) ? view : success(view.right.policy);
    });
    this.#route('GET', '/v1/version', OperatorRole.View, () =>
      success({ version: configuration.current?.version ?? 0 }),
    );
    this.#route('GET', '/v1/history', OperatorRole.View, () => queries.history());
    this.#route('GET', '/v1/traces/:id', OperatorRole.View, (request) =>
      success(spans.find(idParamsSchema.parse(request.params).id)),
    );
  }

  #route(method: 'GET' | 'POST', url: string, role: OperatorRole, handler: Handler): void {
    this.#server.route({
      method,
      url,
      // The body of a caller without the role must not be read.
      onRequest: async (request, reply): Promise<FastifyReply | undefined> => {
        const author = this.#access.check(request.headers.authorization, role);
        if (!isLeft(author)) return undefined;
        return replyWithFailure(reply.header('connection', 'close'), author.left);
      },
      handler: (request, reply) =>
        this.#limiter.whileWorking(request, () => this.#answer(request, reply, role, handler)),
    });
  }

  async #answer(
    request: FastifyRequest,
    reply: FastifyReply,
    role: OperatorRole,
    handler: Handler,
  ): Promise<FastifyReply> {
    const author = this.#access.check(request.headers.authorization, role);
    if (isLeft(author)) return replyWithFailure(reply, author.left);
    const result = await handler(request, author.right);
    if (isLeft(result)) {
      const { newPlan } = result.left;
      return replyWithFailure(reply, result.left, newPlan === undefined ? {} : { newPlan });
    }
    const text = await jsonText(result.right);
    this.#limiter.holdAnswer(request, text.length);
    return reply.type(JSON_TYPE).send(text);
  }
}
