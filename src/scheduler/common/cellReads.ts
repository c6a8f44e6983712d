/** The table reads of a cell's owner, and how their results change its state. */
import { type Either, isLeft } from 'fp-ts/lib/Either.js';

import type { Failure } from '../../services/errors/common/errorKinds.js';
import type { ReadResult, TableRow } from '../../services/table/common/table.js';
import {
  staleEndpointKeys,
  endpointReadRequest,
  WHOLE_ENDPOINT_INTERVAL_MS,
  WHOLE_ENDPOINT_PREFIXES,
  withEndpointRows,
} from '../../services/workload/common/endpointView.js';
import { arrivalsSince } from '../../services/workload/common/inbox.js';
import {
  cellInboxKey,
  ENDPOINT_PREFIX,
  endpointKey,
  EXCHANGE_PREFIX,
} from '../../services/workload/common/workRows.js';
import {
  cellPrefixes,
  type CellRows,
  toCellRows,
  toOtherCellsExchange,
  withArrivedRows,
} from './cellRows.js';
import type { Arrivals, CellDecision, CellState, PendingCall } from './cellState.js';
import { divisionKey } from './quotaParts.js';
import { withAllStale, withNewRows, withRowsInDoubt } from './staleness.js';
import { surplusTaskIds } from './wantedEvictions.js';

/** How often the owner polls the inbox for work added to its cell. */
const INBOX_POLL_INTERVAL_MS = 500;

const requestRows = (
  state: CellState,
  pending: PendingCall,
  keys: readonly string[],
  prefixes: readonly string[],
): CellDecision => ({
  state: { ...state, pending },
  effects: [{ kind: 'load', epoch: state.lease.epoch, request: { keys, prefixes } }],
});

/**
 * Starts a poll: reads the inbox row and which cells have changed their published servers. Rows
 * that did not change are not read, which keeps the reads small for a cell with 400 shards and two
 * new jobs a second, and for 3,440 replicas.
 */
const startPoll = (state: CellState, nowMs: number): CellDecision => {
  const isFullRead = nowMs >= state.nextFullEndpointReadAtMs;
  const next = {
    ...state,
    nextPollAtMs: nowMs + INBOX_POLL_INTERVAL_MS,
    nextFullEndpointReadAtMs: isFullRead
      ? nowMs + WHOLE_ENDPOINT_INTERVAL_MS
      : state.nextFullEndpointReadAtMs,
  };
  const inbox = cellInboxKey(state.cell);
  if (isFullRead) {
    const allPrefixes = [...WHOLE_ENDPOINT_PREFIXES, EXCHANGE_PREFIX];
    return requestRows(next, { kind: 'poll' }, [inbox], allPrefixes);
  }
  const zones = state.configuration?.view.zones.keys() ?? [];
  const { keys, prefixes } = endpointReadRequest(state.endpointView, zones);
  const otherKeys = keys.filter((key) => key !== endpointKey(state.cell));
  return requestRows(next, { kind: 'poll' }, [inbox, ...otherKeys], [...prefixes, EXCHANGE_PREFIX]);
};

/** Starts the next read if one is due and no other table call is in flight. */
export const startRead = (state: CellState, nowMs: number): CellDecision => {
  if (state.pending !== undefined || state.isFenceDue) return { state, effects: [] };
  if (state.rows === undefined) {
    const withoutArrivals = { ...state, arrivals: undefined };
    return requestRows(withoutArrivals, { kind: 'load' }, [], cellPrefixes(state.cell));
  }
  const { arrivals } = state;
  if (arrivals !== undefined) {
    const next = { ...state, arrivals: undefined };
    return requestRows(next, { kind: 'arrivals', arrivals }, arrivals.keys, []);
  }
  return nowMs < state.nextPollAtMs ? { state, effects: [] } : startPoll(state, nowMs);
};

/**
 * Leaves out the cell's own endpoint row, because the owner knows its servers from its own rows.
 */
const withoutOwnEndpoints = (cell: string, rows: readonly TableRow[]): readonly TableRow[] =>
  rows.filter(({ key }) => key !== endpointKey(cell));

