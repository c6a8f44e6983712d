/** How a team's quota is divided among the cells, and how cells lend each other their parts. */
import { hashOf } from '../../base/common/hash.js';
import {
  type ConfigurationView,
  zonesInUse,
} from '../../services/configuration/common/configurationView.js';
import { quotaKey } from '../../services/configuration/common/documents.js';
import {
  addResources,
  fitsInto,
  maximumResources,
  NO_RESOURCES,
  remainingResources,
  type Resources,
  sumResources,
} from '../../services/worker/common/resources.js';
import type { ExchangeRow, QuotaShare } from '../../services/workload/common/workRows.js';

/** A cell's place in a team's order of cells, which differs from team to team. */
const rankOf = (zones: readonly string[], cell: string, team: string): number =>
  (zones.indexOf(cell) + hashOf(team)) % Math.max(1, zones.length);

/**
 * The equal part of a quota that a cell has by the configuration alone, so that no start costs a
 * write to a shared counter. What does not divide goes to the first ones in the team's order.
 */
export const equalPart = (
  zones: readonly string[],
  cell: string,
  team: string,
  limit: Resources,
): Resources => {
  if (!zones.includes(cell)) return NO_RESOURCES;
  const rank = rankOf(zones, cell, team);
  const partOf = (amount: number): number =>
    Math.floor(amount / zones.length) + (rank < amount % zones.length ? 1 : 0);
  return {
    processorMillis: partOf(limit.processorMillis),
    memoryBytes: partOf(limit.memoryBytes),
    acceleratorCount: partOf(limit.acceleratorCount),
  };
};

const fingerprints = new WeakMap<ConfigurationView['quotas'], string>();

/** Tells the quota documents of one view from those of another. */
const quotasFingerprint = (view: ConfigurationView): string => {
  const known = fingerprints.get(view.quotas);
  if (known !== undefined) return known;
  const versions = [...view.quotas.keys()]
    .sort()
    .map((team) => `${team}@${view.rowVersions.get(quotaKey(team)) ?? 0}`);
  const fingerprint = view.quotas.size === 0 ? '' : `${hashOf(versions.join())}`;
  fingerprints.set(view.quotas, fingerprint);
  return fingerprint;
};

/** Names a division: the quotas that are divided, and the zones among which they are. */
export const divisionKey = ({ quotas, zones }: Pick<QuotaShare, 'quotas' | 'zones'>): string =>
  [quotas, ...zones].join(' ');

export const divisionOf = (view: ConfigurationView): Pick<QuotaShare, 'quotas' | 'zones'> => ({
  quotas: quotasFingerprint(view),
  zones: [...zonesInUse(view)],
});

/** What the other cells of the configuration have published of quotas, by cell. */
const sharesOf = (
  view: ConfigurationView | undefined,
  rows: ReadonlyMap<string, ExchangeRow>,
): ReadonlyMap<string, QuotaShare> =>
  new Map(
    [...rows].flatMap(([cell, { quota }]) => {
      const isKnown = view?.zones.has(cell) === true;
      return quota === undefined || !isKnown ? [] : [[cell, quota] as const];
    }),
  );

/**
 * What a cell may use of each team's quota. Made for 360 teams and 7 cells that start 150 tasks a
 * second and share no counter. Each cell has an equal part; what it has beyond that, others have
 * given up in a row that they wrote before. Two cells never exceed a quota together:
 *
 * - A cell that follows a new division (a zone was withdrawn or returned, a quota set) starts
 *   nothing of any team with a quota until it has published that, and has read the others after.
 * - Whatever another cell may hold beyond its part of that division, by the division that it
 *   published last or because tasks of a former one still run, is taken off this cell's part. A
 *   zone that returns thus waits until the others' surplus has ended, and one that stays does not
 *   grow before a withdrawn zone's tasks have left it.
 * - A cell that has published other quotas than this one knows has unknown parts: nothing of a
 *   team with a quota starts for the second or two until both have read the same.
 *
 * What was read may be old: what others hold beyond their parts only shrinks within a division,
 * and what was ceded stays so while the ask that it names stands.
 */
export class QuotaParts {
  readonly #view: ConfigurationView | undefined;

