/** Predicts the effects of a plan's steps by comparing the configuration before and after. */
import {
  type ConfigurationView,
  isZoneInUse,
} from '../../services/configuration/common/configurationView.js';
import type { ServiceDocument } from '../../services/configuration/common/documents.js';
import {
  addResources,
  multipliedResources,
  type Resources,
  sumResources,
} from '../../services/worker/common/resources.js';
import type { AffectedTask, PlanEffects, TaskGroup } from './plan.js';
import type { PlanningBasis } from './planningBasis.js';
import { ServiceTotals } from './serviceTotals.js';
import { capacityOfZone, missingReplicaCount, taskRoom } from './zoneRoom.js';

/** How many tasks of a group a plan lists by name. */
const NAMED_TASK_COUNT = 5;

const compareSizesDescending = (one: Resources, other: Resources): number =>
  other.acceleratorCount - one.acceleratorCount ||
  other.processorMillis - one.processorMillis ||
  other.memoryBytes - one.memoryBytes;

const isEqual = (one: unknown, other: unknown): boolean =>
  one === other || JSON.stringify(one) === JSON.stringify(other);

/** Several tasks of one service or job, all of the same size. */
export interface CountedTasks extends AffectedTask {
  readonly count: number;
}

const toGroup = (tasks: readonly CountedTasks[]): TaskGroup => {
  const nonEmpty = tasks.filter(({ count }) => count > 0);
  const largest = [...nonEmpty]
    .sort((one, other) => compareSizesDescending(one.size, other.size))
    .slice(0, NAMED_TASK_COUNT)
    .map(({ taskId, size, count }) => ({
      taskId: count === 1 ? taskId : `${taskId} (${count} tasks)`,
      size,
    }));
  return { count: nonEmpty.reduce((sum, { count }) => sum + count, 0), largest };
};

interface ReplicaChange {
  readonly service: ServiceDocument;
  readonly starting: number;
  readonly moving: number;
  readonly ending: number;
}

/** The configuration before and after a plan, with the sums over its services. */
interface Comparison {
  readonly basis: PlanningBasis;
  readonly before: ConfigurationView;
  readonly after: ConfigurationView;
  readonly totalsBefore: ServiceTotals;
  readonly totalsAfter: ServiceTotals;
}

/** How many replicas of a service start, end, or move from one zone to another. */
const replicaChange = (
  comparison: Comparison,
  zones: ReadonlySet<string>,
  name: string,
): ReplicaChange => {
  const { before, after, totalsBefore, totalsAfter } = comparison;
  let added = 0;
  let removed = 0;
  zones.forEach((zone) => {
    const difference = totalsAfter.replicas(name, zone) - totalsBefore.replicas(name, zone);
    added += Math.max(0, difference);
    removed += Math.max(0, -difference);
  });
  const moving = Math.min(added, removed);
  const service = (after.services.get(name) ?? before.services.get(name)) as ServiceDocument;
  return { service, moving, starting: added - moving, ending: removed - moving };
};

/** Replica changes of the affected services: all services if zones change, else changed ones. */
const replicaChanges = (comparison: Comparison): readonly ReplicaChange[] => {
  const { before, after, totalsBefore, totalsAfter } = comparison;
  const zones = new Set([...totalsBefore.zones, ...totalsAfter.zones]);
  const hasSameZones = isEqual(totalsBefore.zones, totalsAfter.zones);
  const names = new Set([...before.services.keys(), ...after.services.keys()]);
  return [...names]
    .filter((name) => !hasSameZones || before.services.get(name) !== after.services.get(name))
    .map((name) => replicaChange(comparison, zones, name));
};

