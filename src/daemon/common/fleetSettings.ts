/** Settings of a daemon on the platform, read from JSON. */
import { z } from 'zod';

import {
  isConnectable,
  parseSocketAddress,
  type SocketAddress,
} from '../../base/common/socketAddress.js';

const addressSchema = z.string().transform((text, context): SocketAddress => {
  const address = parseSocketAddress(text);
  if (address !== undefined) return address;
  context.addIssue({ code: 'custom', message: 'an address is IP:PORT' });
  return z.NEVER;
});

const durationMs = z.number().positive();
const count = z.number().int().positive();

/** A count in a template, which renders a missing value as an empty text or as `undefined`. */
const renderedCount = z.union([
  count,
  z
    .string()
    .regex(/^(?:[1-9]\d*|undefined)?$/u, 'must be a number')
    .transform((text) => (/^\d/u.test(text) ? Number(text) : undefined)),
]);
const DEFAULT_MAXIMUM_ROW_BYTES = 65_536;

export const fleetSettingsSchema = z.strictObject({
  instanceId: z.string().min(1),
  availabilityZone: z.string().min(1),
  listen: z.strictObject({
    callers: addressSchema,
    readiness: addressSchema,
    metrics: addressSchema,
  }),
  /** IP:PORT of the platform's store. */
  storeAddress: z.string().refine(isConnectable, 'an address is IP:PORT'),
  /** The largest row that the store takes. */
  maximumRowBytes: renderedCount
    .optional()
    .transform((bytes) => bytes ?? DEFAULT_MAXIMUM_ROW_BYTES),
  /** The longest lease that workers grant. */
  maximumLeaseMs: durationMs,
  /** The interval at which a worker writes its entry to the store. */
  workerReportIntervalMs: durationMs,
  /** The longest time that a worker takes to stop a task. */
  workerStopMs: durationMs,
  /** The longest time in which a stored change of the configuration must be in force. */
  configurationBoundMs: durationMs,
  /** The longest time in which the withdrawal of a zone must be in force. */
  withdrawalBoundMs: durationMs,
  /** The longest time for which tasks may start on a worker after it has reported that it drains. */
  drainBoundMs: durationMs,
  /** The time from the request to shut down until the process is killed. */
  graceSeconds: z.number().positive(),
  /** The daemon's share of a processor, and the speed of that processor relative to one core. */
  processor: z.strictObject({ share: z.number().positive(), speed: z.number().positive() }),
  /** The files and sockets that the daemon may have open; by default, what the system allows. */
  maximumDescriptors: renderedCount.optional(),
  /** The limits of what is held for callers. */
  callers: z
    .strictObject({
      /** At most a quarter of the descriptors in any case. */
      maximumConnections: count.default(1_024),
      /** The maximum number of requests without an answer. */
      maximumRequests: count.default(1_024),
      maximumRequestsPerConnection: count.default(64),
      /** The maximum total size of all request bodies in memory. */
      maximumHeldBytes: count.default(8_388_608),
      maximumHeldBytesPerConnection: count.default(1_048_576),
    })
    .prefault({}),
});
export type FleetSettings = z.infer<typeof fleetSettingsSchema>;

export interface SettingsFault {
  readonly path: string;
  readonly message: string;
}

/** Returns the settings, or every error in them. */
export const checkFleetSettings = (
  document: unknown,
): { readonly settings?: FleetSettings; readonly faults: readonly SettingsFault[] } => {
  const parsed = fleetSettingsSchema.safeParse(document);
  if (parsed.success) return { settings: parsed.data, faults: [] };
  const faults = parsed.error.issues.map(({ path, message }) => ({
    path: path.join('.'),
    message,
  }));
  return { faults };
};