  readonly #cell: string;

  readonly #own: QuotaShare | undefined;

  readonly #others: ReadonlyMap<string, QuotaShare>;

  readonly #isSettled: boolean;

  readonly #zones: readonly string[];

  /** `readDivision` is the division that the cell had published when it last read the others. */
  constructor(
    view: ConfigurationView | undefined,
    cell: string,
    own: QuotaShare | undefined,
    rowsElsewhere: ReadonlyMap<string, ExchangeRow>,
    readDivision: string,
  ) {
    this.#view = view;
    this.#cell = cell;
    this.#own = own;
    this.#others = sharesOf(view, rowsElsewhere);
    this.#zones = view === undefined ? [] : zonesInUse(view);
    const division = view === undefined ? undefined : divisionOf(view);
    this.#isSettled =
      division !== undefined &&
      own !== undefined &&
      divisionKey(own) === divisionKey(division) &&
      readDivision === divisionKey(division) &&
      [...this.#others.values()].every(({ quotas }) => quotas === division.quotas);
  }

  get isSettled(): boolean {
    return this.#isSettled;
  }

  /** The whole quota; undefined for a team that has none. */
  limit(team: string): Resources | undefined {
    return this.#view?.quotas.get(team)?.limit;
  }

  /** The part by the configuration alone. */
  equalPart(team: string, cell = this.#cell): Resources {
    const limit = this.limit(team) ?? NO_RESOURCES;
    return equalPart(this.#zones, cell, team, limit);
  }

  /** What the cell may use without what others have ceded to it. */
  ownPart(team: string): Resources {
    if (!this.#isSettled) return NO_RESOURCES;
    const ceded = this.#own?.ceded[team]?.amount ?? NO_RESOURCES;
    return remainingResources(
      this.equalPart(team),
      addResources(this.#surplusElsewhere(team), ceded),
    );
  }

  /** What others have ceded for the ask that stands in this cell's committed row. */
  cededHere(team: string): Resources {
    const ask = this.#own?.asks[team];
    const amounts = [...this.#others.values()]
      .map(({ ceded }) => ceded[team])
      .filter((one) => one !== undefined && one.toCell === this.#cell && one.ask === ask)
      .map((one) => one?.amount ?? NO_RESOURCES);
    return sumResources(amounts);
  }

  /**
   * What the cell may use in all. An asker whose turn has passed takes no more of what was ceded
   * to it, or it would never end its ask as long as large tasks keep coming.
   */
  part(team: string): Resources {
    if (!this.#isSettled || this.isOutranked(team)) return this.ownPart(team);
    return addResources(this.ownPart(team), this.cededHere(team));
  }

  hasAsked(team: string): boolean {
    return this.#own?.asks[team] !== undefined;
  }

  /**
   * True when a cell has ceded more than its part has become since, because zones returned. It
   * cannot take that back while the ask stands, and all cells' parts are smaller by it: a task
   * that needs the whole quota would wait for ever. The ask is withdrawn and made anew.
   */
  isAskStale(team: string): boolean {
    return [...this.#others].some(([cell, { ceded }]) => {
      const cededToThisCell = ceded[team];
      if (cededToThisCell?.toCell !== this.#cell) return false;
      return !fitsInto(cededToThisCell.amount, this.equalPart(team, cell));
    });
  }

  get teamsAskedForElsewhere(): ReadonlySet<string> {
    return new Set([...this.#others.values()].flatMap(({ asks }) => Object.keys(asks)));
  }

  /** Cells that ask for more of a team's quota, the first in the team's order first. */
  askersElsewhere(team: string): readonly { readonly cell: string; readonly ask: number }[] {
    return [...this.#others]
      .flatMap(([cell, { asks }]) => {
        const ask = asks[team];
        return ask === undefined ? [] : [{ cell, ask }];
      })
      .sort((left, right) => this.#rankOf(left.cell, team) - this.#rankOf(right.cell, team));
  }

  /** True when another cell asks whose turn comes before this one's. */
  isOutranked(team: string): boolean {
    const [first] = this.askersElsewhere(team);
    return first !== undefined && this.#rankOf(first.cell, team) < this.#rankOf(this.#cell, team);
  }

  #rankOf(cell: string, team: string): number {
    return rankOf(this.#zones, cell, team);
  }

  #surplusElsewhere(team: string): Resources {
    const limit = this.limit(team) ?? NO_RESOURCES;
    return sumResources(
      [...this.#others].map(([cell, { zones, held }]) => {
        const published = equalPart(zones, cell, team, limit);
        const claim = maximumResources(published, held[team] ?? NO_RESOURCES);
        return remainingResources(claim, this.equalPart(team, cell));
      }),
    );
  }
}

/** What a cell's own work tells of one team. */
export interface TeamDemand {
  /** What its tasks hold in the cell. */
  readonly used: Resources;
  /** True when a task waits that is larger than the cell's equal part and should be asked for. */
  readonly isAskWanted: boolean;
}

const cededFor = (
  parts: QuotaParts,
  before: QuotaShare | undefined,
  team: string,
  used: Resources,
): QuotaShare['ceded'][string] | undefined => {
  const known = before?.ceded[team];
  const askers = parts.askersElsewhere(team);
  const isAskStillOpen = askers.some(
    ({ cell, ask }) => cell === known?.toCell && ask === known.ask,
  );
  if (known !== undefined && !isAskStillOpen) return undefined;
  if (!parts.isSettled) return known;
  const [first] = askers;
  const mayStartCeding = first !== undefined && (!parts.hasAsked(team) || parts.isOutranked(team));
  if (known === undefined && !mayStartCeding) return undefined;
  const target = known ?? { toCell: first?.cell ?? '', ask: first?.ask ?? 0 };
  const alreadyCeded = known?.amount ?? NO_RESOURCES;
  const unused = remainingResources(parts.ownPart(team), used);
  return { toCell: target.toCell, ask: target.ask, amount: addResources(alreadyCeded, unused) };
};

/**
 * What the cell should publish next. A cell with a task that is larger than its part asks for
 * more; the others start nothing of the team, give up what they do not use, and more as their
 * tasks end, until the ask is withdrawn. It is withdrawn once no such task waits and the cell's
 * tasks fit into its own part again; the numbers of asks make sure that what was given up for one
 * is never taken for a later one. Two cells that ask for the same team would each wait for what
 * the other keeps, so the one that comes later in the team's order withdraws. A team with such a
 * task waits for its own small ones to end: its quota would otherwise never be free enough. It
 * costs some two rows a cell for each spell of such tasks, none for a start.
 */
export const nextQuotaShare = (
  view: ConfigurationView,
  parts: QuotaParts,
  before: QuotaShare | undefined,
  demands: ReadonlyMap<string, TeamDemand>,
): QuotaShare => {
  let askCount = before?.askCount ?? 0;
  const asks: QuotaShare['asks'] = {};
  const ceded: QuotaShare['ceded'] = {};
  const held: QuotaShare['held'] = {};
  const teams = new Set([...demands.keys(), ...Object.keys(before?.ceded ?? {})]);
  parts.teamsAskedForElsewhere.forEach((team) => teams.add(team));
  teams.forEach((team) => {
    if (parts.limit(team) === undefined) return;
    const { used, isAskWanted } = demands.get(team) ?? { used: NO_RESOURCES, isAskWanted: false };
    const known = before?.asks[team];
    const isNeeded = isAskWanted && !parts.isOutranked(team) && !parts.isAskStale(team);
    if (known !== undefined && (isNeeded || !fitsInto(used, parts.ownPart(team)))) {
      asks[team] = known;
    } else if (known === undefined && isNeeded && parts.isSettled) {
      askCount += 1;
      asks[team] = askCount;
    }
    const cededEntry = cededFor(parts, before, team, used);
    if (cededEntry !== undefined) ceded[team] = cededEntry;
    const claim = addResources(
      remainingResources(used, parts.cededHere(team)),
      cededEntry?.amount ?? NO_RESOURCES,
    );
    if (!fitsInto(claim, parts.equalPart(team))) held[team] = claim;
  });
  return { ...divisionOf(view), askCount, asks, ceded, held };
};
