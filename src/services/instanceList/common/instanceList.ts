/** The platform's list of live and leaving instances. It lags behind their actual state. */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import { z } from 'zod';

import type { Failure } from '../../errors/common/errorKinds.js';
import { resourcesSchema } from '../../worker/common/resources.js';

export const InstanceState = { Live: 'live', Leaving: 'leaving' } as const;
export type InstanceState = (typeof InstanceState)[keyof typeof InstanceState];

const addressSchema = z.strictObject({
  host: z.string().min(1),
  port: z.number().int().min(1).max(65_535),
});
export type InstanceAddress = z.infer<typeof addressSchema>;

const stateSchema = z.enum([InstanceState.Live, InstanceState.Leaving]);

/** An instance that runs `snipethreadd`. */
export const daemonInstanceSchema = z.strictObject({
  kind: z.literal('daemon'),
  id: z.string().min(1),
  availabilityZone: z.string().min(1),
  state: stateSchema,
  peerAddress: addressSchema,
  operatorAddress: addressSchema,
});
export type DaemonInstance = z.infer<typeof daemonInstanceSchema>;

/** An instance that runs tasks and, for tasks of services, a backend server. */
export const workerInstanceSchema = z.strictObject({
  kind: z.literal('worker'),
  id: z.string().min(1),
  availabilityZone: z.string().min(1),
  rack: z.string().min(1),
  state: stateSchema,
  controlAddress: addressSchema,
  backendAddress: addressSchema,
  capacity: resourcesSchema,
  /** The number of requests that the backend server serves concurrently. */
  slotCount: z.number().int().positive(),
  /** The total number of connections that the backend server accepts. */
  connectionCount: z.number().int().positive(),
});
export type WorkerInstance = z.infer<typeof workerInstanceSchema>;

export const instanceSchema = z.discriminatedUnion('kind', [
  daemonInstanceSchema,
  workerInstanceSchema,
]);
export type Instance = z.infer<typeof instanceSchema>;

export const instanceListSchema = z.strictObject({ instances: z.array(instanceSchema) });

export interface InstanceListAnswer {
  /** Undefined if the list has not changed since the last read. */
  readonly instances: readonly Instance[] | undefined;
  /** Whether the platform supports conditional reads, which send the list only if it changed. */
  readonly isConditional: boolean;
}

export interface InstanceList {
  read(): TaskEither<Failure, InstanceListAnswer>;
}

export const isDaemon = (instance: Instance): instance is DaemonInstance =>
  instance.kind === 'daemon';

export const isWorker = (instance: Instance): instance is WorkerInstance =>
  instance.kind === 'worker';

/** Formats the address as an HTTP origin, in which the colons of an IPv6 address need brackets. */
export const toOrigin = ({ host, port }: InstanceAddress): string =>
  host.includes(':') && !host.startsWith('[')
    ? `http://[${host}]:${port}`
    : `http://${host}:${port}`;
