/** Serves the metrics as text over HTTP. */
import Fastify, { type FastifyInstance } from 'fastify';

import { listeningPort } from '../../http/node/listening.js';
import { EXPOSITION_TYPE, type PrometheusMetrics } from './prometheusMetrics.js';

const METRICS_PATH = '/metrics';

export class MetricsServer {
  readonly #server: FastifyInstance;

  /** `onWillCollect` updates the gauges before each answer. */
  constructor(metrics: PrometheusMetrics, onWillCollect: () => void) {
    this.#server = Fastify({ logger: false });
    this.#server.get(METRICS_PATH, async (_request, reply) => {
      onWillCollect();
      return reply.type(EXPOSITION_TYPE).send(await metrics.exposition());
    });
  }

  /** Resolves to the port. */
  async listen(address: { readonly host: string; readonly port: number }): Promise<number> {
    await this.#server.listen(address);
    return listeningPort(this.#server);
  }

  async close(): Promise<void> {
    await this.#server.close();
  }
}
