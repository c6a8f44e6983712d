/**
 * Translates the effects of a cell into calls, each with a function that turns the answer into an
 * event.
 */
import type { Either } from 'fp-ts/lib/Either.js';

import type { Failure } from '../../services/errors/common/errorKinds.js';
import type {
  ReadRequest,
  ReadResult,
  Transaction,
  TransactionResult,
} from '../../services/table/common/table.js';
import type { WorkerCommand, WorkerReport } from '../../services/worker/common/workerClient.js';
import type { CellEffect, CellEvent } from './cellState.js';

type ToEvent<Answer> = (result: Either<Failure, Answer>) => CellEvent;

export type CellCall =
  | {
      readonly kind: 'read';
      readonly request: ReadRequest;
      readonly toEvent: ToEvent<ReadResult>;
    }
  | {
      readonly kind: 'transact';
      readonly transaction: Transaction;
      readonly toEvent: ToEvent<TransactionResult>;
    }
  | {
      readonly kind: 'command';
      readonly workerId: string;
      readonly command: WorkerCommand;
      readonly toEvent: ToEvent<WorkerReport>;
    };

/** The call for an effect that is performed at `sentAtMs`; undefined for counters and log lines. */
export const toCellCall = (effect: CellEffect, sentAtMs: number): CellCall | undefined => {
  switch (effect.kind) {
    case 'lease-read':
      return {
        kind: 'read',
        request: effect.request,
        toEvent: (result) => ({ kind: 'lease-read', result, sentAtMs }),
      };
    case 'load':
      return {
        kind: 'read',
        request: effect.request,
        toEvent: (result) => ({ kind: 'loaded', epoch: effect.epoch, result }),
      };
    case 'lease-write':
      return {
        kind: 'transact',
        transaction: effect.transaction,
        toEvent: (result) => ({ kind: 'lease-written', step: effect.step, result, sentAtMs }),
      };
    case 'commit':
      return {
        kind: 'transact',
        transaction: effect.transaction,
        toEvent: (result) => ({ kind: 'committed', epoch: effect.epoch, result }),
      };
    case 'command': {
      const { workerId, command } = effect;
      const epoch = command.cellEpoch;
      const toEvent: ToEvent<WorkerReport> = (result) => ({
        kind: 'worker-answered',
        workerId,
        epoch,
        result,
      });
      return { kind: 'command', workerId, command, toEvent };
    }
    default:
      return undefined;
  }
};
