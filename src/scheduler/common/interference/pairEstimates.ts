/**
 * Estimates how much each batch kind slows each service, learnt from measured latencies with one
 * `ServiceModel` per service.
 */
import { NO_PRESSURE, type Observation, type Pressure, ServiceModel } from './serviceModel.js';

const MAXIMUM_SERVICES = 500;

export class PairEstimates {
  readonly #halfLifeMs: number;

  readonly #services: ReadonlyMap<string, ServiceModel>;

  constructor(halfLifeMs: number, services: ReadonlyMap<string, ServiceModel> = new Map()) {
    this.#halfLifeMs = halfLifeMs;
    this.#services = services;
  }

  get isEmpty(): boolean {
    return this.#services.size === 0;
  }

  /** The service's latency without batch work; undefined before the first sample. */
  baseLatencyMs(serviceName: string): number | undefined {
    return this.#services.get(serviceName)?.baseLatencyMs;
  }

  /**
   * The pressure that a worker full of the kind puts on the service now, lowered by this number of
   * standard deviations.
   */
  pressure(serviceName: string, kind: string, doubtDeviations: number, nowMs: number): Pressure {
    const service = this.#services.get(serviceName);
    return service?.pressure(kind, doubtDeviations, nowMs) ?? NO_PRESSURE;
  }

  /**
   * The highest recent slowdown that the given exposure to the kind certainly caused, for
   * placement: 0.1 is a tenth slower.
   */
  worstSlowdown(serviceName: string, kind: string, exposure: number, nowMs: number): number {
    return exposure * (this.#services.get(serviceName)?.worstPressure(kind, nowMs) ?? 0);
  }

  withObservation(serviceName: string, observation: Observation, nowMs: number): PairEstimates {
    const { latencyMs, requestCount } = observation;
    if (!(latencyMs > 0) || !Number.isFinite(latencyMs) || requestCount < 1) return this;
    const known = this.#services.get(serviceName);
    if (known === undefined && this.#services.size >= MAXIMUM_SERVICES) return this;
    const before = known ?? ServiceModel.first(latencyMs, this.#halfLifeMs, nowMs);
    const services = new Map(this.#services).set(serviceName, before.with(observation, nowMs));
    return new PairEstimates(this.#halfLifeMs, services);
  }
}
