/**
 * Generates the OpenAPI description of the HTTP interfaces with fastify's plugin from the routes
 * of the operator server. Only this file loads the plugin, so the daemon does not pay for it. A
 * route that has no entry in `SCHEMAS` fails the generation.
 */
import swagger from '@fastify/swagger';
import Fastify, { type FastifyInstance, type FastifySchema } from 'fastify';
import { z } from 'zod';

import {
  DEADLINE_HEADER,
  IDEMPOTENCY_KEY_HEADER,
  IDEMPOTENT_HEADER,
  TRACEPARENT_HEADER,
} from '../../src/entry/common/headers.js';
import { planSchema } from '../../src/operator/common/plan.js';
import {
  confirmBodySchema,
  OperatorServer,
  type OperatorServerServices,
  planBodySchema,
} from '../../src/operator/node/operatorServer.js';
import { ErrorKind, WorkOutcome } from '../../src/services/errors/common/errorKinds.js';
import { settingsSchema } from '../../src/services/settings/common/settings.js';

type JsonSchema = Readonly<Record<string, unknown>>;

const toSchema = (schema: z.ZodType): JsonSchema => {
  const { $schema, ...rest } = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' });
  return rest;
};

const errorBodySchema: JsonSchema = toSchema(
  z.strictObject({
    error: z.enum(Object.values(ErrorKind) as [ErrorKind, ...ErrorKind[]]),
    message: z.string(),
    workOutcome: z.enum(Object.values(WorkOutcome) as [WorkOutcome, ...WorkOutcome[]]),
    isWorthRetrying: z.boolean(),
    retryAfterMs: z.number(),
  }),
);
const errorResponses = {
  '4xx': { description: 'refused', ...errorBodySchema },
  '5xx': { description: 'failed, or come back later', ...errorBodySchema },
};

const operatorRoute = (
  summary: string,
  responseSchema: JsonSchema,
  body?: z.ZodType,
): FastifySchema => ({
  summary,
  tags: ['operators'],
  security: [{ operatorToken: [] }],
  ...(body === undefined ? {} : { body: toSchema(body) }),
  response: { 200: { description: summary, ...responseSchema }, ...errorResponses },
});

const listSchema: JsonSchema = { type: 'array', items: { type: 'object' } };
const objectSchema: JsonSchema = { type: 'object' };
const healthRoute = (summary: string): FastifySchema => ({ summary, tags: ['health'] });

const SCHEMAS: Readonly<Record<string, FastifySchema>> = {
  'GET /healthz': healthRoute('Whether the process answers'),
  'GET /readyz': healthRoute('Whether the daemon wants traffic; 503 while it does not'),
  'GET /metrics': healthRoute('Metrics in the Prometheus text format'),
  'POST /v1/plans': operatorRoute(
    'State an intent and get the plan; nothing changes',
    toSchema(planSchema),
    planBodySchema,
  ),
  'GET /v1/plans/:id': operatorRoute('A plan', toSchema(planSchema)),
  'GET /v1/plans/:id/progress': operatorRoute(
    'How far what a plan asked for has come about',
    objectSchema,
  ),
  'POST /v1/plans/:id/confirm': operatorRoute(
    'Carry out the plan that was shown',
    toSchema(planSchema),
    confirmBodySchema,
  ),
  'GET /v1/services': operatorRoute('All services', listSchema),
  'GET /v1/services/:id': operatorRoute('A service and its tasks', objectSchema),
  'GET /v1/zones': operatorRoute('All availability zones', listSchema),
  'GET /v1/zones/:id': operatorRoute('An availability zone', objectSchema),
  'GET /v1/workers': operatorRoute('All workers, and which of them drain', listSchema),
  'GET /v1/workers/:id': operatorRoute('A worker and its tasks', objectSchema),
  'GET /v1/quotas': operatorRoute('All quotas and what services take of them', listSchema),
  'GET /v1/quotas/:id': operatorRoute('The quota of a team', objectSchema),
  'GET /v1/plans': operatorRoute('Plans of the last hours, without their steps', listSchema),
  'GET /v1/policy': operatorRoute('The limits that plans must keep', objectSchema),
  'GET /v1/instances': operatorRoute('All instances, as last listed and as seen', listSchema),
  'GET /v1/instances/:id': operatorRoute('An instance, as last listed and as seen', objectSchema),
  'GET /v1/version': operatorRoute('The configuration in force here', objectSchema),
  'GET /v1/history': operatorRoute('Accepted changes', listSchema),
  'GET /v1/tasks': operatorRoute('Tasks assigned to workers', listSchema),
  'GET /v1/tasks/:id': operatorRoute('A task and where it runs', objectSchema),
  'GET /v1/jobs': operatorRoute('All jobs', listSchema),
  'GET /v1/jobs/:id': operatorRoute('A job and how far it is', objectSchema),
  'GET /v1/traces/:id': operatorRoute('Spans of a recent trace', listSchema),
};

const optionalHeader = (description: string): JsonSchema => ({ type: 'string', description });

const CALLER_SCHEMA: FastifySchema = {
  summary: 'A request to a service; the path after its name goes to a backend server',
  tags: ['callers'],
  headers: {
    type: 'object',
    properties: {
      [DEADLINE_HEADER]: optionalHeader('milliseconds until the answer is worthless'),
      [IDEMPOTENT_HEADER]: optionalHeader('true or false, in place of what the method says'),
      [IDEMPOTENCY_KEY_HEADER]: optionalHeader('repeats of a request carry the same key'),
      [TRACEPARENT_HEADER]: optionalHeader('W3C trace context'),
    },
  },
  response: { '2xx': { description: "the backend server's whole answer" }, ...errorResponses },
};

const toRouteSchema = (method: string | string[], url: string): FastifySchema => {
  if (url.startsWith('/services/')) return CALLER_SCHEMA;
  const schema = SCHEMAS[`${String(method)} ${url}`];
  if (schema === undefined)
    throw new Error(`the route ${String(method)} ${url} has no description`);
  return schema;
};

/** The generator only reads the routes and calls none, so they need no services. */
const noServices = { isReady: () => false } as unknown as OperatorServerServices;
const { operator: operatorSettings } = settingsSchema.shape;

const addRoutes = (server: FastifyInstance): void => {
  const settings = operatorSettings.parse(undefined);
  // The constructor adds the routes.
  // eslint-disable-next-line no-new
  new OperatorServer(noServices, settings, server);
  server.route({
    method: ['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS'],
    url: '/services/:name/*',
    handler: () => '',
  });
};

export const openApiDescription = async (): Promise<object> => {
  const server = Fastify({ exposeHeadRoutes: false });
  await server.register(swagger, {
    openapi: {
      openapi: '3.1.0',
      info: {
        title: 'snipethread',
        version: '0.1.0',
        description: 'Callers and operators are served on addresses of their own.',
      },
      components: { securitySchemes: { operatorToken: { type: 'http', scheme: 'bearer' } } },
    },
    transform: ({ url, route }) => ({ schema: toRouteSchema(route.method, route.url), url }),
  });
  addRoutes(server);
  // The routes get their schemas from `transform` only, so fastify compiles no validators here.
  await server.ready();
  return server.swagger();
};
