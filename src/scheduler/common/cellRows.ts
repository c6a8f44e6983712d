/** A cell's rows as last committed. */
import type { JsonValue } from '../../base/common/json.js';
import { type TableRow } from '../../services/table/common/table.js';
import { TaskClass } from '../../services/worker/common/workerClient.js';
import { WHOLE_ENDPOINT_PREFIXES } from '../../services/workload/common/endpointView.js';
import {
  type Assignment,
  cancellationPrefix,
  type CancellationRow,
  cancellationRowSchema,
  cellFenceKey,
  cellInboxKey,
  cellUnreachedKey,
  endpointKey,
  type EndpointRow,
  endpointRowSchema,
  EXCHANGE_PREFIX,
  exchangeKey,
  type ExchangeRow,
  exchangeRowSchema,
  isEnded,
  ledgerPrefix,
  type LedgerRow,
  ledgerRowSchema,
  unreachedRowSchema,
  workPrefix,
  type WorkRow,
  workRowSchema,
} from '../../services/workload/common/workRows.js';

export interface CellRows {
  /** Ledger rows by rack. */
  readonly ledger: ReadonlyMap<string, LedgerRow>;
  /** Work rows by shard id. */
  readonly work: ReadonlyMap<string, WorkRow>;
  readonly endpoints: EndpointRow;
  /** The row that the cell publishes for the other cells. */
  readonly exchange: ExchangeRow;
  /**
   * When the leases of unreached workers have ended on the cell clock, by worker id. A worker
   * listed here must not be granted a lease; see `unreachedWorkers.ts`.
   */
  readonly unreached: ReadonlyMap<string, number>;
  readonly cancelledJobIds: ReadonlySet<string>;
  /** The jobs that each confirmed plan cancelled, by plan id. */
  readonly cancellations: ReadonlyMap<string, CancellationRow>;
  /** Row versions by key. A missing key has version zero. */
  readonly versions: ReadonlyMap<string, number>;
  /**
   * The assignments of the ledger by worker, across racks: a worker that moved to another rack
   * keeps the assignments in the row of its old rack. The index saves commands and rounds a search
   * through all of the cell's assignments for each worker.
   */
  readonly assignmentsByWorker: ReadonlyMap<string, readonly Assignment[]>;
}

const NO_ASSIGNMENTS: readonly Assignment[] = [];

/** The committed assignments of one worker. */
export const assignmentsOf = (rows: CellRows, workerId: string): readonly Assignment[] =>
  rows.assignmentsByWorker.get(workerId) ?? NO_ASSIGNMENTS;

const isSameList = (left: readonly Assignment[], right: readonly Assignment[]): boolean =>
  left.length === right.length && left.every((assignment, index) => assignment === right[index]);

