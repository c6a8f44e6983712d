/** The active faults of the store. The store stand-in asks for the treatment of each call. */
import type { RandomSource } from '../../../src/base/common/random.js';
import type { StoreOutcome, StoreTreatment } from '../../../platform/test/storeServer.js';

interface StoreFaultRule {
  readonly delayMs: number;
  readonly outcome: StoreOutcome;
  /** The share of affected calls. */
  readonly ratio: number;
  /** The hosts whose calls are affected; all hosts if absent. */
  readonly hosts?: ReadonlySet<string>;
}

export class StoreFaults {
  readonly #rules = new Set<StoreFaultRule>();

  readonly #random: RandomSource;

  constructor(random: RandomSource) {
    this.#random = random;
  }

  /** Activates a rule. Returns a function that deactivates it. */
  add(rule: StoreFaultRule): () => void {
    this.#rules.add(rule);
    return () => this.#rules.delete(rule);
  }

  treat(host: string): StoreTreatment {
    const matching = [...this.#rules].filter(
      ({ hosts, ratio }) => hosts?.has(host) !== false && this.#random.nextFraction() < ratio,
    );
    const failing = matching.find(({ outcome }) => outcome !== 'serve');
    const delayMs = Math.max(0, ...matching.map((rule) => rule.delayMs));
    return { delayMs, outcome: failing?.outcome ?? 'serve' };
  }
}
