/** Settings of a daemon on the users' platform, read from JSON. */
import { z } from 'zod';

const PORT_LIMIT = 65_535;

const addressSchema = z
  .string()
  .regex(/^[\d.]+:\d+$/u, 'an address is IP:PORT')
  .transform((text) => {
    const [host = '', port = ''] = text.split(':');
    return { host, port: Number(port) };
  })
  .refine(({ port }) => port <= PORT_LIMIT, 'a port is at most 65535');

const durationMs = z.number().positive();

export const fleetSettingsSchema = z.strictObject({
  instanceId: z.string().min(1),
  availabilityZone: z.string().min(1),
  listen: z.strictObject({
    callers: addressSchema,
    readiness: addressSchema,
    metrics: addressSchema,
  }),
  /** IP:PORT of the platform's store. */
  storeAddress: z.string().regex(/^[\d.]+:\d+$/u),
  /** The longest lease that workers grant. */
  maximumLeaseMs: durationMs,
  /** How often a worker writes its entry into the store. */
  workerReportIntervalMs: durationMs,
  /** How long a worker takes at most to stop a task. */
  workerStopMs: durationMs,
  /** The time from a request to end until the process is ended. */
  graceSeconds: z.number().positive(),
  /** What the daemon has of a processor: a share of one that is so many times as fast as a core. */
  processor: z.strictObject({ share: z.number().positive(), speed: z.number().positive() }),
});
export type FleetSettings = z.infer<typeof fleetSettingsSchema>;

export interface SettingsFault {
  readonly path: string;
  readonly message: string;
}

/** The settings, or every fault in them. */
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
