/** Which tasks that last are moved off workers that are about to leave. */
import { type RoundInput, UsableWorkers } from './fleetRound.js';
import type { FleetWorkerView } from './fleetWorkerView.js';
import { RunState, type TaskRun } from './taskRecords.js';
import { WorkerSearch } from './workerSearch.js';

const isMovable = ({ task, state }: TaskRun): boolean =>
  task.step.isPersistent &&
  !task.step.isGang &&
  (state === RunState.Running || state === RunState.Stopping);

const isLeaving = (view: FleetWorkerView): boolean =>
  view.isListed && view.entry.isDraining && view.isHeard && !view.isSilent;

/**
 * Runs to be stopped so that their tasks start on workers that stay. A task that waits until its
 * worker has left is away for as long as it takes to find that out, several seconds; one that is
 * moved for the time of a stop and a start. Without room elsewhere it stays.
 */
export const movableRuns = (input: RoundInput, nowMs: number): readonly TaskRun[] => {
  const { configuration } = input.operator;
  const runs = [...input.views.values()]
    .filter(isLeaving)
    .flatMap((view) => [...view.runs.values()].filter(isMovable));
  if (configuration === undefined || runs.length === 0) return [];
  const usable = new UsableWorkers(input, nowMs);
  // Room that is promised is not taken yet, so each worker is promised to one task at a time; those
  // that are being moved already come first.
  const promised = new Set<FleetWorkerView>();
  const isNew = ({ state }: TaskRun): boolean => state === RunState.Running;
  const inOrder = [...runs.filter((run) => !isNew(run)), ...runs.filter(isNew)];
  const withRoom = inOrder.filter(({ task }) => {
    const { views, context } = usable.poolOf(task, configuration);
    const free = views.filter((view) => !promised.has(view));
    const target = new WorkerSearch(free, context, nowMs).next(task);
    if (target !== undefined) promised.add(target.view);
    return target !== undefined;
  });
  return withRoom.filter(isNew);
};
