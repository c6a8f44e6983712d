/**
 * The scheduling state that one daemon holds for one cell, with the events and effects of its state
 * machine.
 */
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
import type { CellLeaseTiming } from './cellLeaseTiming.js';
import type { CellDraft } from './cellDraft.js';
import type { CellRows } from './cellRows.js';
import type { TaskTransferState } from './taskTransfer.js';
import type { LearntSizes } from './learntSizes.js';
import type { InterferencePolicy } from './interference/interferencePolicy.js';
import type { InterferenceState } from './interference/interferenceState.js';
import type { WorkerHealth } from './workerHealth.js';
import type { WorkerView } from './workerView.js';

/** Limits and intervals of a cell's scheduling, taken from the settings. */
export interface CellTiming extends CellLeaseTiming {
  readonly workerRenewalIntervalMs: number;
  readonly workerLeaseMs: number;
  readonly startValidityMs: number;
  readonly serviceDrainMs: number;
  /** How long a zone that returns to use takes to open its full capacity to tasks. */
  readonly zoneReturnMs: number;
  readonly maximumRenewalWithoutTableMs: number;
  /** Maximum age of the last configuration confirmation that a start may rely on. */
  readonly configurationFreshnessMs: number;
  /** Minimum time between two transactions of a cell; changes are batched meanwhile. */
  readonly roundIntervalMs: number;
  /** Rows that a cell may write per second, not counting its heartbeat. */
  readonly rowsPerSecond: number;
  /** Rows that one transaction may write; it keeps the call within its timeout. */
  readonly maximumRowsPerRound: number;
  /** Maximum age of a worker's last report for the worker to get a new assignment. */
  readonly reportFreshnessMs: number;
  readonly interference: InterferencePolicy;
}

/** A configuration and the time at which it was last confirmed to be the latest one. */
export interface ConfirmedConfiguration {
  readonly view: ConfigurationView;
  readonly confirmedAtMs: number;
}

/** Rows that an inbox poll reported as added or changed. The owner reads them next. */
export interface Arrivals {
  readonly keys: readonly string[];
  /** The version of the inbox row that listed the keys. */
  readonly inboxVersion: number;
}

/** The purpose of the owner's table call in flight. At most one is in flight. */
export type PendingCall =
  | { readonly kind: 'load' }
  | { readonly kind: 'poll' }
  | { readonly kind: 'arrivals'; readonly arrivals: Arrivals }
  | { readonly kind: 'fence' }
  | {
      readonly kind: 'commit';
      readonly draft: CellDraft;
      readonly sentAtMs: number;
      /** Keys of the attempts that the transaction removes from their workers. */
      readonly droppedAttempts: ReadonlySet<string>;
      /**
       * True if the transaction requires the row of a zone in use, so that its commit proves the
       * zone to be in use.
       */
      readonly provesZone: boolean;
    };

export interface CellState {
  readonly cell: string;
  readonly timing: CellTiming;
  readonly lease: CellLease;
  /**
   * Undefined while this daemon is not the owner, and after a conflict or a lost answer until the
   * rows are read again.
   */
  readonly rows: CellRows | undefined;
  /**
   * The last rows of this ownership that are known to be correct. Lease renewals are based on them.
   */
  readonly lastKnownRows: CellRows | undefined;
  /**
   * Workers that the stored row lists as unreached, or that it may list once a pending transaction
   * takes effect.
   */
  readonly unreachedWorkerIds: ReadonlySet<string>;
  /** Task ids of replicas beyond the cell's share that other cells already serve. */
  readonly surplusTaskIds: ReadonlySet<string>;
  readonly workers: ReadonlyMap<string, WorkerView>;
  readonly pending: PendingCall | undefined;
  readonly configuration: ConfirmedConfiguration | undefined;
  /** When the last transaction was sent whose commit proved the zone to be in use. */
  readonly zoneProvedAtMs: number;
  /** When this daemon learned that the zone is withdrawn; undefined while the zone is in use. */
  readonly withdrawnSinceMs: number | undefined;
  /** When the zone returned to use; undefined if its whole capacity is open. */
  readonly returnedAtMs: number | undefined;
  readonly tookOverAtMs: number;
  /** When to poll the inbox for added work again. */
  readonly nextPollAtMs: number;
  /** True while a transaction of this owner whose answer was lost may still take effect. */
  readonly isFenceDue: boolean;
  readonly operationCount: number;
  /**
   * Keys of the attempts that are preempted for urgent work or a service. A new owner chooses
   * again.
   */
  readonly preempted: ReadonlySet<string>;
  /** How much each kind of batch task slows each service. Each owner learns it again. */
  readonly interference: InterferenceState;
  /** Since when a shard's tasks have been larger than every listed worker, by shard id. */
  readonly oversizedSinceMs: ReadonlyMap<string, number>;
  /** Task failures by worker. Each owner learns them again. */
  readonly workerHealth: WorkerHealth;
  /** When a failed task may be retried, by task id. A new owner retries at once. */
  readonly retryAtMs: ReadonlyMap<string, number>;
  readonly taskTransfer: TaskTransferState;
  /** Task sizes learned from usage. Each owner learns them again. */
  readonly learntSizes: LearntSizes;
  readonly nextLearningAtMs: number;
  /** The quota division that this cell had published when it last read the other cells' rows. */
  readonly readQuotaDivision: string;
  /** Since when a large task of a team has had enough quota but no worker with room, by team. */
  readonly quotaWaits: ReadonlyMap<string, number>;
  /** True if something changed that a round may have to act on. */
  readonly isRoundStale: boolean;
  readonly nextFullRoundAtMs: number;
  /** The earliest time at which the next round may write. */
  readonly nextRoundAtMs: number;
  /** The servers that the other cells published, as last read. */
  readonly endpointView: EndpointView;
  /** The exchange rows of the other cells as last read, by cell. */
  readonly otherCellsExchange: ReadonlyMap<string, ExchangeRow>;
  /** When to read the published servers of all cells again. */
  readonly nextFullEndpointReadAtMs: number;
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
      /** The epoch of the ownership that made the call; the same holds for the two events below. */
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
