/** Applies quotas in a scheduling round: team usage, queued large tasks and the published share. */
import { canonicalJson } from '../../base/common/json.js';
import {
  addResources,
  fitsInto,
  type Resources,
  sumResources,
} from '../../services/worker/common/resources.js';
import {
  type Assignment,
  BatchTaskState,
  type WorkRow,
} from '../../services/workload/common/workRows.js';
import type { CellDraft } from './cellDraft.js';
import type { CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';
import { TeamUsage } from './queueOrder.js';
import {
  divisionKey,
  divisionOf,
  nextQuotaShare,
  QuotaParts,
  type TeamDemand,
} from './quotaParts.js';

/**
 * How long a large task may have its quota granted without finding a worker before the ask is
 * withdrawn, and when it is made again. Both count from when the wait began. While the ask is open,
 * the team's small tasks wait in all cells, and a task that fits no worker must not block them
 * forever.
 */
const ASK_TIMEOUT_MS = 30_000;
const ASK_RETRY_MS = 90_000;

const isAskPaused = (state: CellState, team: string, nowMs: number): boolean =>
  nowMs - (state.quotaWaits.get(team) ?? nowMs) >= ASK_TIMEOUT_MS;

export const quotaPartsOf = (state: CellState, rows: CellRows): QuotaParts =>
  new QuotaParts(
    state.configuration?.view,
    state.cell,
    rows.exchange.quota,
    state.otherCellsExchange,
    state.readQuotaDivision,
  );

/** The cell's shards, including those of cancelled jobs. */
export const allShards = (draft: CellDraft): readonly WorkRow[] =>
  draft.shardIds
    .map((shardId) => draft.work(shardId))
    .filter((row): row is WorkRow => row !== undefined);

export const cellCapacity = (state: CellState): Resources =>
  sumResources([...state.workers.values()].map((view) => view.instance.capacity));

export const teamUsageOf = (state: CellState, draft: CellDraft, parts: QuotaParts): TeamUsage => {
  const oversized = new Set(state.oversizedSinceMs.keys());
  return new TeamUsage(allShards(draft), cellCapacity(state), parts, oversized);
};

/**
 * Whether a team that gains tasks in this round then holds more than the cell's part of its quota.
 * The check runs on the round's outcome, because two cells that each start slightly too much would
 * exceed the whole quota unnoticed. A team that holds too much because its part has shrunk violates
 * the quota only if another task starts.
 */
export const isQuotaExceeded = (
  state: CellState,
  rows: CellRows,
  draft: CellDraft,
  gained: readonly Assignment[],
): boolean => {
  const quotas = state.configuration?.view.quotas;
  if (quotas === undefined || quotas.size === 0) return false;
  const gainedTeams = new Set(gained.map(({ shardId }) => draft.work(shardId)?.team ?? ''));
  const teams = [...gainedTeams].filter((team) => quotas.has(team));
  if (teams.length === 0) return false;
  const parts = quotaPartsOf(state, rows);
  const usage = teamUsageOf(state, draft, parts);
  return teams.some((team) => !fitsInto(usage.used(team), parts.part(team)));
};

/** Publishes the cell's quota share for the other cells if it has changed. */
export const publishQuotaShare = (
  state: CellState,
  draft: CellDraft,
  parts: QuotaParts,
  nowMs: number,
): void => {
  const view = state.configuration?.view;
  if (view === undefined) return;
  const before = draft.exchange.quota;
  const isSameDivision =
    before !== undefined && divisionKey(before) === divisionKey(divisionOf(view));
  if (isSameDivision && view.quotas.size === 0) return;
  const demands = new Map<string, TeamDemand>();
  if (view.quotas.size > 0) {
    const usage = teamUsageOf(state, draft, parts);
    const isAsking = state.withdrawnSinceMs === undefined;
    usage.teams.forEach((team) => {
      const isAskWanted =
        isAsking && usage.hasLargeTaskWaiting(team) && !isAskPaused(state, team, nowMs);
      demands.set(team, { used: usage.used(team), isAskWanted });
    });
  }
  const next = nextQuotaShare(view, parts, before, demands);
  if (before !== undefined && canonicalJson(next) === canonicalJson(before)) return;
  draft.setExchange({ ...draft.exchange, quota: next });
};

/** Teams with a queued large task that the quota allows but that has found no worker. */
const teamsWithoutRoom = (
  state: CellState,
  draft: CellDraft,
  parts: QuotaParts,
): ReadonlySet<string> => {
  const asking = allShards(draft).filter(
    ({ team, tasks }) =>
      parts.hasAsked(team) && tasks.some((task) => task.state === BatchTaskState.Queued),
  );
  if (asking.length === 0) return new Set();
  const usage = teamUsageOf(state, draft, parts);
  const allowed = asking.filter(
    ({ team, size }) =>
      !fitsInto(size, parts.equalPart(team)) &&
      fitsInto(addResources(usage.used(team), size), parts.part(team)),
  );
  return new Set(allowed.map(({ team }) => team));
};

/** When each team's wait for a worker with a granted quota began, updated by this round. */
export const nextQuotaWaits = (
  state: CellState,
  draft: CellDraft,
  parts: QuotaParts,
  nowMs: number,
): CellState['quotaWaits'] => {
  const waiting = teamsWithoutRoom(state, draft, parts);
  if (waiting.size === 0 && state.quotaWaits.size === 0) return state.quotaWaits;
  const kept = [...state.quotaWaits].filter(([team, sinceMs]) => {
    const isOver = nowMs - sinceMs >= ASK_RETRY_MS;
    return !isOver && (waiting.has(team) || isAskPaused(state, team, nowMs));
  });
  const known = new Map(kept);
  return new Map([...[...waiting].map((team) => [team, nowMs] as const), ...known]);
};
