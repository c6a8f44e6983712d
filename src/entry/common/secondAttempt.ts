/** Decides when a request under way is sent a second time beside the first. */
import { ExtraReason } from './admissionDecision.js';

export interface RunningRequest {
  readonly isIdempotent: boolean;
  readonly attemptCount: number;
  readonly maximumAttemptCount: number;
  readonly ageMs: number;
  /** Whether any byte of the answer has come. */
  readonly hasProgress: boolean;
  /** The latency that one in twenty answers of the service exceeds; zero while unknown. */
  readonly highLatencyMs: number;
}

export interface SecondAttemptSettings {
  readonly silenceFloorMs: number;
}

/** Factors on the high latency: what is slower than these is slow, or lies on a dead connection. */
const HEDGE_FACTOR = 1.5;
const SILENCE_FACTOR = 4;

/**
 * Made for the slowest few and for connections that went silent. HTTP has no sign of life on a
 * connection that waits for an answer, so slowness and silence look alike from outside. What
 * tells them apart is a second attempt on another connection: if it is answered while the first
 * has not brought a byte, the first connection is closed. Until then the first goes on, so work
 * that is merely long is never cut off by this. Work that is not idempotent is left alone.
 */
export const secondAttemptReason = (
  running: RunningRequest,
  settings: SecondAttemptSettings,
): ExtraReason | undefined => {
  const { ageMs, highLatencyMs } = running;
  if (!running.isIdempotent || running.hasProgress) return undefined;
  if (running.attemptCount >= running.maximumAttemptCount) return undefined;
  if (ageMs >= Math.max(settings.silenceFloorMs, highLatencyMs * SILENCE_FACTOR)) {
    return ExtraReason.Silence;
  }
  const isHedged = highLatencyMs > 0 && ageMs >= highLatencyMs * HEDGE_FACTOR;
  return isHedged ? ExtraReason.Hedge : undefined;
};
