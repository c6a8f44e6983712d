/** Decides when a running request gets a second, concurrent attempt. */
import { SecondAttemptReason } from './admissionDecision.js';

export interface RunningRequest {
  readonly isIdempotent: boolean;
  readonly attemptCount: number;
  readonly maximumAttemptCount: number;
  readonly ageMs: number;
  /** Whether any byte of the answer has arrived. */
  readonly hasProgress: boolean;
  /** The 95th percentile of the service's latency; zero while unknown. */
  readonly p95LatencyMs: number;
}

export interface SecondAttemptSettings {
  readonly silenceFloorMs: number;
}

/** Factors on the 95th percentile, after which a request is hedged or its connection is suspect. */
const HEDGE_FACTOR = 1.5;
const SILENCE_FACTOR = 4;

/**
 * Covers the slowest requests and connections that went silent. HTTP has no keep-alive message on
 * a connection that waits for an answer, so a slow server and a silent connection look the same.
 * A second attempt on another connection tells them apart: if it is answered before the first one
 * has brought a byte, the first connection is closed. The first attempt goes on until then, so work
 * that merely takes long is never cut off here. Work that is not idempotent gets no second attempt.
 */
export const secondAttemptReason = (
  running: RunningRequest,
  settings: SecondAttemptSettings,
): SecondAttemptReason | undefined => {
  const { ageMs, p95LatencyMs } = running;
  if (!running.isIdempotent || running.hasProgress) return undefined;
  if (running.attemptCount >= running.maximumAttemptCount) return undefined;
  if (ageMs >= Math.max(settings.silenceFloorMs, p95LatencyMs * SILENCE_FACTOR)) {
    return SecondAttemptReason.Silence;
  }
  const isHedged = p95LatencyMs > 0 && ageMs >= p95LatencyMs * HEDGE_FACTOR;
  return isHedged ? SecondAttemptReason.Hedge : undefined;
};
