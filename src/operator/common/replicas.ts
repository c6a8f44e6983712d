/** How services' replicas are dealt out to zones, and what that adds up to. */
import {
  type ConfigurationView,
  zonesInUse,
} from '../../platform/configuration/common/configurationView.js';
import {
  type ServiceDocument,
  URGENCY_ORDER,
} from '../../platform/configuration/common/documents.js';
import { evenShare } from '../../platform/configuration/common/replicaShare.js';
import {
  addResources,
  multipliedResources,
  NO_RESOURCES,
  type Resources,
} from '../../platform/worker/common/resources.js';

/** The sums over one view, worked out once: a plan asks for them per zone, team and service. */
export class ServiceTotals {
  readonly zones: readonly string[];

  readonly #view: ConfigurationView;

  readonly #byTeam = new Map<string, Resources>();

  readonly #zoneIndexes: ReadonlyMap<string, number>;

  /** Services in the order in which they are given room. */
  readonly byUrgency: readonly ServiceDocument[];

  constructor(view: ConfigurationView) {
    this.#view = view;
    this.zones = zonesInUse(view);
    this.#zoneIndexes = new Map(this.zones.map((zone, index) => [zone, index]));
    this.byUrgency = [...view.services.values()].sort(
      (one, other) => URGENCY_ORDER[one.urgency] - URGENCY_ORDER[other.urgency],
    );
    view.services.forEach(({ team, size, replicaCount }) => {
      const sum = this.#byTeam.get(team) ?? NO_RESOURCES;
      this.#byTeam.set(team, addResources(sum, multipliedResources(size, replicaCount)));
    });
  }

  /** A service's share in a zone, as the cells' owners work it out. */
  replicas(serviceName: string, zone: string): number {
    const count = this.#view.services.get(serviceName)?.replicaCount ?? 0;
    return evenShare(count, this.#zoneIndexes.get(zone) ?? -1, this.zones.length);
  }

  /** What a team's services ask for, whether or not all their replicas have found room. */
  ofTeam(team: string): Resources {
    return this.#byTeam.get(team) ?? NO_RESOURCES;
  }

  get teams(): readonly string[] {
    return [...this.#byTeam.keys()];
  }

  /** What services reserve in a zone. */
  inZone(zone: string): Resources {
    return [...this.#view.services.values()].reduce(
      (sum, { name, size }) =>
        addResources(sum, multipliedResources(size, this.replicas(name, zone))),
      NO_RESOURCES,
    );
  }
}
