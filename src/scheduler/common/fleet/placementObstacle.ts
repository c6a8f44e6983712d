/** The reasons why a waiting task is not placed on a worker. */

export const PlacementObstacle = {
  /** The table does not list the worker, or lists only a previous process under its id. */
  Unlisted: 'unlisted',
  Draining: 'draining',
  /** The worker has not answered recently, or not since it was found to be a new process. */
  Unanswered: 'unanswered',
  /** The worker lists runs that are not wanted any more. */
  Unsettled: 'unsettled',
  /** Starts wait for answers of the worker, so that a further one would not be sent at once. */
  Congested: 'congested',
  /** The stored roster does not yet allow leases without a limit to the worker. */
  LeasesLimited: 'leases-limited',
  ZoneWithdrawn: 'zone-withdrawn',
  OtherService: 'other-service',
  NoProcessors: 'no-processors',
  NoMemory: 'no-memory',
  NoAccelerators: 'no-accelerators',
  /** The worker lacks a required label or already has the step's maximum number of tasks. */
  NotAllowed: 'not-allowed',
  /** The worker has failed tasks. */
  SetAside: 'set-aside',
  /** Services on the worker would miss their targets, or would leave the task too low a pace. */
  Interference: 'interference',
} as const;
export type PlacementObstacle = (typeof PlacementObstacle)[keyof typeof PlacementObstacle];
