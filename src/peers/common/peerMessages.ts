/** Messages between daemons. They are hints: losing any of them costs time and nothing else. */
import { z } from 'zod';

export const HEARTBEAT_METHOD = 'heartbeat';

/** A heartbeat is a short line; a longer one is not from a peer. */
export const MAXIMUM_LINE_BYTES = 65_536;

export const heartbeatSchema = z.strictObject({
  instanceId: z.string(),
  /** The newest configuration that the sender has in force. */
  configurationVersion: z.number().int().nonnegative(),
  /** The sender is shutting down; the platform's list will tell so only later. */
  isLeaving: z.boolean().default(false),
  /** Names the sender's span; only sampled heartbeats carry it. */
  traceparent: z.string().optional(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;
