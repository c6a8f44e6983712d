/** The values of one metric, with one value for each combination of label values. */
import type { MetricLabels } from './metrics.js';

export interface Labelled<Value> {
  readonly labels: MetricLabels;
  value: Value;
}

const KEY_SEPARATOR = '\u0000';

/**
 * The number of combinations is bounded. Otherwise label values from outside (a name in a request,
 * the id of an instance that is replaced daily) would make memory grow without limit. Combinations
 * beyond the bound are not recorded; the caller counts them.
 */
export class LabelledSeries<Value> {
  readonly #capacity: number;

  readonly #create: () => Value;

  readonly #byKey = new Map<string, Labelled<Value>>();

  constructor(capacity: number, create: () => Value) {
    this.#capacity = capacity;
    this.#create = create;
  }

  /** Finds or creates the value of these labels; undefined if there are too many combinations. */
  find(labels: MetricLabels | undefined): Labelled<Value> | undefined {
    const key = labels === undefined ? '' : Object.values(labels).join(KEY_SEPARATOR);
    const known = this.#byKey.get(key);
    if (known !== undefined) return known;
    if (this.#byKey.size >= this.#capacity) return undefined;
    const created = { labels: labels ?? {}, value: this.#create() };
    this.#byKey.set(key, created);
    return created;
  }

  forEach(visit: (labelled: Labelled<Value>) => void): void {
    this.#byKey.forEach(visit);
  }
}