const zoneCapacity = (comparison: Comparison, zone: string): PlanEffects['capacity'][number] => {
  const { basis, before, after, totalsBefore, totalsAfter } = comparison;
  const workersAfter = capacityOfZone(basis, after, zone);
  const isKnown = basis.workers.length > 0;
  return {
    zone,
    totalBefore: sumResources(capacityOfZone(basis, before, zone)),
    totalAfter: sumResources(workersAfter),
    reservedBefore: totalsBefore.inZone(zone),
    reservedAfter: totalsAfter.inZone(zone),
    missingTaskCount: isKnown ? missingReplicaCount(totalsAfter, zone, workersAfter) : 0,
  };
};

/** Views share the maps that no step has changed, so comparing references is enough. */
const canCapacityDiffer = ({ before, after }: Comparison): boolean =>
  before.zones !== after.zones ||
  before.services !== after.services ||
  before.workers !== after.workers;

const capacityEffects = (comparison: Comparison): PlanEffects['capacity'] => {
  if (!canCapacityDiffer(comparison)) return [];
  return [...new Set([...comparison.before.zones.keys(), ...comparison.after.zones.keys()])]
    .sort()
    .map((zone) => zoneCapacity(comparison, zone))
    .filter(
      (zone) =>
        !isEqual(zone.totalBefore, zone.totalAfter) ||
        !isEqual(zone.reservedBefore, zone.reservedAfter),
    );
};

/**
 * Resources of the team's running jobs, as far as they were read for the plan. They are always
 * read for a change of the team's quota.
 */
const runningJobsOf = ({ running }: PlanningBasis, team: string): Resources =>
  sumResources(running.filter(({ jobId }) => jobId.startsWith(`${team}.`)).map(({ size }) => size));

const quotaEffects = (comparison: Comparison): PlanEffects['quotas'] => {
  const { before, after, totalsBefore, totalsAfter } = comparison;
  if (before === after) return [];
  const changedTeams = new Set(
    [...before.services.values(), ...after.services.values()]
      .filter(({ name }) => before.services.get(name) !== after.services.get(name))
      .map(({ team }) => team),
  );
  const teams = new Set([
    ...totalsBefore.teams,
    ...totalsAfter.teams,
    ...before.quotas.keys(),
    ...after.quotas.keys(),
  ]);
  return [...teams].flatMap((team) => {
    const limitBefore = before.quotas.get(team)?.limit ?? null;
    const limit = after.quotas.get(team)?.limit ?? null;
    // Most teams are not affected; both views hold the same objects as their documents.
    if (limitBefore === limit && !changedTeams.has(team)) return [];
    const jobs = runningJobsOf(comparison.basis, team);
    const usedBefore = addResources(totalsBefore.ofTeam(team), jobs);
    const usedAfter = addResources(totalsAfter.ofTeam(team), jobs);
    if (isEqual(limitBefore, limit) && isEqual(usedBefore, usedAfter)) return [];
    return [{ team, limit, before: usedBefore, after: usedAfter }];
  });
};

/** Whether tasks of jobs have to leave a worker: it is draining or its zone is not in use. */
const mustLeave = (view: ConfigurationView, workerId: string, zone: string | undefined): boolean =>
  view.workers.get(workerId)?.isDraining === true ||
  (zone !== undefined && !isZoneInUse(view, zone));

/** Tasks of jobs that the plan evicts. Excludes tasks that already have to leave without it. */
const evictedTasks = (basis: PlanningBasis, after: ConfigurationView): readonly CountedTasks[] => {
  const zoneOf = new Map(basis.workers.map(({ id, availabilityZone }) => [id, availabilityZone]));
  return basis.running
    .filter(({ serviceName }) => serviceName === '')
    .filter(({ workerId }) => {
      const zone = zoneOf.get(workerId);
      return mustLeave(after, workerId, zone) && !mustLeave(basis.view, workerId, zone);
    })
    .map(({ taskId, size }) => ({ taskId, size, count: 1 }));
};

