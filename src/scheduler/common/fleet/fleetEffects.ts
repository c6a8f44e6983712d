/** The effects that the scheduler returns for its caller to perform. */
import type {
  HoldRequest,
  RunReference,
  StartRequest,
} from '../../../services/fleet/common/fleetWorker.js';
import type { LogEvent } from '../../../services/log/common/logEvents.js';
import type { LogFields } from '../../../services/log/common/log.js';
import type { ReadRequest, Transaction } from '../../../services/table/common/table.js';
import type { LeaseStepKind } from '../cellLease.js';

export type FleetEffect =
  | { readonly kind: 'lease-read'; readonly request: ReadRequest }
  | {
      readonly kind: 'lease-write';
      readonly step: LeaseStepKind;
      readonly transaction: Transaction;
    }
  /** Read the stored state as the new owner of this epoch. */
  | { readonly kind: 'load'; readonly epoch: number }
  | { readonly kind: 'commit'; readonly epoch: number; readonly transaction: Transaction }
  /** Read the rows of a transaction whose outcome is unknown. */
  | { readonly kind: 'resolve'; readonly epoch: number; readonly request: ReadRequest }
  | { readonly kind: 'hold'; readonly epoch: number; readonly request: HoldRequest }
  | { readonly kind: 'start'; readonly epoch: number; readonly request: StartRequest }
  | { readonly kind: 'stop'; readonly epoch: number; readonly reference: RunReference }
  | {
      readonly kind: 'pace';
      readonly epoch: number;
      readonly reference: RunReference;
      readonly percent: number;
    }
  /** Leave the workers' connections to the next owner. */
  | { readonly kind: 'disconnect' }
  | { readonly kind: 'log'; readonly event: LogEvent; readonly fields: LogFields };
