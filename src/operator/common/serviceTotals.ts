/** Sums up the resources of services by team and by zone. */
import {
  type ConfigurationView,
  zonesInUse,
} from '../../services/configuration/common/configurationView.js';
import {
  type ServiceDocument,
  URGENCY_ORDER,
} from '../../services/configuration/common/documents.js';
import { evenShare } from '../../services/configuration/common/replicaShare.js';
import {
  addResources,
  multipliedResources,
  NO_RESOURCES,
  type Resources,
} from '../../services/worker/common/resources.js';

const totalsByView = new WeakMap<ConfigurationView, ServiceTotals>();

/** Sums over the services of one view, computed once because a plan needs them many times. */
export class ServiceTotals {
  readonly zones: readonly string[];

  /** The distinct sizes of the services' tasks; there are few. */
  readonly sizes: readonly Resources[];

  readonly #view: ConfigurationView;

  readonly #byTeam = new Map<string, Resources>();

  readonly #byZone: readonly Resources[];

  readonly #zoneIndexes: ReadonlyMap<string, number>;

  #byUrgency: readonly ServiceDocument[] | undefined;

  /** The sums of a view. A view never changes, so all plans of a version share its sums. */
  static of(view: ConfigurationView): ServiceTotals {
    const cached = totalsByView.get(view);
    if (cached !== undefined) return cached;
    const totals = new ServiceTotals(view);
    totalsByView.set(view, totals);
    return totals;
  }

  private constructor(view: ConfigurationView) {
    this.#view = view;
    this.zones = zonesInUse(view);
    this.#zoneIndexes = new Map(this.zones.map((zone, index) => [zone, index]));
    let inEveryZone = NO_RESOURCES;
    const remainderByZone = this.zones.map(() => NO_RESOURCES);
    const sizes = new Map<string, Resources>();
    view.services.forEach(({ team, size, replicaCount }) => {
      const sum = this.#byTeam.get(team) ?? NO_RESOURCES;
      this.#byTeam.set(team, addResources(sum, multipliedResources(size, replicaCount)));
      const baseCount = evenShare(replicaCount, this.zones.length - 1, this.zones.length);
      inEveryZone = addResources(inEveryZone, multipliedResources(size, baseCount));
      // The first zones get the remainder, one replica each.
      for (let index = 0; index < replicaCount - baseCount * this.zones.length; index += 1) {
        const remainder = remainderByZone[index];
        if (remainder === undefined) break;
        remainderByZone[index] = addResources(remainder, size);
      }
      sizes.set(`${size.processorMillis} ${size.memoryBytes} ${size.acceleratorCount}`, size);
    });
    this.#byZone = remainderByZone.map((remainder) => addResources(inEveryZone, remainder));
    this.sizes = [...sizes.values()];
  }

  /** Services in the order in which they get capacity: by urgency. */
  get byUrgency(): readonly ServiceDocument[] {
    this.#byUrgency ??= [...this.#view.services.values()].sort(
      (one, other) => URGENCY_ORDER[one.urgency] - URGENCY_ORDER[other.urgency],
    );
    return this.#byUrgency;
  }

  /** A service's replica count in a zone. The cells' owners use the same calculation. */
  replicas(serviceName: string, zone: string): number {
    const count = this.#view.services.get(serviceName)?.replicaCount ?? 0;
    return evenShare(count, this.#zoneIndexes.get(zone) ?? -1, this.zones.length);
  }

  /** Resources that a team's services request, including replicas that have not been placed. */
  ofTeam(team: string): Resources {
    return this.#byTeam.get(team) ?? NO_RESOURCES;
  }

  get teams(): readonly string[] {
    return [...this.#byTeam.keys()];
  }

  /** Resources that services reserve in a zone. */
  inZone(zone: string): Resources {
    return this.#byZone[this.#zoneIndexes.get(zone) ?? -1] ?? NO_RESOURCES;
  }
}
