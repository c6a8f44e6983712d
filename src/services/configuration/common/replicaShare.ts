/** Distributes a service's replicas over the zones in use. */
import { type ConfigurationView, zonesInUse } from './configurationView.js';

/**
 * Splits `count` evenly into `partCount` parts and returns the part at `partIndex`. The first parts
 * get the remainder; a negative index gets nothing.
 */
export const evenShare = (count: number, partIndex: number, partCount: number): number => {
  if (partIndex < 0) return 0;
  const base = Math.floor(count / partCount);
  return partIndex < count % partCount ? base + 1 : base;
};

/**
 * The number of replicas that a zone runs. Every cell and every plan computes it independently from
 * the same configuration, so replicas move when a zone does without communication between cells.
 */
export const replicaShare = (
  view: ConfigurationView,
  zone: string,
  replicaCount: number,
): number => {
  const zones = zonesInUse(view);
  return evenShare(replicaCount, zones.indexOf(zone), zones.length);
};
