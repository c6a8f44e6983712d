/** Records when faults were active, for checks that apply only without a fault nearby. */
import { FaultScope } from './soakTypes.js';

interface FaultWindow {
  readonly scope: FaultScope;
  readonly fromMs: number;
  readonly untilMs: number;
}

export class FaultWindows {
  readonly #faults: FaultWindow[] = [];

  add(scope: FaultScope, fromMs: number, untilMs: number): void {
    this.#faults.push({ scope, fromMs, untilMs });
  }

  /** Whether daemons may have been cut off from the store during this period. */
  hasCoreFault(fromMs: number, untilMs: number): boolean {
    return this.#hasFault([FaultScope.Core], fromMs, untilMs);
  }

  /** Whether no fault other than planned work was active during this period. */
  isCalm(fromMs: number, untilMs: number): boolean {
    return !this.#hasFault([FaultScope.Core, FaultScope.Unplanned], fromMs, untilMs);
  }

  #hasFault(scopes: readonly FaultScope[], fromMs: number, untilMs: number): boolean {
    return this.#faults.some(
      (fault) => scopes.includes(fault.scope) && fault.fromMs <= untilMs && fault.untilMs >= fromMs,
    );
  }
}
