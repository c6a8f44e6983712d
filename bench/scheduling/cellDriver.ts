/** Drives the state machine of one cell in virtual time against stand-ins. */
import { left, right } from 'fp-ts/lib/Either.js';

import { toConfigurationView } from '../../src/services/configuration/common/configurationView.js';
import { DOCUMENT_PREFIX, VERSION_KEY } from '../../src/services/configuration/common/documents.js';
import { ErrorKind, failure } from '../../src/services/errors/common/errorKinds.js';
import { settingsSchema } from '../../src/services/settings/common/settings.js';
import type { WorkerCommand, WorkerReport } from '../../src/services/worker/common/workerClient.js';
import { toCellCall } from '../../src/scheduler/common/cellCalls.js';
import { decide, initialCellState } from '../../src/scheduler/common/cellScheduler.js';
import type {
  CellEffect,
  CellEvent,
  CellState,
  CellTiming,
} from '../../src/scheduler/common/cellState.js';
import type { PlacementPolicy } from '../../src/scheduler/common/placement.js';
import type { TableStandIn } from '../../standIns/platform/tableStandIn.js';

const TABLE_DELAY_MS = 8;
const WORKER_DELAY_MS = 2;
const TICK_INTERVAL_MS = 200;
const CONFIGURATION_INTERVAL_MS = 700;

const DEFAULTS = settingsSchema.shape.scheduler.parse({});

/** A cell's limits and intervals from the default settings. */
export const DEFAULT_CELL_TIMING: CellTiming = {
  heartbeatIntervalMs: DEFAULTS.cellHeartbeatIntervalMs,
  leaseMs: DEFAULTS.cellLeaseMs,
  acquireDelayMs: 0,
  workerRenewalIntervalMs: DEFAULTS.workerRenewalIntervalMs,
  workerLeaseMs: DEFAULTS.workerLeaseMs,
  startValidityMs: DEFAULTS.startValidityMs,
  serviceDrainMs: DEFAULTS.serviceDrainMs,
  zoneReturnMs: DEFAULTS.zoneReturnMs,
  maximumRenewalWithoutTableMs: DEFAULTS.maximumRenewalWithoutTableMs,
  configurationFreshnessMs: DEFAULTS.startFreshnessMs,
  reportFreshnessMs: DEFAULTS.reportFreshnessMs,
  roundIntervalMs: DEFAULTS.roundIntervalMs,
  rowsPerSecond: DEFAULTS.cellRowsPerSecond,
  maximumRowsPerRound: DEFAULTS.maximumRowsPerRound,
  interference: DEFAULTS.interference,
};

/** The environment of a driven cell: virtual time, the table and the workers. */
export interface CellEnvironment {
  readonly table: TableStandIn;
  readonly nowMs: () => number;
  readonly schedule: (delayMs: number, run: () => void) => void;
  readonly command: (workerId: string, command: WorkerCommand) => WorkerReport | undefined;
  readonly count?: (counter: string, amount: number) => void;
}

export class CellDriver {
  readonly #environment: CellEnvironment;

  readonly #policy: PlacementPolicy;

  #state: CellState;

  /** Processor time that `decide` has used. The caller may reset it. */
  decideCpuUs = 0;

  constructor(
    cell: string,
    timing: CellTiming,
    policy: PlacementPolicy,
    environment: CellEnvironment,
  ) {
    this.#environment = environment;
    this.#policy = policy;
    this.#state = initialCellState(cell, 'd1', timing, environment.nowMs());
  }

  /** Starts the periodic ticks and configuration reads, as a daemon does. */
  start(): void {
    this.#every(TICK_INTERVAL_MS, () => this.handle({ kind: 'tick' }));
    this.#every(CONFIGURATION_INTERVAL_MS, () => this.#readConfiguration());
  }

  handle(event: CellEvent): void {
    const before = process.cpuUsage();
    const decision = decide(this.#state, event, this.#policy, this.#environment.nowMs());
    const { user, system } = process.cpuUsage(before);
    this.decideCpuUs += user + system;
    this.#state = decision.state;
    decision.effects.forEach((effect) => this.#perform(effect));
  }

  #every(intervalMs: number, run: () => void): void {
    run();
    this.#environment.schedule(intervalMs, () => this.#every(intervalMs, run));
  }

  #readConfiguration(): void {
    const { table, nowMs } = this.#environment;
    const { rows } = table.read({ keys: [VERSION_KEY], prefixes: [DOCUMENT_PREFIX] });
    const configuration = { view: toConfigurationView(rows), confirmedAtMs: nowMs() };
    this.handle({ kind: 'configuration', configuration });
  }

  /** Makes a call after `delayMs` and handles its result after another `delayMs`. */
  #callWithDelay(delayMs: number, toEvent: () => CellEvent): void {
    this.#environment.schedule(delayMs, () => {
      const event = toEvent();
      this.#environment.schedule(delayMs, () => this.handle(event));
    });
  }

  #perform(effect: CellEffect): void {
    const { table, command, count, nowMs } = this.#environment;
    const call = toCellCall(effect, nowMs());
    switch (call?.kind) {
      case 'read':
        this.#callWithDelay(TABLE_DELAY_MS, () => call.toEvent(right(table.read(call.request))));
        break;
      case 'transact':
        this.#callWithDelay(TABLE_DELAY_MS, () =>
          call.toEvent(right(table.transact(call.transaction))),
        );
        break;
      case 'command':
        this.#callWithDelay(WORKER_DELAY_MS, () => {
          const report = command(call.workerId, call.command);
          const unavailable = left(failure(ErrorKind.WorkerUnavailable, ''));
          return call.toEvent(report === undefined ? unavailable : right(report));
        });
        break;
      default:
        if (effect.kind === 'count') count?.(effect.counter, effect.amount);
    }
  }
}
