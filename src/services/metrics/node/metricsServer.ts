/** Serves the metrics as text over HTTP. */
import Fastify, { type FastifyInstance } from 'fastify';

import { SMALL_LISTENER_TIMEOUTS, smallListenerLimits } from '../../http/common/smallListener.js';
import { ClientLimiter } from '../../http/node/clientLimiter.js';
import { listeningPort } from '../../http/node/listening.js';
import { EXPOSITION_TYPE, type PrometheusMetrics } from './prometheusMetrics.js';

const METRICS_PATH = '/metrics';

export class MetricsServer {
  readonly #server: FastifyInstance;

  /** `onWillCollect` updates the gauges before each answer. */
  constructor(metrics: PrometheusMetrics, maximumConnections: number, onWillCollect: () => void) {
    const limiter = new ClientLimiter('metrics', smallListenerLimits(maximumConnections), metrics);
    this.#server = Fastify({
      logger: false,
      serverFactory: limiter.serverFactory(SMALL_LISTENER_TIMEOUTS),
    });
    this.#server.get(METRICS_PATH, (request, reply) =>
      limiter.whileWorking(request, async () => {
        onWillCollect();
        limiter.recordUsage();
        const text = await metrics.exposition();
        limiter.holdAnswer(request, text.length);
        return reply.type(EXPOSITION_TYPE).send(text);
      }),
    );
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
