/** Checks by which versions of the configuration instances answer counts. Times are arguments. */
import { CONFIGURATION_BOUND_MS } from './fleetWorkerOptions.js';

/** How long a process may still answer by an older version than it has answered by. */
const ROLLBACK_SLACK_MS = 250;

interface SeriesVersion {
  readonly version: number;
  readonly queues: ReadonlySet<string>;
  readonly acknowledgedAtMs: number;
}

export interface CountAnswer {
  /** Names one process of an instance. */
  readonly processKey: string;
  readonly queue: string;
  /** Whether the queue was counted; otherwise, it was said to be missing. */
  readonly isCounted: boolean;
  readonly sentAtMs: number;
}

export class ConfigurationJudge {
  /** The versions in the order in which they were stored. */
  readonly #versions: SeriesVersion[] = [];

  /** The versions that processes have surely answered by, with the times of the answers. */
  readonly #known = new Map<string, { readonly version: number; readonly atMs: number }[]>();

  noteStored(version: number, queues: readonly string[], nowMs: number): void {
    this.#versions.push({ version, queues: new Set(queues), acknowledgedAtMs: nowMs });
  }

  /** Returns what is wrong with an answer that arrived at `nowMs`; undefined if nothing is. */
  check(answer: CountAnswer, nowMs: number): string | undefined {
    const { processKey, queue, isCounted, sentAtMs } = answer;
    const possible = this.#versions.filter(({ queues }) => queues.has(queue) === isCounted);
    const oldest = possible[0];
    const newest = possible.at(-1);
    const text = `${processKey}: ${queue} is ${isCounted ? 'counted' : 'missing'}`;
    if (oldest === undefined || newest === undefined) return `${text}, as in no version`;
    const due = this.#versions.findLast(
      ({ acknowledgedAtMs }) => sentAtMs > acknowledgedAtMs + CONFIGURATION_BOUND_MS,
    );
    if (due !== undefined && newest.version < due.version) {
      const lateMs = Math.round(sentAtMs - due.acknowledgedAtMs);
      return `${text} as in version ${newest.version}, sent ${lateMs} ms after ${due.version}`;
    }
    const known = this.#known.get(processKey) ?? [];
    const regressed = known.find(
      ({ version, atMs }) => newest.version < version && sentAtMs > atMs + ROLLBACK_SLACK_MS,
    );
    if (regressed !== undefined) {
      return `${text} as in version ${newest.version}, after it answered by ${regressed.version}`;
    }
    if (oldest.version > (known.at(-1)?.version ?? 0)) {
      this.#known.set(processKey, [...known, { version: oldest.version, atMs: nowMs }]);
    }
    return undefined;
  }
}
