/** Latency samples of the entry in a cell owner's daemon, which sees few of the requests. */
import type { RandomSource } from '../../src/base/common/random.js';
import type { LatencySample } from '../../src/services/worker/common/latencySamples.js';
import { LATENCY_DEVIATION } from './latencyTail.js';
import { loadAt, type ServiceModel } from './workloadModel.js';

/** Each of these entries sees an equal share of the requests. */
const ENTRY_COUNT = 7;
/** The relative latency that a service's own load adds at full load. */
const OWN_LOAD_SLOWDOWN = 0.4;

interface Window {
  readonly workerId: string;
  readonly service: ServiceModel;
  requestCount: number;
  sumMs: number;
}

export class LatencyMeter {
  readonly #random: RandomSource;

  #windows = new Map<string, Window>();

  #startedAtMs = 0;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  add(
    workerId: string,
    service: ServiceModel,
    slowdown: number,
    requestCount: number,
    nowMs: number,
  ): void {
    const key = `${workerId}/${service.name}`;
    const window = this.#windows.get(key) ?? { workerId, service, requestCount: 0, sumMs: 0 };
    const latencyMs = service.baseLatencyMs * (1 + OWN_LOAD_SLOWDOWN * loadAt(nowMs)) * slowdown;
    window.requestCount += requestCount / ENTRY_COUNT;
    window.sumMs += (latencyMs * requestCount) / ENTRY_COUNT;
    this.#windows.set(key, window);
  }

  takeSamples(nowMs: number): readonly LatencySample[] {
    const windows = [...this.#windows.values()];
    const startedAtMs = this.#startedAtMs;
    this.#windows = new Map();
    this.#startedAtMs = nowMs;
    return windows.map(({ workerId, service, requestCount, sumMs }) => {
      const deviation = LATENCY_DEVIATION / Math.sqrt(requestCount);
      return {
        workerId,
        serviceName: service.name,
        requestCount: Math.max(1, Math.round(requestCount)),
        meanLatencyMs: (sumMs / requestCount) * (1 + deviation * this.#nextNormal()),
        startedAtMs,
        endedAtMs: nowMs,
      };
    });
  }

  /** Approximates a standard normal value by the sum of twelve uniform values. */
  #nextNormal(): number {
    return Array.from({ length: 12 }, () => this.#random.nextFraction()).reduce(
      (sum, draw) => sum + draw,
      -6,
    );
  }
}
