/** Latencies that entries measure at the backend servers. */

/** The latency of one entry's requests to one service on one worker during one period. */
export interface LatencySample {
  readonly workerId: string;
  readonly serviceName: string;
  readonly requestCount: number;
  readonly meanLatencyMs: number;
  /** When the first request was sent, on the clock of this process. */
  readonly startedAtMs: number;
  /** When the last request was answered, on the same clock. */
  readonly endedAtMs: number;
}

export interface LatencySampleSource {
  /** Returns the samples since the last call. */
  takeSamples(nowMs: number): readonly LatencySample[];
}
