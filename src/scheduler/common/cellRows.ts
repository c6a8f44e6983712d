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
  /** What the cell tells the other cells. */
  readonly exchange: ExchangeRow;
  /** Workers that must not be granted a lease while they stand here, see `unreachedWorkers.ts`. */
  readonly unreached: ReadonlyMap<string, number>;
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
 * Assignments of services in a ledger row. Rows are immutable and few change in a round, so the
 * answer is kept with the row: rounds come ten times a second and look at all racks.
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

/** What the owner reads when it takes the cell over or has lost track of it. */
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
 * Adds rows that submitters and cancelling operators have written, all other rows being known.
 * Undefined when one of `keys` is not among the rows read or is of another kind.
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

/** What the other cells tell. */
export const toOtherCellsExchange = (
  cell: string,
  rows: readonly TableRow[],
): ReadonlyMap<string, ExchangeRow> => {
  const byCell = parseRowsUnder(rows, EXCHANGE_PREFIX, (value) => exchangeRowSchema.parse(value));
  return new Map([...byCell].filter(([other]) => other !== cell));
};

/** True when nothing of the shard is left to do. */
export const isWorkFinished = (row: WorkRow): boolean => row.tasks.every(isEnded);

export const allAssignments = (rows: CellRows): readonly Assignment[] =>
  [...rows.ledger.values()].flatMap((row) => row.assignments);
