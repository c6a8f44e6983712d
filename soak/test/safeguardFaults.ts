/** Switches of randomised runs that each break one safeguard, to show that the judge sees it. */
import { isLeft } from 'fp-ts/lib/Either.js';

import {
  type ConfigurationView,
  toConfigurationView,
} from '../../src/services/configuration/common/configurationView.js';
import { DOCUMENT_PREFIX, VERSION_KEY } from '../../src/services/configuration/common/documents.js';
import { toDisposable } from '../../src/base/common/lifecycle.js';
import type { ConfigurationService } from '../../src/services/configuration/common/configurationService.js';
import type { TableService, Transaction } from '../../src/services/table/common/table.js';
import type { WorkerCommand } from '../../src/services/worker/common/workerClient.js';
import type { CellState } from '../../src/scheduler/common/cellState.js';

export interface SafeguardFaults {
  readonly alterTransaction?: (transaction: Transaction) => Transaction;
  readonly alterCommand?: (command: WorkerCommand) => WorkerCommand;
  /** Workers start an attempt that a former incarnation was given. */
  readonly hasWorkersWithoutIncarnationCheck?: boolean;
  /** Readers take whatever they read, the older too. */
  readonly hasRevertingReaders?: boolean;
  /** Entries that ignore the configuration and go on with the servers they have read. */
  readonly hasStaleEntries?: boolean;
  /** Operators are told `not-run` whatever the failure. */
  readonly isAlwaysReportedNotRun?: boolean;
  /** What cells are told of the configuration. */
  readonly alterView?: (view: ConfigurationView) => ConfigurationView;
  readonly alterState?: (state: CellState) => CellState;
}

export type SoakReader = ConfigurationService;

/** A reader without its safeguard: whatever answer comes last is in force. */
export class RevertingReader implements SoakReader {
  current: ConfigurationView | undefined;

  readonly confirmedAtMs = 0;

  readonly onDidChange = () => toDisposable(() => {});

  readonly #table: TableService;

  constructor(table: TableService) {
    this.#table = table;
  }

  async refresh(): Promise<void> {
    const read = await this.#table.read({ keys: [VERSION_KEY], prefixes: [DOCUMENT_PREFIX] })();
    if (!isLeft(read)) this.current = toConfigurationView(read.right.rows);
  }
}
