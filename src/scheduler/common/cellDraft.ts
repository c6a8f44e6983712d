/** Collects changes to a cell's rows for the next transaction. */
import {
  ABSENT_VERSION,
  type RowCondition,
  type RowWrite,
} from '../../services/table/common/table.js';
import {
  type LedgerColumns,
  toLedgerColumns,
} from '../../services/workload/common/ledgerColumns.js';
import {
  type Assignment,
  type BatchTask,
  cancellationKey,
  cellInboxKey,
  cellUnreachedKey,
  endpointKey,
  endpointMarkKey,
  type EndpointRow,
  exchangeKey,
  type ExchangeRow,
  finishedKey,
  ledgerKey,
  type LedgerRow,
  workKey,
  type WorkRow,
} from '../../services/workload/common/workRows.js';
import {
  groupByWorker,
  isWorkFinished,
  replicasIn,
  toCancelledJobIds,
  type CellRows,
} from './cellRows.js';

const columnsCache = new WeakMap<LedgerRow, LedgerColumns>();

/** Cached by row, because the writes of a draft are computed before and after its commit. */
const columnsOf = (row: LedgerRow): LedgerColumns => {
  const cached = columnsCache.get(row);
  if (cached !== undefined) return cached;
  const columns = toLedgerColumns(row.assignments);
  columnsCache.set(row, columns);
  return columns;
};

/**
 * Collects the changes of one round for a single transaction. Reads through the draft include the
 * changes that the round has made so far.
 */
export class CellDraft {
  readonly #cell: string;

  readonly #base: CellRows;

  readonly #ledger = new Map<string, LedgerRow>();

  readonly #work = new Map<string, WorkRow>();

  readonly #movedTo = new Map<string, string>();

  /** The shard that each shard split off in this draft comes from, by shard id. */
  readonly #splitFrom = new Map<string, string>();

  readonly #removedPlanIds = new Set<string>();

  #endpoints: EndpointRow | undefined;

  #exchange: ExchangeRow | undefined;

  #unreached: ReadonlyMap<string, number> | undefined;

  /** Cached until the ledger changes, because a round reads it three times. */
  #replicas: readonly Assignment[] | undefined;

  constructor(cell: string, base: CellRows) {
    this.#cell = cell;
    this.#base = base;
  }

  get hasChanges(): boolean {
    const rowCount = this.#ledger.size + this.#work.size + this.#removedPlanIds.size;
    const hasOtherChanges = this.#endpoints !== undefined || this.#exchange !== undefined;
    return rowCount > 0 || hasOtherChanges || this.#unreached !== undefined;
  }

  /** The least number of rows that the transaction will write, for limits on its size. */
  get rowCount(): number {
    return this.#ledger.size + this.#work.size + this.#movedTo.size;
  }

