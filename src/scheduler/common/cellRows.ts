/** A cell's rows as last committed, and changes gathered for the next transaction. */
import type { JsonValue } from '../../base/common/json.js';
import {
  ABSENT_VERSION,
  type RowCondition,
  type RowWrite,
  type TableRow,
} from '../../platform/table/common/table.js';
import {
  type Assignment,
  cancellationPrefix,
  cancellationRowSchema,
  cellInboxKey,
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
  /** Row versions by key; a key that is missing has version zero. */
  readonly versions: ReadonlyMap<string, number>;
}

/** What the owner reads when it takes the cell over or has lost track of it. */
export const cellPrefixes = (cell: string): readonly string[] => [
  ledgerPrefix(cell),
  workPrefix(cell),
  endpointKey(cell),
  cancellationPrefix(cell),
  cellInboxKey(cell),
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

export const toCellRows = (cell: string, rows: readonly TableRow[]): CellRows => {
  const endpointRow = rows.find((row) => row.key === endpointKey(cell));
  const cancellations = parsedUnder(rows, cancellationPrefix(cell), (value) =>
    cancellationRowSchema.parse(value),
  );
  return {
    ledger: parsedUnder(rows, ledgerPrefix(cell), (value) => ledgerRowSchema.parse(value)),
    work: parsedUnder(rows, workPrefix(cell), (value) => workRowSchema.parse(value)),
    endpoints:
      endpointRow === undefined ? { servers: [] } : endpointRowSchema.parse(endpointRow.value),
    cancelledJobIds: new Set([...cancellations.values()].flatMap((row) => row.jobIds)),
    versions: new Map(rows.map((row) => [row.key, row.version])),
  };
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

  #endpoints: EndpointRow | undefined;

  constructor(cell: string, base: CellRows) {
    this.#cell = cell;
    this.#base = base;
  }

  get hasChanges(): boolean {
    return this.#ledger.size + this.#work.size > 0 || this.#endpoints !== undefined;
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

  work(shardId: string): WorkRow | undefined {
    return this.#work.get(shardId) ?? this.#base.work.get(shardId);
  }

  setAssignments(rack: string, assignments: readonly Assignment[]): void {
    this.#ledger.set(rack, { assignments: [...assignments] });
  }

  setWork(row: WorkRow): void {
    this.#work.set(row.shardId, row);
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

  /** Conditions that every touched row is still as it was read. */
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
    return [...ledger, ...work, ...inboxes, ...endpoints];
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
    return {
      ledger: new Map([...this.#base.ledger, ...this.#ledger]),
      work,
      endpoints: this.endpoints,
      cancelledJobIds: this.#base.cancelledJobIds,
      versions,
    };
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
