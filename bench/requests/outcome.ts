/** Counts and latencies of one kind of traffic. */
export class Outcome {
  offered = 0;

  inTime = 0;

  refused = 0;

  failed = 0;

  usefulWorkMs = 0;

  /** Latencies of all answers, also of those after the deadline. */
  readonly latenciesMs: number[] = [];

  count(counter: 'offered' | 'refused' | 'failed'): void {
    this[counter] += 1;
  }

  recordAnswer(latencyMs: number, deadlineMs: number, workMs: number): void {
    this.latenciesMs.push(latencyMs);
    if (latencyMs > deadlineMs) return;
    this.inTime += 1;
    this.usefulWorkMs += workMs;
  }

  percentileMs(share: number): number {
    const sorted = Float64Array.from(this.latenciesMs).sort();
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
  }
}
