/** Test switches that each break one safeguard, to show that the judge detects the failure. */
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
  /** Workers accept a start that was sent to their previous incarnation. */
  readonly hasWorkersWithoutIncarnationCheck?: boolean;
  /** Configuration readers accept any answer, including older versions. */
  readonly hasRevertingReaders?: boolean;
  /** Entries ignore configuration changes and keep their current backend servers. */
  readonly hasStaleEntries?: boolean;
  /** Every failure is treated as if the operator was told `not-run`. */
  readonly isAlwaysReportedNotRun?: boolean;
  /** Alters the configuration that cells receive. */
  readonly alterView?: (view: ConfigurationView) => ConfigurationView;
  readonly alterState?: (state: CellState) => CellState;
}

export type SoakReader = ConfigurationService;

/** A configuration reader without its version check: the most recent answer always wins. */
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