const withEndpoints = (state: CellState, rows: readonly TableRow[]): CellState => ({
  ...state,
  endpointView: withEndpointRows(state.endpointView, withoutOwnEndpoints(state.cell, rows)),
});

/** The key of the quota division in the cell's own exchange row; empty if there is none. */
export const publishedQuotaDivision = (rows: CellRows | undefined): string =>
  rows?.exchange.quota === undefined ? '' : divisionKey(rows.exchange.quota);

/** Applies the other cells' exchange rows, all of which a poll or a load reads. */
const withExchange = (
  state: CellState,
  rows: readonly TableRow[],
  ownRows: CellRows | undefined,
): CellState => {
  // No other call was in flight, so the other cells' rows were read after the own row was written.
  const readQuotaDivision = publishedQuotaDivision(ownRows);
  return {
    ...state,
    otherCellsExchange: toOtherCellsExchange(state.cell, rows),
    readQuotaDivision,
    isRoundStale: state.isRoundStale || readQuotaDivision !== state.readQuotaDivision,
  };
};

const withSurplusUpdated = (state: CellState): CellState => {
  const surplus = surplusTaskIds(state);
  return surplus.size === state.surplusTaskIds.size ? state : withAllStale(state);
};

const withRows = (state: CellState, rows: CellRows): CellState => {
  const isSameCancelled = rows.cancelledJobIds.size === state.lastKnownRows?.cancelledJobIds.size;
  const next = withNewRows(state, rows);
  return isSameCancelled ? next : withAllStale(next);
};

/** Applies a poll: determines the rows that have to be read next. */
const withPollResult = (state: CellState, rows: readonly TableRow[]): CellState => {
  const next = withSurplusUpdated(withEndpoints(withExchange(state, rows, state.rows), rows));
  const inbox = rows.find(({ key }) => key === cellInboxKey(state.cell));
  const inboxVersion = inbox?.version ?? 0;
  const knownVersion = state.rows?.versions.get(cellInboxKey(state.cell)) ?? 0;
  const arrived = inboxVersion === knownVersion ? [] : arrivalsSince(inbox, knownVersion);
  if (arrived === undefined) return withRowsInDoubt(next);
  const endpointKeys = staleEndpointKeys(next.endpointView).filter(
    (key) => key !== endpointKey(state.cell),
  );
  const keys = [...arrived, ...endpointKeys];
  const hasNothingToRead = keys.length === 0 && inboxVersion === knownVersion;
  return hasNothingToRead ? next : { ...next, arrivals: { keys, inboxVersion } };
};

/**
 * Applies rows that were added. The inbox counts as read up to the version that listed them. If it
 * has changed since, the next poll finds the further rows.
 */
const withArrivals = (
  state: CellState,
  { keys, inboxVersion }: Arrivals,
  rows: readonly TableRow[],
): CellState => {
  const next = withSurplusUpdated(withEndpoints(state, rows));
  if (state.rows === undefined) return next;
  const isOfCell = (key: string): boolean => !key.startsWith(ENDPOINT_PREFIX);
  const added = withArrivedRows(state.cell, state.rows, keys.filter(isOfCell), rows);
  if (added === undefined) return withRowsInDoubt(next);
  const versions = new Map(added.versions).set(cellInboxKey(state.cell), inboxVersion);
  return withRows(next, { ...added, versions });
};

/** Applies the answer to a read. After a failure the next read finds again what is due. */
export const withReadResult = (
  state: CellState,
  result: Either<Failure, ReadResult>,
): CellState => {
  const { pending } = state;
  if (pending === undefined || pending.kind === 'commit' || pending.kind === 'fence') return state;
  const settled = { ...state, pending: undefined };
  if (isLeft(result)) return settled;
  const { rows } = result.right;
  if (pending.kind === 'poll') return withPollResult(settled, rows);
  if (pending.kind === 'arrivals') return withArrivals(settled, pending.arrivals, rows);
  const ownRows = toCellRows(state.cell, rows, state.lastKnownRows);
  return withRows(withEndpoints(withExchange(settled, rows, ownRows), rows), ownRows);
};