/** Tasks of services that the plan moves off drained workers; they can stay in their zone. */
const drainedTasks = (basis: PlanningBasis, after: ConfigurationView): readonly CountedTasks[] =>
  basis.running
    .filter(({ serviceName }) => serviceName !== '')
    .filter(({ workerId }) => after.workers.get(workerId)?.isDraining === true)
    .filter(({ workerId }) => basis.view.workers.get(workerId)?.isDraining !== true)
    .map(({ taskId, size }) => ({ taskId, size, count: 1 }));

const countedTasks = (
  changes: readonly ReplicaChange[],
  field: 'starting' | 'moving' | 'ending',
): readonly CountedTasks[] =>
  changes.map((change) => ({
    taskId: change.service.name,
    size: change.service.size,
    count: change[field],
  }));

/** Tasks of one job that a plan starts or ends. The configuration does not contain jobs. */
export interface JobTasks extends CountedTasks {
  readonly team: string;
}

/** Tasks of a job that a plan assigns to a zone. */
export interface ZoneTasks {
  readonly zone: string;
  readonly jobId: string;
  readonly size: Resources;
  readonly count: number;
}

export interface JobChanges {
  readonly starting: readonly JobTasks[];
  readonly ending: readonly JobTasks[];
  readonly inZones: readonly ZoneTasks[];
}

/** Resource use of the jobs' teams: their services and the jobs that the plan names. */
const jobQuotas = ({ after, totalsAfter }: Comparison, jobs: JobChanges): PlanEffects['quotas'] => {
  const teams = new Set([...jobs.starting, ...jobs.ending].map(({ team }) => team));
  const sizeOf = (tasks: readonly JobTasks[], team: string): Resources =>
    sumResources(
      tasks
        .filter((task) => task.team === team)
        .map(({ size, count }) => multipliedResources(size, count)),
    );
  return [...teams].map((team) => ({
    team,
    limit: after.quotas.get(team)?.limit ?? null,
    before: addResources(totalsAfter.ofTeam(team), sizeOf(jobs.ending, team)),
    after: addResources(totalsAfter.ofTeam(team), sizeOf(jobs.starting, team)),
  }));
};

/** Messages for jobs with more tasks in a zone than fit at a time, even without other jobs. */
const insufficientRoomMessages = (
  { basis, after, totalsAfter }: Comparison,
  { inZones }: JobChanges,
): readonly string[] =>
  inZones.flatMap(({ zone, jobId, size, count }) => {
    if (basis.workers.length === 0) return [];
    const room = taskRoom(size, totalsAfter, zone, capacityOfZone(basis, after, zone), count);
    if (room >= count) return [];
    return [`${zone} has room for ${room} of the ${count} tasks of ${jobId} at a time`];
  });

/** The effects of a plan that changes the configuration from the basis's view to `after`. */
export const planEffects = (
  basis: PlanningBasis,
  after: ConfigurationView,
  jobs: JobChanges,
): PlanEffects => {
  const comparison = {
    basis,
    before: basis.view,
    after,
    totalsBefore: ServiceTotals.of(basis.view),
    totalsAfter: ServiceTotals.of(after),
  };
  const changes = replicaChanges(comparison);
  const capacity = capacityEffects(comparison);
  return {
    starting: toGroup([...countedTasks(changes, 'starting'), ...jobs.starting]),
    moving: toGroup([...countedTasks(changes, 'moving'), ...drainedTasks(basis, after)]),
    evicted: toGroup(evictedTasks(basis, after)),
    ending: toGroup([...countedTasks(changes, 'ending'), ...jobs.ending]),
    quotas: [...quotaEffects(comparison), ...jobQuotas(comparison, jobs)],
    capacity,
    notDone: [
      ...capacity
        .filter(({ missingTaskCount }) => missingTaskCount > 0)
        .map(({ zone, missingTaskCount }) => {
          const wait = 'which wait until there is room';
          return `${zone} lacks capacity for at least ${missingTaskCount} tasks, ${wait}`;
        }),
      ...insufficientRoomMessages(comparison, jobs),
    ],
  };
};
