/** Which of the daemons should own the fleet, where their processors differ. */

/**
 * For a daemon that has a whole core. The lease is taken at a look at the heartbeat only, so that a
 * third of a core has to cost more than the time between two looks beside a whole one.
 */
const CORE_DELAY_MS = 250;
/** A better daemon looks at the heartbeat once in this time, and the weakest wait for one look. */
const LONGEST_DELAY_MS = 700;

/**
 * The extra patience of a daemon that has `cores` of a processor. An owner of hundreds of workers
 * takes in some hundred answers a second, for which a small share of a core is hardly enough.
 */
export const acquireDelayMs = (cores: number): number =>
  Math.round(Math.min(LONGEST_DELAY_MS, CORE_DELAY_MS / cores));
