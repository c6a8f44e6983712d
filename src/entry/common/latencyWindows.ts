/** Collects the latencies of each backend server until the next sample is taken. */
import type {
  LatencySample,
  LatencySampleSource,
} from '../../services/worker/common/latencySamples.js';

/** Servers that one process records: a few services on each of 860 workers. */
const MAXIMUM_WINDOWS = 5_000;

interface LatencyWindow {
  readonly workerId: string;
  readonly serviceName: string;
  requestCount: number;
  sumMs: number;
  startedAtMs: number;
}

/**
 * For a scheduler that learns which batch work slows a service down. A sample carries the time at
 * which its first request was sent, because a request that was sent before the tasks on the worker
 * changed says nothing about the current tasks. In a process without the scheduler's role nobody
 * takes the samples; it then keeps a bounded number of windows and ignores further servers.
 */
export class LatencyWindows implements LatencySampleSource {
  #windows = new Map<string, LatencyWindow>();

  note(workerId: string, serviceName: string, latencyMs: number, answeredAtMs: number): void {
    const key = `${workerId}/${serviceName}`;
    const startedAtMs = answeredAtMs - latencyMs;
    const window = this.#windows.get(key);
    if (window === undefined) {
      if (this.#windows.size >= MAXIMUM_WINDOWS) return;
      const first = { workerId, serviceName, requestCount: 1, sumMs: latencyMs, startedAtMs };
      this.#windows.set(key, first);
      return;
    }
    window.requestCount += 1;
    window.sumMs += latencyMs;
    window.startedAtMs = Math.min(window.startedAtMs, startedAtMs);
  }

  takeSamples(nowMs: number): readonly LatencySample[] {
    const windows = [...this.#windows.values()];
    this.#windows = new Map();
    return windows.map(({ workerId, serviceName, requestCount, sumMs, startedAtMs }) => ({
      workerId,
      serviceName,
      requestCount,
      meanLatencyMs: sumMs / requestCount,
      startedAtMs,
      endedAtMs: nowMs,
    }));
  }
}
