/** Divides a team's quota among the cells, and lets cells cede unused parts to each other. */
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

/** A cell's rank in a team's order of cells. The order differs from team to team. */
const rankOf = (zones: readonly string[], cell: string, team: string): number =>
  (zones.indexOf(cell) + hashOf(team)) % Math.max(1, zones.length);

/**
 * The equal part of a quota that a cell has according to the configuration alone, so that starting
 * a task needs no write to a shared counter. The remainder goes to the first cells in the team's
 * order.
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

/** Identifies the versions of a view's quota documents. */
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

/** Identifies a division: the quotas that are divided and the zones that share them. */
export const divisionKey = ({ quotas, zones }: Pick<QuotaShare, 'quotas' | 'zones'>): string =>
  [quotas, ...zones].join(' ');

export const divisionOf = (view: ConfigurationView): Pick<QuotaShare, 'quotas' | 'zones'> => ({
  quotas: quotasFingerprint(view),
  zones: [...zonesInUse(view)],
});

/** The quota shares that the other cells of the configuration have published, by cell. */
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
 * The part of each team's quota that a cell may use. Designed for 360 teams and 7 cells that start
 * 150 tasks a second without a shared counter. Each cell has an equal part. Anything beyond it has
 * been ceded by other cells in rows that they wrote earlier. Cells never exceed a quota together:
 *
 * - A cell that switches to a new division (a zone was withdrawn or returned, or a quota was set)
 *   starts no task of a team with a quota until it has published the division and has read the
 *   other cells' rows after that.
 * - The cell subtracts from its part whatever another cell may hold beyond its own part of the
 *   division. Another cell may hold more because it last published an earlier division, or because
 *   tasks from an earlier division still run. A returning zone therefore waits until the other
 *   cells' surplus has ended, and a remaining zone does not grow before the tasks of a withdrawn
 *   zone have ended.
 * - If another cell has published quotas that differ from this cell's configuration, its parts are
 *   unknown. No task of a team with a quota starts for the second or two until both cells have read
 *   the same configuration.
 *
 * A published row may be outdated when it is read. This is safe: within a division, what other
 * cells hold beyond their parts only shrinks, and a ceded amount stays ceded while the ask that it
 * names is open.
 */
export class QuotaParts {
  readonly #view: ConfigurationView | undefined;

  readonly #cell: string;

  readonly #own: QuotaShare | undefined;

  readonly #others: ReadonlyMap<string, QuotaShare>;

  readonly #isSettled: boolean;

  readonly #zones: readonly string[];

  /**
   * `readDivision` is the division that the cell had published when it last read the other cells'
   * rows.
   */
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

  /** The whole quota; undefined for a team without one. */
  limit(team: string): Resources | undefined {
    return this.#view?.quotas.get(team)?.limit;
  }

  /** The cell's part according to the configuration alone. */
  equalPart(team: string, cell = this.#cell): Resources {
    const limit = this.limit(team) ?? NO_RESOURCES;
    return equalPart(this.#zones, cell, team, limit);
  }

  /** The part that the cell may use without the amounts that others have ceded to it. */
  ownPart(team: string): Resources {
    if (!this.#isSettled) return NO_RESOURCES;
    const ceded = this.#own?.ceded[team]?.amount ?? NO_RESOURCES;
    return remainingResources(
      this.equalPart(team),
      addResources(this.#surplusElsewhere(team), ceded),
    );
  }

  /** The amounts that others have ceded for the open ask in this cell's committed row. */
  cededHere(team: string): Resources {
    const ask = this.#own?.asks[team];
    const amounts = [...this.#others.values()]
      .map(({ ceded }) => ceded[team])
      .filter((one) => one !== undefined && one.toCell === this.#cell && one.ask === ask)
      .map((one) => one?.amount ?? NO_RESOURCES);
    return sumResources(amounts);
  }

  /**
   * The total that the cell may use. A cell that another asker outranks takes no more of the
   * amounts ceded to it. Otherwise it would never close its ask as long as large tasks keep
   * arriving.
   */
  part(team: string): Resources {
    if (!this.#isSettled || this.isOutranked(team)) return this.ownPart(team);
    return addResources(this.ownPart(team), this.cededHere(team));
  }

  hasAsked(team: string): boolean {
    return this.#own?.asks[team] !== undefined;
  }

  /**
   * Whether a cell has ceded more than its part, which has shrunk since because zones returned.
   * That cell cannot reclaim the amount while the ask is open, and the parts of all cells are
   * smaller by it, so a task that needs the whole quota would wait forever. The ask is withdrawn
   * and made again.
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

  /** Cells that ask for more of a team's quota, in the team's order of cells. */
  askersElsewhere(team: string): readonly { readonly cell: string; readonly ask: number }[] {
    return [...this.#others]
      .flatMap(([cell, { asks }]) => {
        const ask = asks[team];
        return ask === undefined ? [] : [{ cell, ask }];
      })
      .sort((left, right) => this.#rankOf(left.cell, team) - this.#rankOf(right.cell, team));
  }

  /** Whether a cell that comes earlier in the team's order also asks. */
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

/** The usage and demand of one team in a cell. */
export interface TeamDemand {
  /** Resources that the team's tasks hold in the cell. */
  readonly used: Resources;
  /**
   * True when a queued task is larger than the cell's equal part and the cell should ask for more.
   */
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
 * The quota share that the cell should publish next. A cell with a task that is larger than its
 * part asks for more. The other cells start no tasks of the team, cede what they do not use, and
 * cede more as their tasks end, until the ask is withdrawn. The cell withdraws it once no such task
 * is queued and its running tasks fit into its own part again. The asks are numbered, so that an
 * amount ceded for one ask is never counted for a later one.
 *
 * Two cells that ask for the same team would each wait for what the other keeps, so the one that
 * comes later in the team's order withdraws its ask. While a team's large task is queued, the
 * team's small tasks in that cell are not started; otherwise its quota would never be free enough.
 * Each period with large tasks costs about two row writes per cell, and starting a task costs none.
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
