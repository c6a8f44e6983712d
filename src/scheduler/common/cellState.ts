/** The state of one daemon with regard to one cell, and the events and effects around it. */
import type { Either } from 'fp-ts/lib/Either.js';

import type { ConfigurationView } from '../../services/configuration/common/configurationView.js';
import type { Failure } from '../../services/errors/common/errorKinds.js';
import type { WorkerInstance } from '../../services/instanceList/common/instanceList.js';
import type { LogEvent } from '../../services/log/common/logEvents.js';
import type {
  ReadRequest,
  ReadResult,
  Transaction,
  TransactionResult,
} from '../../services/table/common/table.js';
import type { LatencySample } from '../../services/worker/common/latencySamples.js';
import type { WorkerCommand, WorkerReport } from '../../services/worker/common/workerClient.js';
import type { EndpointView } from '../../services/workload/common/endpointView.js';
import type { ExchangeRow } from '../../services/workload/common/workRows.js';
import type { CellLease, LeaseStepKind } from './cellLease.js';
import type { CellLeaseTiming } from './leasePatience.js';
import type { CellDraft } from './cellDraft.js';
import type { CellRows } from './cellRows.js';
import type { HandOnMemory } from './handOn.js';
import type { LearntSizes } from './learntSizes.js';
import type { InterferencePolicy } from './interference/interferencePolicy.js';
import type { InterferenceState } from './interference/interferenceState.js';
import type { WorkerHealth } from './workerHealth.js';
import type { WorkerView } from './workerView.js';

/** Limits and intervals of a cell's scheduling, from the settings. */
export interface CellTiming extends CellLeaseTiming {
  readonly workerRenewalIntervalMs: number;
  readonly workerLeaseMs: number;
  readonly startValidityMs: number;
  readonly serviceDrainMs: number;
  /** The time in which a zone that returns is opened to tasks. */
  readonly zoneReturnMs: number;
  readonly maximumRenewalWithoutTableMs: number;
  /** How old the last confirmation of the configuration may be for a start. */
  readonly configurationFreshnessMs: number;
  /** The time between two transactions of a cell, in which changes gather. */
  readonly roundIntervalMs: number;
  /** Rows that a cell may write a second, its heartbeat aside. */
  readonly rowsPerSecond: number;
  /** Rows that one transaction may write, so that none outlasts the call's time limit. */
  readonly maximumRowsPerRound: number;
  /** How old a worker's last report may be for a new assignment. */
  readonly reportFreshnessMs: number;
  readonly interference: InterferencePolicy;
}

/** The configuration with the instant at which it was last known to be the newest. */
export interface ConfirmedConfiguration {
  readonly view: ConfigurationView;
  readonly confirmedAtMs: number;
}

/** Rows that a look found to have been added or changed, to be read next. */
export interface Arrivals {
  readonly keys: readonly string[];
  /** The version of the inbox row that tells of them. */
  readonly inboxVersion: number;
}

/** What the owner's one table call in flight is for. */
export type PendingCall =
  | { readonly kind: 'load' }
  | { readonly kind: 'look' }
  | { readonly kind: 'arrivals'; readonly arrivals: Arrivals }
  | { readonly kind: 'fence' }
  | {
      readonly kind: 'commit';
      readonly draft: CellDraft;
      readonly sentAtMs: number;
      /** Attempts that the transaction takes off their workers, as keys. */
      readonly droppedAttempts: ReadonlySet<string>;
      /** True when the transaction names the row of a zone in use, so that its commit proves it. */
      readonly provesZone: boolean;
    };

