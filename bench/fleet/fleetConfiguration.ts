/** Builds the operator's configuration of a simulated fleet. */
import type { FleetConfiguration } from '../../src/services/fleet/common/fleetConfiguration.js';
import type { BatchKind, FleetShape, ServiceKind } from './fleetShape.js';

const queueOf = (
  { queueName }: BatchKind | ServiceKind,
  priority: number,
  objectiveStretch: number,
  objectiveMs: number,
): FleetConfiguration['queues'][number] => ({
  ...{ name: queueName, host: '', pathPrefix: '', serviceName: 'fleet', timeoutMs: 3_000 },
  ...{ priority, objectiveStretch, objectiveMs, maximumAttempts: 4 },
});

export const configurationOf = ({ service, urgent, filler }: FleetShape): FleetConfiguration => ({
  version: 1,
  queues: [
    queueOf(service, 0, 1, 0),
    queueOf(urgent, 0, urgent.objectiveStretch, urgent.objectiveMs),
    queueOf(filler, 2, filler.objectiveStretch, filler.objectiveMs),
  ],
  services: [{ name: 'fleet', guardsCapacity: false }],
  limits: {
    ...{ maximumHeaderBytes: 16_384, maximumBodyBytes: 262_144 },
    ...{ headerTimeoutMs: 3_000, idleTimeoutMs: 15_000 },
  },
});
