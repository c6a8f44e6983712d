/** Which running tasks have to leave their workers. */
import type { ConfigurationView } from '../../platform/configuration/common/configurationView.js';
import { zonesInUse } from '../../platform/configuration/common/configurationView.js';
import { InstanceState } from '../../platform/instanceList/common/instanceList.js';
import { TaskClass } from '../../platform/worker/common/workerClient.js';
import type { Assignment } from '../../platform/work/common/workRows.js';
import { allAssignments, type CellRows } from './cellRows.js';
import type { CellState } from './cellState.js';

/**
 * The part of a service's replicas that a zone carries. Every cell works it out alone from the
 * same configuration, so replicas move with a zone without any cell asking another.
 */
export const replicaShare = (
  view: ConfigurationView,
  zone: string,
  replicaCount: number,
): number => {
  const zones = zonesInUse(view);
  const index = zones.indexOf(zone);
  if (index < 0) return 0;
  const base = Math.floor(replicaCount / zones.length);
  return index < replicaCount % zones.length ? base + 1 : base;
};

/** Assignments of a service in the cell, in a fixed order. */
export const assignmentsOfService = (rows: CellRows, serviceName: string): readonly Assignment[] =>
  allAssignments(rows)
    .filter((assignment) => assignment.serviceName === serviceName)
    .sort((left, right) => (left.taskId < right.taskId ? -1 : 1));

const surplusTaskIds = (rows: CellRows, view: ConfigurationView, zone: string): Set<string> => {
  const names = new Set(
    allAssignments(rows)
      .filter((assignment) => assignment.taskClass === TaskClass.LatencyCritical)
      .map((assignment) => assignment.serviceName),
  );
  const surplus = [...names].flatMap((name) => {
    const wanted = replicaShare(view, zone, view.services.get(name)?.replicaCount ?? 0);
    return assignmentsOfService(rows, name).slice(wanted);
  });
  return new Set(surplus.map((assignment) => assignment.taskId));
};

export const isWorkerDraining = (state: CellState, workerId: string): boolean => {
  const isDrained = state.configuration?.view.workers.get(workerId)?.isDraining === true;
  const instance = state.workers.get(workerId)?.instance;
  return isDrained || instance?.state === InstanceState.Leaving;
};

/**
 * Assignments that should end, derived from the configuration alone: a new owner of the cell
 * comes to the same answer without having been told. A service's task in a withdrawn zone goes
 * on for the drain time, in which entries have stopped sending and its requests finish.
 */
export const wantedEvictions = (state: CellState, nowMs: number): readonly Assignment[] => {
  const { rows, configuration } = state;
  if (rows === undefined || configuration === undefined) return [];
  const surplus = surplusTaskIds(rows, configuration.view, state.cell);
  const isWithdrawn = state.withdrawnSinceMs !== undefined;
  const isDrained =
    state.withdrawnSinceMs !== undefined &&
    nowMs - state.withdrawnSinceMs >= state.timing.serviceDrainMs;
  return allAssignments(rows).filter((assignment) => {
    if (assignment.taskClass === TaskClass.LatencyCritical) {
      if (isWithdrawn) return isDrained;
      return surplus.has(assignment.taskId) || isWorkerDraining(state, assignment.workerId);
    }
    const jobId = rows.work.get(assignment.shardId)?.jobId ?? '';
    const isCancelled = rows.cancelledJobIds.has(jobId);
    return isWithdrawn || isCancelled || isWorkerDraining(state, assignment.workerId);
  });
};
