/** The users' platform as the source of operator changes and of workers. */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import type { Failure } from '../../errors/common/errorKinds.js';
import type { FleetConfiguration, OperatorState } from './fleetConfiguration.js';
import type { FleetWorkerEntry } from './fleetWorker.js';

export type OperatorChange =
  | { readonly kind: 'configuration'; readonly configuration: FleetConfiguration }
  | { readonly kind: 'zone'; readonly zone: string; readonly isWithdrawn: boolean }
  /** A row that cannot be parsed or names an object of an unknown kind. */
  | { readonly kind: 'unreadable'; readonly key: string };

export interface OperatorChanges {
  /** Whether `changes` is everything in force and not only the changes since a position. */
  readonly isSnapshot: boolean;
  readonly changes: readonly OperatorChange[];
  readonly position: number;
}

export interface FleetDirectory {
  /**
   * Returns everything in force if no position is given. With a position, returns the changes since
   * then, or everything again if the store no longer has them. Waits up to `waitMs` for a change
   * and fails if the whole answer takes longer than `timeoutMs`.
   */
  operatorChanges(
    afterPosition: number | undefined,
    waitMs: number,
    timeoutMs: number,
  ): TaskEither<Failure, OperatorChanges>;
  /** Lists the workers; entries that cannot be parsed are left out. */
  workers(): TaskEither<Failure, readonly FleetWorkerEntry[]>;
}

/** Applies changes to a state; the configuration never reverts to a lower version. */
export const withOperatorChanges = (
  state: OperatorState,
  { isSnapshot, changes }: OperatorChanges,
): OperatorState => {
  const withdrawnZones = new Set(isSnapshot ? [] : state.withdrawnZones);
  let { configuration } = state;
  changes.forEach((change) => {
    if (change.kind === 'zone' && change.isWithdrawn) withdrawnZones.add(change.zone);
    if (change.kind === 'zone' && !change.isWithdrawn) withdrawnZones.delete(change.zone);
    if (change.kind !== 'configuration') return;
    if (configuration === undefined || change.configuration.version >= configuration.version) {
      configuration = change.configuration;
    }
  });
  return { configuration, withdrawnZones };
};
