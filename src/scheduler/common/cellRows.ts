/** A cell's rows as last committed, and changes gathered for the next transaction. */
import type { JsonValue } from '../../base/common/json.js';
import {
  ABSENT_VERSION,
  type RowCondition,
  type RowWrite,
  type TableRow,
} from '../../platform/table/common/table.js';
import { TaskClass } from '../../platform/worker/common/workerClient.js';
import {
  type Assignment,
  cancellationKey,
  cancellationPrefix,
  type CancellationRow,
  cancellationRowSchema,
  cellFenceKey,
  cellInboxKey,
  ENDPOINT_PREFIX,
  endpointKey,
  type EndpointRow,
  endpointRowSchema,
  finishedKey,
  isEnded,
  ledgerKey,
  ledgerPrefix,
  type LedgerRow,
  ledgerRowSchema,
  workKey,
  workPrefix,
  type WorkRow,
  workRowSchema,
} from '../../platform/work/common/workRows.js';

export interface CellRows {
  /** Ledger rows by rack. */
  readonly ledger: ReadonlyMap<string, LedgerRow>;
  /** Work rows by shard id. */
  readonly work: ReadonlyMap<string, WorkRow>;
  readonly endpoints: EndpointRow;
  readonly cancelledJobIds: ReadonlySet<string>;
  /** The jobs that each confirmed plan cancelled, by plan id. */
  readonly cancellations: ReadonlyMap<string, CancellationRow>;
  /** Row versions by key; a key that is missing has version zero. */
  readonly versions: ReadonlyMap<string, number>;
  /**
   * The ledger by worker, across racks: a worker that was moved to another rack still has the
   * assignments of its old one. Commands and rounds would otherwise search all of the cell's
   * assignments for each worker.
   */
  readonly assignmentsByWorker: ReadonlyMap<string, readonly Assignment[]>;
}

const NO_ASSIGNMENTS: readonly Assignment[] = [];

/** The committed assignments of one worker. */
export const assignmentsOf = (rows: CellRows, workerId: string): readonly Assignment[] =>
  rows.assignmentsByWorker.get(workerId) ?? NO_ASSIGNMENTS;

const isSameList = (left: readonly Assignment[], right: readonly Assignment[]): boolean =>
  left.length === right.length && left.every((assignment, index) => assignment === right[index]);

/** Groups the ledger by worker and keeps the lists of `before` that did not change. */
const byWorker = (
  ledger: ReadonlyMap<string, LedgerRow>,
  before: ReadonlyMap<string, readonly Assignment[]>,
): ReadonlyMap<string, readonly Assignment[]> => {
  const index = new Map<string, Assignment[]>();
  ledger.forEach((row) =>
    row.assignments.forEach((assignment) => {
      const known = index.get(assignment.workerId);
      if (known === undefined) index.set(assignment.workerId, [assignment]);
      else known.push(assignment);
    }),
  );
  return new Map(
    [...index].map(([workerId, list]) => {
      const kept = before.get(workerId);
      return [workerId, kept !== undefined && isSameList(kept, list) ? kept : list];
    }),
  );
};

const replicaMemo = new WeakMap<LedgerRow, readonly Assignment[]>();

/**
 * Assignments of services in a ledger row. Rows are immutable and few change in a round, so the
 * answer is kept with the row: rounds come ten times a second and look at all racks.
 */
export const replicasIn = (row: LedgerRow): readonly Assignment[] => {
  const known = replicaMemo.get(row);
  if (known !== undefined) return known;
  const replicas = row.assignments.filter(
    ({ taskClass }) => taskClass === TaskClass.LatencyCritical,
  );
  replicaMemo.set(row, replicas);
  return replicas;
};

/** What the owner reads when it takes the cell over or has lost track of it. */
export const cellPrefixes = (cell: string): readonly string[] => [
  ledgerPrefix(cell),
  workPrefix(cell),
  ENDPOINT_PREFIX,
  cancellationPrefix(cell),
  cellInboxKey(cell),
  cellFenceKey(cell),
];

