/** Delays the acquisition of the fleet's lease on daemons that have little processor time. */

/**
 * The delay of a daemon with a whole core. A daemon acquires the lease only when it reads the
 * heartbeat. A daemon with a third of a core therefore has to wait longer than one with a whole
 * core by more than the time between two reads.
 */
const CORE_DELAY_MS = 250;
/**
 * Within this time, a daemon with more processor time reads the heartbeat once. The weakest daemons
 * wait no longer than that.
 */
const LONGEST_DELAY_MS = 700;

/**
 * The extra time that a daemon with `cores` processor cores waits before it acquires the lease. An
 * owner of hundreds of workers handles some hundred answers a second, for which a small share of a
 * core is hardly enough.
 */
export const acquireDelayMs = (cores: number): number =>
  Math.round(Math.min(LONGEST_DELAY_MS, CORE_DELAY_MS / cores));