export interface CellState {
  readonly cell: string;
  readonly timing: CellTiming;
  readonly lease: CellLease;
  /** Undefined while not owner, and after a lost answer until the rows are read again. */
  readonly rows: CellRows | undefined;
  /** The rows last known for certain in this ownership; leases are renewed by them. */
  readonly lastRows: CellRows | undefined;
  /** Workers that the stored row names as unreached, or may name once a transaction has landed. */
  readonly unreachedWorkerIds: ReadonlySet<string>;
  /** Replicas beyond the cell's share that others have taken over, by task id. */
  readonly surplusTaskIds: ReadonlySet<string>;
  readonly workers: ReadonlyMap<string, WorkerView>;
  readonly pending: PendingCall | undefined;
  readonly configuration: ConfirmedConfiguration | undefined;
  /** When a committed transaction last proved that the zone was in use; when it was sent. */
  readonly zoneProvedAtMs: number;
  /** Since when the zone is known to be withdrawn. */
  readonly withdrawnSinceMs: number | undefined;
  /** When the zone returned to use, as long as that may matter. */
  readonly returnedAtMs: number | undefined;
  readonly tookOverAtMs: number;
  /** When to look again whether work has been added to the cell. */
  readonly nextLookAtMs: number;
  /** Whether a transaction of this owner may still land although its answer was lost. */
  readonly isFenceDue: boolean;
  readonly operationCount: number;
  /** Attempts that have to leave for urgent work or a service, as keys; a new owner chooses anew. */
  readonly preempted: ReadonlySet<string>;
  /** Which batch kinds slow which services; learnt anew by each owner. */
  readonly interference: InterferenceState;
  /** Since when shards have been larger than any listed worker, by shard id. */
  readonly oversizedSinceMs: ReadonlyMap<string, number>;
  /** Which workers fail what they start; learnt anew by each owner. */
  readonly workerHealth: WorkerHealth;
  /** When a failed task may be tried again, by task id; a new owner tries it at once. */
  readonly retryAtMs: ReadonlyMap<string, number>;
  readonly handOn: HandOnMemory;
  /** How large tasks really are; learnt anew by each owner. */
  readonly learntSizes: LearntSizes;
  readonly nextLearningAtMs: number;
  /** The division of quotas that the cell had published when it last read the other cells' rows. */
  readonly readDivision: string;
  /** Since when a team's large task has had its quota and found no worker with room, by team. */
  readonly quotaWaits: ReadonlyMap<string, number>;
  /** True when something changed that a round may have to act on. */
  readonly isRoundStale: boolean;
  readonly nextFullRoundAtMs: number;
  /** When the next round may be written. */
  readonly nextRoundAtMs: number;
  /** The published servers of the cells as last read; for other cells than this. */
  readonly endpointView: EndpointView;
  /** What the other cells tell, by cell, as last read. */
  readonly exchangeElsewhere: ReadonlyMap<string, ExchangeRow>;
  /** When to read all published servers again. */
  readonly nextWholeLookAtMs: number;
  readonly arrivals: Arrivals | undefined;
}

export type CellEvent =
  | { readonly kind: 'tick' }
  | { readonly kind: 'configuration'; readonly configuration: ConfirmedConfiguration }
  | { readonly kind: 'latency-measured'; readonly samples: readonly LatencySample[] }
  | { readonly kind: 'instances'; readonly workers: readonly WorkerInstance[] }
  | {
      readonly kind: 'lease-read';
      readonly result: Either<Failure, ReadResult>;
      readonly sentAtMs: number;
    }
  | {
      readonly kind: 'lease-written';
      readonly step: LeaseStepKind;
      readonly result: Either<Failure, TransactionResult>;
      readonly sentAtMs: number;
    }
  | {
      readonly kind: 'loaded';
      /** The epoch of the ownership in which the call was made, as in the two events below. */
      readonly epoch: number;
      readonly result: Either<Failure, ReadResult>;
    }
  | {
      readonly kind: 'committed';
      readonly epoch: number;
      readonly result: Either<Failure, TransactionResult>;
    }
  | {
      readonly kind: 'worker-answered';
      readonly workerId: string;
      readonly epoch: number;
      readonly result: Either<Failure, WorkerReport>;
    };

export type CellEffect =
  | { readonly kind: 'lease-read'; readonly request: ReadRequest }
  | {
      readonly kind: 'lease-write';
      readonly step: LeaseStepKind;
      readonly transaction: Transaction;
    }
  | { readonly kind: 'load'; readonly epoch: number; readonly request: ReadRequest }
  | { readonly kind: 'commit'; readonly epoch: number; readonly transaction: Transaction }
  | { readonly kind: 'command'; readonly workerId: string; readonly command: WorkerCommand }
  | { readonly kind: 'count'; readonly counter: string; readonly amount: number }
  | { readonly kind: 'log'; readonly event: LogEvent };

export interface CellDecision {
  readonly state: CellState;
  readonly effects: readonly CellEffect[];
}