const parsedUnder = <Row>(
  rows: readonly TableRow[],
  prefix: string,
  parse: (value: JsonValue) => Row,
): ReadonlyMap<string, Row> =>
  new Map(
    rows
      .filter((row) => row.key.startsWith(prefix))
      .map((row) => [row.key.slice(prefix.length), parse(row.value)]),
  );

const toCancelledJobIds = (
  cancellations: ReadonlyMap<string, CancellationRow>,
): ReadonlySet<string> => new Set([...cancellations.values()].flatMap(({ jobIds }) => jobIds));

/**
 * Reads the rows of a cell. Rows that have the version known before are taken over without being
 * parsed: each submission has the owner read its cell again, and parsing some 2,500 assignments
 * twice a second would take more of a processor than all the rest of scheduling.
 */
export const toCellRows = (
  cell: string,
  rows: readonly TableRow[],
  before: CellRows | undefined,
): CellRows => {
  const isKnown = (row: TableRow): boolean => before?.versions.get(row.key) === row.version;
  const parsed = <Row>(
    prefix: string,
    known: ReadonlyMap<string, Row> | undefined,
    parse: (value: JsonValue) => Row,
  ): ReadonlyMap<string, Row> =>
    new Map(
      rows
        .filter((row) => row.key.startsWith(prefix))
        .map((row) => {
          const name = row.key.slice(prefix.length);
          return [name, (isKnown(row) ? known?.get(name) : undefined) ?? parse(row.value)];
        }),
    );
  const endpointRow = rows.find((row) => row.key === endpointKey(cell));
  const cancellations = parsed(cancellationPrefix(cell), before?.cancellations, (value) =>
    cancellationRowSchema.parse(value),
  );
  const ledger = parsed(ledgerPrefix(cell), before?.ledger, (value) =>
    ledgerRowSchema.parse(value),
  );
  return {
    ledger,
    assignmentsByWorker: byWorker(ledger, before?.assignmentsByWorker ?? new Map()),
    work: parsed(workPrefix(cell), before?.work, (value) => workRowSchema.parse(value)),
    endpoints:
      endpointRow === undefined ? { servers: [] } : endpointRowSchema.parse(endpointRow.value),
    cancellations,
    cancelledJobIds: toCancelledJobIds(cancellations),
    versions: new Map(rows.map((row) => [row.key, row.version])),
  };
};

/** The published servers of the other cells. */
export const toServersElsewhere = (
  cell: string,
  rows: readonly TableRow[],
): ReadonlyMap<string, EndpointRow> => {
  const byCell = parsedUnder(rows, ENDPOINT_PREFIX, (value) => endpointRowSchema.parse(value));
  return new Map([...byCell].filter(([other]) => other !== cell));
};

/** True when nothing of the shard is left to do. */
export const isWorkFinished = (row: WorkRow): boolean => row.tasks.every(isEnded);

export const allAssignments = (rows: CellRows): readonly Assignment[] =>
  [...rows.ledger.values()].flatMap((row) => row.assignments);

/**
 * Gathers the changes of one round, so that one transaction carries them all. Reading goes
 * through the draft and sees what was changed before in the same round.
 */
export class CellDraft {
  readonly #cell: string;

  readonly #base: CellRows;

  readonly #ledger = new Map<string, LedgerRow>();

  readonly #work = new Map<string, WorkRow>();

  readonly #movedTo = new Map<string, string>();

  readonly #closedPlanIds = new Set<string>();

  #endpoints: EndpointRow | undefined;

  constructor(cell: string, base: CellRows) {
    this.#cell = cell;
    this.#base = base;
  }

  get hasChanges(): boolean {
    const rowCount = this.#ledger.size + this.#work.size + this.#closedPlanIds.size;
    return rowCount > 0 || this.#endpoints !== undefined;
  }

  /** Rows that the transaction will write at least, for limits on its size. */
  get rowCount(): number {
    return this.#ledger.size + this.#work.size + this.#movedTo.size;
  }

  /** Racks whose ledger rows change. */
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

