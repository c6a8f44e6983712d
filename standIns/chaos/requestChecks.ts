/** Finds violations in the answers that callers got, compared with the runs on the servers. */
import type { RequestOutcome } from '../demo/caller.js';

/** Returns each check with the paths of the requests that violate it, or an empty text if none do. */
export const checkRequests = (
  outcomes: readonly RequestOutcome[],
  runCount: (path: string) => number,
  shutdownStartedAtMs: (origin: string) => number | undefined,
): readonly [string, string][] => {
  const find = (name: string, isFound: (request: RequestOutcome) => boolean): [string, string] => {
    const found = outcomes.filter(isFound);
    return [name, found.map(({ path }) => path).join(' ')];
  };
  return [
    find("another's answer or a part", ({ outcome }) => outcome === 'wrong'),
    find(
      '"not run", but it ran',
      ({ path, outcome }) => outcome === 'not-run' && runCount(path) > 0,
    ),
    find(
      'non-idempotent, ran more than once',
      ({ path, isIdempotent }) => !isIdempotent && runCount(path) > 1,
    ),
    find(
      'cut off by a graceful shutdown',
      ({ outcome, origin, startedAtMs }) =>
        outcome === 'cut' && startedAtMs < (shutdownStartedAtMs(origin) ?? 0),
    ),
  ];
};
