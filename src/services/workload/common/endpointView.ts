/**
 * The published backend servers of all cells as last read, and the reads that update them.
 *
 * The endpoint rows are large: with 3,440 replicas those of all cells together have about 300 KB.
 * With each change of its row a cell's owner writes a mark in the same transaction, so both get the
 * same version. Readers read all marks, and a row only if its mark has a newer version. If row and
 * mark of a cell have different versions, the writer does not support marks; the cell's row is
 * then read each time.
 */
import type { ReadRequest, TableRow } from '../../table/common/table.js';
import {
  ENDPOINT_MARK_PREFIX,
  ENDPOINT_PREFIX,
  endpointKey,
  type EndpointRow,
  endpointRowSchema,
} from './workRows.js';

export interface EndpointView {
  /** By cell. */
  readonly rows: ReadonlyMap<string, EndpointRow>;
  /** Versions of the rows by cell. */
  readonly versions: ReadonlyMap<string, number>;
  /** Versions of the marks by cell. */
  readonly marks: ReadonlyMap<string, number>;
}

export const NO_ENDPOINTS: EndpointView = {
  rows: new Map(),
  versions: new Map(),
  marks: new Map(),
};

/**
 * How often all rows are read even if no mark has changed. During a rolling upgrade a cell can pass
 * from an owner that writes marks to an older daemon that does not; requests would then still go to
 * servers that no longer exist. 300 KB a minute are 5 KB/s.
 */
export const WHOLE_ENDPOINT_INTERVAL_MS = 60_000;

export const WHOLE_ENDPOINT_PREFIXES: readonly string[] = [ENDPOINT_MARK_PREFIX, ENDPOINT_PREFIX];

const isMarked = ({ marks, versions }: EndpointView, cell: string): boolean =>
  marks.has(cell) && marks.get(cell) === versions.get(cell);

/** Requests the marks of all cells, and the rows of known cells without a matching mark. */
export const endpointReadRequest = (view: EndpointView, cells: Iterable<string>): ReadRequest => {
  const uncovered = new Set([...cells, ...view.versions.keys()]);
  return {
    keys: [...uncovered].filter((cell) => !isMarked(view, cell)).map(endpointKey),
    prefixes: [ENDPOINT_MARK_PREFIX],
  };
};

const cellsUnder = (
  rows: readonly TableRow[],
  prefix: string,
): readonly (readonly [string, TableRow])[] =>
  rows
    .filter(({ key }) => key.startsWith(prefix))
    .map((row) => [row.key.slice(prefix.length), row] as const);

/** Applies marks and rows that were read; `rows` stays the same map if no row is newer. */
export const withEndpointRows = (view: EndpointView, read: readonly TableRow[]): EndpointView => {
  const marks = new Map(view.marks);
  cellsUnder(read, ENDPOINT_MARK_PREFIX).forEach(([cell, { version }]) => marks.set(cell, version));
  const newer = cellsUnder(read, ENDPOINT_PREFIX).filter(
    ([cell, { version }]) => version > (view.versions.get(cell) ?? 0),
  );
  if (newer.length === 0) return { ...view, marks };
  const rows = new Map(view.rows);
  const versions = new Map(view.versions);
  newer.forEach(([cell, { value, version }]) => {
    rows.set(cell, endpointRowSchema.parse(value));
    versions.set(cell, version);
  });
  return { rows, versions, marks };
};

/** Returns the keys of the rows whose marks have a newer version. */
export const staleEndpointKeys = ({ marks, versions }: EndpointView): readonly string[] =>
  [...marks]
    .filter(([cell, version]) => version > (versions.get(cell) ?? 0))
    .map(([cell]) => endpointKey(cell));
