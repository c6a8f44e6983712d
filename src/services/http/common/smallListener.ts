/** Limits of listeners that give short answers to a few clients, such as probes and collectors. */
import type { ClientLimits } from './clientConnections.js';

export const SMALL_LISTENER_TIMEOUTS = {
  receiveMs: 5_000,
  idleMs: 60_000,
  silenceMs: 60_000,
} as const;

export const MAXIMUM_SMALL_LISTENER_CONNECTIONS = 64;

export const smallListenerLimits = (
  maximumConnections = MAXIMUM_SMALL_LISTENER_CONNECTIONS,
): ClientLimits => ({
  maximumConnections: Math.min(maximumConnections, MAXIMUM_SMALL_LISTENER_CONNECTIONS),
  maximumRequests: 64,
  maximumRequestsPerConnection: 8,
  maximumHeldBytes: 4_194_304,
  maximumHeldBytesPerConnection: 1_048_576,
});