/** Groups the ledger's assignments by worker. Reuses the lists of `before` that did not change. */
export const groupByWorker = (
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

const replicasCache = new WeakMap<LedgerRow, readonly Assignment[]>();

/**
 * Returns the service assignments of a ledger row. The result is cached by row, because rows are
 * immutable, few change in a round, and a round visits all racks ten times a second.
 */
export const replicasIn = (row: LedgerRow): readonly Assignment[] => {
  const cached = replicasCache.get(row);
  if (cached !== undefined) return cached;
  const replicas = row.assignments.filter(
    ({ taskClass }) => taskClass === TaskClass.LatencyCritical,
  );
  replicasCache.set(row, replicas);
  return replicas;
};

/** Prefixes of the rows that the owner reads after a takeover or when its rows are in doubt. */
export const cellPrefixes = (cell: string): readonly string[] => [
  ledgerPrefix(cell),
  workPrefix(cell),
  ...WHOLE_ENDPOINT_PREFIXES,
  EXCHANGE_PREFIX,
  cancellationPrefix(cell),
  cellInboxKey(cell),
  cellFenceKey(cell),
  cellUnreachedKey(cell),
];

const parseRowsUnder = <Row>(
  rows: readonly TableRow[],
  prefix: string,
  parse: (value: JsonValue) => Row,
): ReadonlyMap<string, Row> =>
  new Map(
    rows
      .filter((row) => row.key.startsWith(prefix))
      .map((row) => [row.key.slice(prefix.length), parse(row.value)]),
  );

export const toCancelledJobIds = (
  cancellations: ReadonlyMap<string, CancellationRow>,
): ReadonlySet<string> => new Set([...cancellations.values()].flatMap(({ jobIds }) => jobIds));

const toUnreached = (row: TableRow | undefined): ReadonlyMap<string, number> =>
  row === undefined
    ? new Map()
    : new Map(Object.entries(unreachedRowSchema.parse(row.value).leasesOverCellMs));

/**
 * Parses the rows of a cell. Rows whose version did not change since `before` are reused without
 * parsing: parsing some 2,500 assignments twice a second would take more processor time than all
 * other scheduling work.
 */
export const toCellRows = (
  cell: string,
  rows: readonly TableRow[],
  before: CellRows | undefined,
): CellRows => {
  const isKnown = (row: TableRow): boolean => before?.versions.get(row.key) === row.version;
  const parseChanged = <Row>(
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
  const exchangeRow = rows.find((row) => row.key === exchangeKey(cell));
  const endpointRow = rows.find((row) => row.key === endpointKey(cell));
  const cancellations = parseChanged(cancellationPrefix(cell), before?.cancellations, (value) =>
    cancellationRowSchema.parse(value),
  );
  const ledger = parseChanged(ledgerPrefix(cell), before?.ledger, (value) =>
    ledgerRowSchema.parse(value),
  );
  return {
    ledger,
    assignmentsByWorker: groupByWorker(ledger, before?.assignmentsByWorker ?? new Map()),
    work: parseChanged(workPrefix(cell), before?.work, (value) => workRowSchema.parse(value)),
    endpoints:
      endpointRow === undefined ? { servers: [] } : endpointRowSchema.parse(endpointRow.value),
    exchange: exchangeRow === undefined ? {} : exchangeRowSchema.parse(exchangeRow.value),
    unreached: toUnreached(rows.find((row) => row.key === cellUnreachedKey(cell))),
    cancellations,
    cancelledJobIds: toCancelledJobIds(cancellations),
    versions: new Map(rows.map((row) => [row.key, row.version])),
  };
};

/**
 * Adds work and cancellation rows that submitters and operators have written; all other rows keep
 * their state of `before`. Returns undefined if one of `keys` is missing from `rows` or is the key
 * of another kind of row.
 */
export const withArrivedRows = (
  cell: string,
  before: CellRows,
  keys: readonly string[],
  rows: readonly TableRow[],
): CellRows | undefined => {
  const prefixes = [workPrefix(cell), cancellationPrefix(cell)];
  const arrived = rows.filter(({ key }) => keys.includes(key));
  const isUnknown = ({ key }: TableRow): boolean => !prefixes.some((one) => key.startsWith(one));
  if (arrived.length < new Set(keys).size || arrived.some(isUnknown)) return undefined;
  const work = parseRowsUnder(arrived, workPrefix(cell), (value) => workRowSchema.parse(value));
  const cancelled = parseRowsUnder(arrived, cancellationPrefix(cell), (value) =>
    cancellationRowSchema.parse(value),
  );
  const versions = new Map(before.versions);
  arrived.forEach(({ key, version }) => versions.set(key, version));
  const isCancelling = cancelled.size > 0;
  const cancellations = isCancelling
    ? new Map([...before.cancellations, ...cancelled])
    : before.cancellations;
  return {
    ...before,
    work: work.size > 0 ? new Map([...before.work, ...work]) : before.work,
    cancellations,
    cancelledJobIds: isCancelling ? toCancelledJobIds(cancellations) : before.cancelledJobIds,
    versions,
  };
};

/** Parses the exchange rows of all cells but `cell`. */
export const toOtherCellsExchange = (
  cell: string,
  rows: readonly TableRow[],
): ReadonlyMap<string, ExchangeRow> => {
  const byCell = parseRowsUnder(rows, EXCHANGE_PREFIX, (value) => exchangeRowSchema.parse(value));
  return new Map([...byCell].filter(([other]) => other !== cell));
};

/** True if all tasks of the shard have ended. */
export const isWorkFinished = (row: WorkRow): boolean => row.tasks.every(isEnded);

export const allAssignments = (rows: CellRows): readonly Assignment[] =>
  [...rows.ledger.values()].flatMap((row) => row.assignments);