  /** Racks whose ledger rows change in this draft. */
  get changedRacks(): readonly string[] {
    return [...this.#ledger.keys()];
  }

  get changedShardIds(): readonly string[] {
    return [...this.#work.keys()];
  }

  get racks(): readonly string[] {
    return [...new Set([...this.#base.ledger.keys(), ...this.#ledger.keys()])];
  }

  get shardIds(): readonly string[] {
    return [...this.#base.work.keys()];
  }

  get cancelledJobIds(): ReadonlySet<string> {
    return this.#base.cancelledJobIds;
  }

  get endpoints(): EndpointRow {
    return this.#endpoints ?? this.#base.endpoints;
  }

  get exchange(): ExchangeRow {
    return this.#exchange ?? this.#base.exchange;
  }

  get unreached(): ReadonlyMap<string, number> {
    return this.#unreached ?? this.#base.unreached;
  }

  assignments(rack: string): readonly Assignment[] {
    return (this.#ledger.get(rack) ?? this.#base.ledger.get(rack))?.assignments ?? [];
  }

  /** All service assignments, including the draft's changes. */
  get replicas(): readonly Assignment[] {
    this.#replicas ??= this.racks.flatMap((rack) => {
      const row = this.#ledger.get(rack) ?? this.#base.ledger.get(rack);
      return row === undefined ? [] : replicasIn(row);
    });
    return this.#replicas;
  }

  work(shardId: string): WorkRow | undefined {
    return this.#work.get(shardId) ?? this.#base.work.get(shardId);
  }

  setAssignments(rack: string, assignments: readonly Assignment[]): void {
    this.#ledger.set(rack, { assignments: [...assignments] });
    this.#replicas = undefined;
  }

  setWork(row: WorkRow): void {
    this.#work.set(row.shardId, row);
  }

  /**
   * Removes the cancellations that no shard of the cell needs any more. Otherwise they would
   * accumulate and be read at each takeover. No shard that needs one can arrive later, see
   * `conditions`.
   */
  removeSettledCancellations(): void {
    const unfinishedJobIds = new Set(
      this.shardIds
        .map((shardId) => this.work(shardId))
        .filter((row) => row !== undefined && !isWorkFinished(row))
        .map((row) => row?.jobId),
    );
    this.#base.cancellations.forEach(({ jobIds }, planId) => {
      if (!jobIds.some((jobId) => unfinishedJobIds.has(jobId))) this.#removedPlanIds.add(planId);
    });
  }

  /** Moves a shard to another cell in the same transaction. */
  moveWork(shardId: string, toCell: string): void {
    const row = this.work(shardId);
    if (row === undefined) return;
    this.#work.set(shardId, row);
    this.#movedTo.set(shardId, toCell);
  }

  /**
   * Removes the tasks of `part` from a shard and moves them to another cell as a separate shard.
   */
  splitWork(fromShardId: string, part: WorkRow, toCell: string): void {
    const row = this.work(fromShardId);
    if (row === undefined) return;
    const movedIndexes = new Set(part.tasks.map(({ index }) => index));
    const tasks = row.tasks.filter(({ index }) => !movedIndexes.has(index));
    this.#work.set(fromShardId, { ...row, tasks });
    this.#work.set(part.shardId, part);
    this.#movedTo.set(part.shardId, toCell);
    this.#splitFrom.set(part.shardId, fromShardId);
  }

  /** The tasks that were split off a shard in this draft. */
  splitTasks(fromShardId: string): readonly BatchTask[] {
    return [...this.#splitFrom]
      .filter(([, from]) => from === fromShardId)
      .flatMap(([shardId]) => this.#work.get(shardId)?.tasks ?? []);
  }

  get transferredTaskCount(): number {
    return [...this.#splitFrom.keys()].reduce(
      (sum, shardId) => sum + (this.#work.get(shardId)?.tasks.length ?? 0),
      0,
    );
  }

  setExchange(exchange: ExchangeRow): void {
    this.#exchange = exchange;
  }

  setUnreached(unreached: ReadonlyMap<string, number>): void {
    this.#unreached = unreached;
  }

  setEndpoints(endpoints: EndpointRow): void {
    this.#endpoints = endpoints;
  }

  /**
   * Conditions that every changed row still has the version that was read. A transaction that
   * moves a shard also requires the version of the cell's inbox, which every cancelling plan
   * writes. Otherwise a shard whose cancellation has not been read yet could arrive in a cell that
   * has already processed the cancellation, and run there.
   */
  conditions(): readonly RowCondition[] {
    const condition = (key: string): RowCondition => ({
      key,
      version: this.#base.versions.get(key) ?? ABSENT_VERSION,
    });
    const moved = [...this.#movedTo].map(([shardId, toCell]) => ({
      key: workKey(toCell, shardId),
      version: ABSENT_VERSION,
    }));
    return [
      ...[...this.#ledger.keys()].map((rack) => condition(ledgerKey(this.#cell, rack))),
      ...[...this.#work.keys()].map((shardId) => condition(workKey(this.#cell, shardId))),
      ...moved,
      ...(moved.length > 0 ? [condition(cellInboxKey(this.#cell))] : []),
      ...(this.#unreached === undefined ? [] : [condition(cellUnreachedKey(this.#cell))]),
      ...[...this.#removedPlanIds].map((planId) => condition(cancellationKey(this.#cell, planId))),
    ];
  }

  writes(operationId: string): readonly RowWrite[] {
    const ledger = [...this.#ledger].map(([rack, value]) => ({
      key: ledgerKey(this.#cell, rack),
      value: columnsOf(value),
    }));
    const work = [...this.#work.values()].flatMap((row) => this.#workWrites(row));
    const inboxes = [...new Set(this.#movedTo.values())].map((toCell) => ({
      key: cellInboxKey(toCell),
      value: { operationId },
    }));
    const endpoints =
      this.#endpoints === undefined
        ? []
        : [
            { key: endpointKey(this.#cell), value: this.#endpoints },
            { key: endpointMarkKey(this.#cell), value: { operationId } },
          ];
    const removedCancellations = [...this.#removedPlanIds].map((planId) => ({
      key: cancellationKey(this.#cell, planId),
      value: null,
    }));
    const exchange =
      this.#exchange === undefined ? [] : [{ key: exchangeKey(this.#cell), value: this.#exchange }];
    return [
      ...ledger,
      ...work,
      ...inboxes,
      ...endpoints,
      ...exchange,
      ...removedCancellations,
      ...this.#unreachedWrites(),
    ];
  }

  /** The cell's rows after a commit that gave all written rows the version `version`. */
  committed(version: number): CellRows {
    const versions = new Map(this.#base.versions);
    this.writes('').forEach((write) => {
      if (write.value === null) versions.delete(write.key);
      else versions.set(write.key, version);
    });
    const work = new Map(this.#base.work);
    this.#work.forEach((row, shardId) => {
      if (this.#leavesCell(row)) work.delete(shardId);
      else work.set(shardId, row);
    });
    const ledger = new Map([...this.#base.ledger, ...this.#ledger]);
    return {
      ledger,
      assignmentsByWorker: groupByWorker(ledger, this.#base.assignmentsByWorker),
      work,
      endpoints: this.endpoints,
      exchange: this.exchange,
      unreached: this.unreached,
      ...this.#remainingCancellations(),
      versions,
    };
  }

  #unreachedWrites(): readonly RowWrite[] {
    if (this.#unreached === undefined) return [];
    const leasesOverCellMs = Object.fromEntries(this.#unreached);
    const value = this.#unreached.size === 0 ? null : { leasesOverCellMs };
    return [{ key: cellUnreachedKey(this.#cell), value }];
  }

  #remainingCancellations(): Pick<CellRows, 'cancellations' | 'cancelledJobIds'> {
    const { cancellations, cancelledJobIds } = this.#base;
    if (this.#removedPlanIds.size === 0) return { cancellations, cancelledJobIds };
    const remaining = new Map(
      [...cancellations].filter(([planId]) => !this.#removedPlanIds.has(planId)),
    );
    return { cancellations: remaining, cancelledJobIds: toCancelledJobIds(remaining) };
  }

  #leavesCell(row: WorkRow): boolean {
    return this.#movedTo.has(row.shardId) || isWorkFinished(row);
  }

  #workWrites(row: WorkRow): readonly RowWrite[] {
    const key = workKey(this.#cell, row.shardId);
    const toCell = this.#movedTo.get(row.shardId);
    if (toCell !== undefined) {
      const removal = this.#splitFrom.has(row.shardId) ? [] : [{ key, value: null }];
      return [...removal, { key: workKey(toCell, row.shardId), value: row }];
    }
    // All tasks of the shard were transferred to other cells, so the row is removed.
    if (row.tasks.length === 0) return [{ key, value: null }];
    if (!isWorkFinished(row)) return [{ key, value: row }];
    return [
      { key, value: null },
      { key: finishedKey(this.#cell, row.shardId), value: row },
    ];
  }
}
