/** Decides which running tasks have to leave their workers. */
import type { ConfigurationView } from '../../services/configuration/common/configurationView.js';
import { zonesInUse } from '../../services/configuration/common/configurationView.js';
import { replicaShare } from '../../services/configuration/common/replicaShare.js';
import { InstanceState } from '../../services/instanceList/common/instanceList.js';
import { TaskClass } from '../../services/worker/common/workerClient.js';
import type { Assignment } from '../../services/workload/common/workRows.js';
import { replicasIn } from './cellRows.js';
import type { CellState } from './cellState.js';
import { attemptKey } from './workerView.js';

export const isWorkerDraining = (state: CellState, workerId: string): boolean => {
  const isDrained = state.configuration?.view.workers.get(workerId)?.isDraining === true;
  const instance = state.workers.get(workerId)?.instance;
  return isDrained || instance?.state === InstanceState.Leaving;
};

/** The number of replicas in the other zones' shares that those zones do not serve yet. */
const missingReplicaCount = (state: CellState, view: ConfigurationView, name: string): number => {
  const replicaCount = view.services.get(name)?.replicaCount ?? 0;
  return zonesInUse(view)
    .filter((zone) => zone !== state.cell)
    .map((zone) => {
      const servers = state.endpointView.rows.get(zone)?.servers ?? [];
      const servingCount = servers.filter(({ serviceName }) => serviceName === name).length;
      return Math.max(0, replicaShare(view, zone, replicaCount) - servingCount);
    })
    .reduce((sum, count) => sum + count, 0);
};

/**
 * The maximum number of a service's replicas that a cell keeps: its share plus those that other
 * zones do not serve yet.
 */
export const keptReplicaCount = (
  state: CellState,
  view: ConfigurationView,
  name: string,
): number => {
  const replicaCount = view.services.get(name)?.replicaCount ?? 0;
  if (replicaCount === 0) return 0;
  return replicaShare(view, state.cell, replicaCount) + missingReplicaCount(state, view, name);
};

/**
 * Task ids of replicas beyond the cell's share that are no longer needed. When a zone returns, the
 * shares of the others shrink at once, but its own replicas take seconds to serve. A cell keeps its
 * surplus until the published servers of the other zones fill their shares. Each cell assumes that
 * it alone fills the whole gap, so two cells that see the same gap never both stop too many
 * replicas.
 */
export const surplusTaskIds = (state: CellState): ReadonlySet<string> => {
  const view = state.configuration?.view;
  if (state.rows === undefined || view === undefined) return new Set();
  const byService = new Map<string, string[]>();
  state.rows.ledger.forEach((row) =>
    replicasIn(row).forEach(({ serviceName, taskId }) => {
      const known = byService.get(serviceName);
      if (known === undefined) byService.set(serviceName, [taskId]);
      else known.push(taskId);
    }),
  );
  const surplus = [...byService].flatMap(([name, taskIds]) => {
    const keptCount = keptReplicaCount(state, view, name);
    return taskIds.length <= keptCount ? [] : taskIds.sort().slice(keptCount);
  });
  return new Set(surplus);
};

/**
 * Whether an assignment should end. For a drained worker, a withdrawn zone or a cancelled job, the
 * answer depends only on the configuration and the rows, so a new owner of the cell decides the
 * same without being told. A service's task in a withdrawn zone runs on for the drain time, in
 * which entries have stopped sending requests to it and its last requests finish.
 */
export const isEvictionWanted = (
  state: CellState,
  assignment: Assignment,
  nowMs: number,
): boolean => {
  const { rows, configuration, withdrawnSinceMs } = state;
  if (rows === undefined || configuration === undefined) return false;
  if (assignment.taskClass === TaskClass.LatencyCritical) {
    if (withdrawnSinceMs !== undefined)
      return nowMs - withdrawnSinceMs >= state.timing.serviceDrainMs;
    return (
      state.surplusTaskIds.has(assignment.taskId) || isWorkerDraining(state, assignment.workerId)
    );
  }
  if (state.preempted.has(attemptKey(assignment))) return true;
  const jobId = rows.work.get(assignment.shardId)?.jobId ?? '';
  const isCancelled = rows.cancelledJobIds.has(jobId);
  return (
    withdrawnSinceMs !== undefined || isCancelled || isWorkerDraining(state, assignment.workerId)
  );
};
