/** Messages between daemons. They are hints: losing one costs time but does no other harm. */
import { z } from 'zod';

export const HEARTBEAT_METHOD = 'heartbeat';

/** Limit of a line. A heartbeat is short, so a longer line does not come from a peer. */
export const MAXIMUM_LINE_BYTES = 65_536;

/** Limit of the id of an instance, in characters. */
const MAXIMUM_ID_LENGTH = 256;

export const heartbeatSchema = z.strictObject({
  instanceId: z.string().max(MAXIMUM_ID_LENGTH),
  /** The newest configuration version in force at the sender. */
  configurationVersion: z.number().int().nonnegative(),
  /** The sender is shutting down. The platform's instance list shows this only later. */
  isLeaving: z.boolean().default(false),
  /** Identifies the sender's span; present only on sampled heartbeats. */
  traceparent: z.string().optional(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;
