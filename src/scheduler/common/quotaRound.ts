/** A round's dealings with quotas: what the teams use, what they wait for, what is published. */
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
import { TeamUse } from './queueOrder.js';
import {
  divisionKey,
  divisionOf,
  nextQuotaShare,
  QuotaParts,
  type TeamDemand,
} from './quotaParts.js';

/**
 * How long a large task may have its quota and find no worker with room before the ask for it is
 * withdrawn, and how long after that it is made again. Meanwhile the team's small tasks wait in
 * all cells: a task that no worker has room for must not hold them up for ever.
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
    state.exchangeElsewhere,
    state.readDivision,
  );

/** The cell's shards, those of cancelled jobs among them. */
export const allShards = (draft: CellDraft): readonly WorkRow[] =>
  draft.shardIds
    .map((shardId) => draft.work(shardId))
    .filter((row): row is WorkRow => row !== undefined);

export const cellCapacity = (state: CellState): Resources =>
  sumResources([...state.workers.values()].map((view) => view.instance.capacity));

export const teamUseOf = (state: CellState, draft: CellDraft, parts: QuotaParts): TeamUse => {
  const unfit = new Set(state.unfitSinceMs.keys());
  return new TeamUse(allShards(draft), cellCapacity(state), parts, unfit);
};

/**
 * True when a team to which the round gives tasks then holds more than the cell may use of its
 * quota. Judged on the outcome, for two cells that each start a little too much exceed the whole
 * quota unseen. A team that holds too much because its part has shrunk breaks it only by a start.
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
  const use = teamUseOf(state, draft, parts);
  return teams.some((team) => !fitsInto(use.used(team), parts.part(team)));
};

/** Publishes what the cell tells the others of quotas, if that has changed. */
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
    const use = teamUseOf(state, draft, parts);
    const isAsking = state.withdrawnSinceMs === undefined;
    use.teams.forEach((team) => {
      const isAskWanted =
        isAsking && use.hasLargeTaskWaiting(team) && !isAskPaused(state, team, nowMs);
      demands.set(team, { used: use.used(team), isAskWanted });
    });
  }
  const next = nextQuotaShare(view, parts, before, demands);
  if (before !== undefined && canonicalJson(next) === canonicalJson(before)) return;
  draft.setExchange({ ...draft.exchange, quota: next });
};

/** Teams of which a task waits for a worker although its quota would allow it. */
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
  const use = teamUseOf(state, draft, parts);
  const allowed = asking.filter(
    ({ team, size }) =>
      !fitsInto(size, parts.equalPart(team)) &&
      fitsInto(addResources(use.used(team), size), parts.part(team)),
  );
  return new Set(allowed.map(({ team }) => team));
};

/** Since when each team has waited for a worker with its quota granted, as of this round. */
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
