/** Why a worker is not given a waiting task. */

export const PlacementObstacle = {
  /** The table does not list the worker, or only a former process under its id. */
  Unlisted: 'unlisted',
  Draining: 'draining',
  /** It has not answered lately, or not since it was found to be another process. */
  Unanswered: 'unanswered',
  /** It runs tasks that nobody asked for, or may forget ends. */
  Unsettled: 'unsettled',
  /** The stored roster does not allow leases without a limit yet. */
  LeasesLimited: 'leases-limited',
  ZoneWithdrawn: 'zone-withdrawn',
  OtherService: 'other-service',
  NoProcessors: 'no-processors',
  NoMemory: 'no-memory',
  NoAccelerators: 'no-accelerators',
  /** A required label is missing, or the step has as many tasks there as it may. */
  NotAllowed: 'not-allowed',
  /** It has failed tasks. */
  SetAside: 'set-aside',
  /** Services there would miss their targets, or leave the task too little to work with. */
  Interference: 'interference',
} as const;
export type PlacementObstacle = (typeof PlacementObstacle)[keyof typeof PlacementObstacle];