  assignments(rack: string): readonly Assignment[] {
    return (this.#ledger.get(rack) ?? this.#base.ledger.get(rack))?.assignments ?? [];
  }

  /** All assignments of services, as changed so far. */
  get replicas(): readonly Assignment[] {
    return this.racks.flatMap((rack) => {
      const row = this.#ledger.get(rack) ?? this.#base.ledger.get(rack);
      return row === undefined ? [] : replicasIn(row);
    });
  }

  work(shardId: string): WorkRow | undefined {
    return this.#work.get(shardId) ?? this.#base.work.get(shardId);
  }

  setAssignments(rack: string, assignments: readonly Assignment[]): void {
    this.#ledger.set(rack, { assignments: [...assignments] });
  }

  setWork(row: WorkRow): void {
    this.#work.set(row.shardId, row);
  }

  /**
   * Removes the cancellations that no shard of the cell needs any more; they would pile up and
   * be read at each take-over. No such shard can come later: see `conditions`.
   */
  closeCancellations(): void {
    const openJobIds = new Set(
      this.shardIds
        .map((shardId) => this.work(shardId))
        .filter((row) => row !== undefined && !isWorkFinished(row))
        .map((row) => row?.jobId),
    );
    this.#base.cancellations.forEach(({ jobIds }, planId) => {
      if (!jobIds.some((jobId) => openJobIds.has(jobId))) this.#closedPlanIds.add(planId);
    });
  }

  /** Hands a shard over to another cell in the same transaction. */
  moveWork(shardId: string, toCell: string): void {
    const row = this.work(shardId);
    if (row === undefined) return;
    this.#work.set(shardId, row);
    this.#movedTo.set(shardId, toCell);
  }

  setEndpoints(endpoints: EndpointRow): void {
    this.#endpoints = endpoints;
  }

  /**
   * Conditions that every touched row is still as it was read. A transaction that moves a shard
   * names the inbox too, which every plan that cancels writes: a shard whose cancellation has
   * not been read yet would arrive in a cell that has already dealt with it, and run there.
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
      ...[...this.#closedPlanIds].map((planId) => condition(cancellationKey(this.#cell, planId))),
    ];
  }

  writes(operationId: string): readonly RowWrite[] {
    const ledger = [...this.#ledger].map(([rack, value]) => ({
      key: ledgerKey(this.#cell, rack),
      value,
    }));
    const work = [...this.#work.values()].flatMap((row) => this.#workWrites(row));
    const inboxes = [...new Set(this.#movedTo.values())].map((toCell) => ({
      key: cellInboxKey(toCell),
      value: { operationId },
    }));
    const endpoints =
      this.#endpoints === undefined
        ? []
        : [{ key: endpointKey(this.#cell), value: this.#endpoints }];
    const closed = [...this.#closedPlanIds].map((planId) => ({
      key: cancellationKey(this.#cell, planId),
      value: null,
    }));
    return [...ledger, ...work, ...inboxes, ...endpoints, ...closed];
  }

  /** The cell's rows after a commit that gave all written rows `version`. */
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
      assignmentsByWorker: byWorker(ledger, this.#base.assignmentsByWorker),
      work,
      endpoints: this.endpoints,
      ...this.#cancellationsAfter(),
      versions,
    };
  }

  #cancellationsAfter(): Pick<CellRows, 'cancellations' | 'cancelledJobIds'> {
    const { cancellations, cancelledJobIds } = this.#base;
    if (this.#closedPlanIds.size === 0) return { cancellations, cancelledJobIds };
    const open = new Map([...cancellations].filter(([planId]) => !this.#closedPlanIds.has(planId)));
    return { cancellations: open, cancelledJobIds: toCancelledJobIds(open) };
  }

  #leavesCell(row: WorkRow): boolean {
    return this.#movedTo.has(row.shardId) || isWorkFinished(row);
  }

  #workWrites(row: WorkRow): readonly RowWrite[] {
    const key = workKey(this.#cell, row.shardId);
    const toCell = this.#movedTo.get(row.shardId);
    if (toCell !== undefined) {
      return [
        { key, value: null },
        { key: workKey(toCell, row.shardId), value: row },
      ];
    }
    if (!isWorkFinished(row)) return [{ key, value: row }];
    return [
      { key, value: null },
      { key: finishedKey(this.#cell, row.shardId), value: row },
    ];
  }
}
