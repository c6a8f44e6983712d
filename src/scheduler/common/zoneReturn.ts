/** Limits how fast a zone that returns to use is filled again. */
import {
  type ConfigurationView,
  isZoneInUse,
  zonesInUse,
} from '../../services/configuration/common/configurationView.js';

/** The share that is open at once, so that replicas and batch tasks start to move without delay. */
const INITIAL_OPEN_SHARE = 1 / 8;

/**
 * The share of each worker's capacity that is open to tasks after the zone's return. It grows
 * linearly over `zoneReturnMs`. Otherwise the surplus replicas of the other zones and all waiting
 * batch tasks, some 2,500 tasks for a cell of 123 workers, would arrive within one or two seconds.
 * That many cold starts at once are slow, and a zone that is withdrawn again soon, as may happen
 * after a repair, would evict all of them. With linear growth, an early second withdrawal evicts
 * only the tasks that have arrived so far. The unused capacity costs less than half the zone's
 * capacity for that duration.
 */
export const openShare = (
  returnedAtMs: number | undefined,
  zoneReturnMs: number,
  nowMs: number,
): number => {
  if (returnedAtMs === undefined) return 1;
  return Math.min(1, Math.max(INITIAL_OPEN_SHARE, (nowMs - returnedAtMs) / zoneReturnMs));
};

/**
 * When the zone returned to use, after a change of the configuration. Undefined if another zone
 * leaves or this zone is the only one in use, because its whole capacity is then needed at once. A
 * daemon that starts during a return does not know of it and opens the whole capacity.
 */
export const returnedAtMs = (
  state: {
    readonly cell: string;
    readonly withdrawnSinceMs: number | undefined;
    readonly returnedAtMs: number | undefined;
  },
  before: ConfigurationView | undefined,
  after: ConfigurationView,
  nowMs: number,
): number | undefined => {
  if (!isZoneInUse(after, state.cell)) return undefined;
  const others = zonesInUse(after).filter((zone) => zone !== state.cell);
  const hasOtherLeft =
    before !== undefined &&
    zonesInUse(before).some((zone) => zone !== state.cell && !others.includes(zone));
  if (others.length === 0 || hasOtherLeft) return undefined;
  return state.withdrawnSinceMs === undefined ? state.returnedAtMs : nowMs;
};
