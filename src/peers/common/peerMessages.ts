/**
 * What daemons tell one another. All of it is hints: losing every message costs time only,
 * because whatever must be agreed or kept goes through the platform's table.
 */
import { z } from 'zod';

export const HEARTBEAT_METHOD = 'heartbeat';

export const heartbeatSchema = z.strictObject({
  instanceId: z.string(),
  /** The newest configuration that the sender has in force. */
  configurationVersion: z.number().int().nonnegative(),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;
