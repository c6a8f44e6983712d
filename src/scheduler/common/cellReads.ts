/** What the owner of a cell reads, and how what was read comes into its state. */
import { type Either, isLeft } from 'fp-ts/lib/Either.js';

import type { Failure } from '../../services/errors/common/errorKinds.js';
import type { ReadResult, TableRow } from '../../services/table/common/table.js';
import {
  endpointKeysDue,
  endpointLook,
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

/** How often the owner looks whether work was added to its cell. */
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
 * The next look: the inbox row, and which cells published other servers. Made for a cell with 400
 * shards that gets two jobs a second, and for 3,440 replicas: what has not changed is not read.
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
  const { keys, prefixes } = endpointLook(state.endpointView, zones);
  const otherKeys = keys.filter((key) => key !== endpointKey(state.cell));
  return requestRows(next, { kind: 'poll' }, [inbox, ...otherKeys], [...prefixes, EXCHANGE_PREFIX]);
};

/** The next read, if one is due and no other call of the table is under way. */
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

/** The owner knows its own cell's servers from its rows. */
const withoutOwnEndpoints = (cell: string, rows: readonly TableRow[]): readonly TableRow[] =>
  rows.filter(({ key }) => key !== endpointKey(cell));

const withEndpoints = (state: CellState, rows: readonly TableRow[]): CellState => ({
  ...state,
  endpointView: withEndpointRows(state.endpointView, withoutOwnEndpoints(state.cell, rows)),
});

/** The division of quotas that the cell's own row tells; empty when it tells none. */
export const publishedQuotaDivision = (rows: CellRows | undefined): string =>
  rows?.exchange.quota === undefined ? '' : divisionKey(rows.exchange.quota);

/** Takes in what the other cells tell, from a look or a load, which read all of it. */
const withExchange = (
  state: CellState,
  rows: readonly TableRow[],
  ownRows: CellRows | undefined,
): CellState => {
  // No other call was under way, so the others' rows were read after the own one was written.
  const readDivision = publishedQuotaDivision(ownRows);
  return {
    ...state,
    exchangeElsewhere: toOtherCellsExchange(state.cell, rows),
    readDivision,
    isRoundStale: state.isRoundStale || readDivision !== state.readDivision,
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

/** Finds out what a look leaves to be read. */
const withPollResult = (state: CellState, rows: readonly TableRow[]): CellState => {
  const next = withSurplusUpdated(withEndpoints(withExchange(state, rows, state.rows), rows));
  const inbox = rows.find(({ key }) => key === cellInboxKey(state.cell));
  const inboxVersion = inbox?.version ?? 0;
  const knownVersion = state.rows?.versions.get(cellInboxKey(state.cell)) ?? 0;
  const arrived = inboxVersion === knownVersion ? [] : arrivalsSince(inbox, knownVersion);
  if (arrived === undefined) return withRowsInDoubt(next);
  const endpointKeys = endpointKeysDue(next.endpointView).filter(
    (key) => key !== endpointKey(state.cell),
  );
  const keys = [...arrived, ...endpointKeys];
  const hasNothingToRead = keys.length === 0 && inboxVersion === knownVersion;
  return hasNothingToRead ? next : { ...next, arrivals: { keys, inboxVersion } };
};

/**
 * Takes in rows that were added. The inbox counts as known up to the version that told of them:
 * if it has moved on since, the next look tells what else came.
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

/** Takes in the answer to a read; after a failure what was due is found again. */
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
