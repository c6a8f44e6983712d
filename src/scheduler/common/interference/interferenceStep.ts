/**
 * Performs one interference step for a cell: learn from samples, then throttle, release or evict.
 */
import { assignmentsOf, type CellRows } from '../cellRows.js';
import type { CellDecision, CellEffect, CellState } from '../cellState.js';
import { isEvictionWanted } from '../wantedEvictions.js';
import { attemptKey, hasRecentReport, type WorkerView } from '../workerView.js';
import type { InterferenceState, WorkerControl } from './interferenceState.js';
import { withLearntSample, SampleStatus, sampleStatus } from './learning.js';
import { controlStep, observedControl } from './workerControl.js';
import { type WorkerLoad, workerLoad } from './workerLoad.js';

/** Interval between two steps in a cell; samples arrive every second or two. */
const STEP_INTERVAL_MS = 1_000;

const counted = (counter: string, amount: number): CellEffect => ({
  kind: 'count',
  counter,
  amount,
});

interface ObservedWorkers {
  readonly loads: ReadonlyMap<string, WorkerLoad>;
  readonly controls: ReadonlyMap<string, WorkerControl>;
}

const observe = (state: CellState, rows: CellRows, nowMs: number): ObservedWorkers => {
  const loads = new Map<string, WorkerLoad>();
  const controls = new Map<string, WorkerControl>();
  state.workers.forEach((view, workerId) => {
    if (!hasRecentReport(view, state.timing.reportFreshnessMs, nowMs)) return;
    const load = workerLoad(rows, view);
    loads.set(workerId, load);
    const known = state.interference.controls.get(workerId);
    controls.set(workerId, observedControl(known, load, nowMs));
  });
  return { loads, controls };
};

const learnFromSamples = (
  state: CellState,
  { loads, controls }: ObservedWorkers,
  nowMs: number,
): CellDecision => {
  let interference: InterferenceState = { ...state.interference, controls };
  let staleCount = 0;
  const pendingSamples = interference.pendingSamples.filter((sample) => {
    const load = loads.get(sample.workerId);
    const view = state.workers.get(sample.workerId);
    const control = controls.get(sample.workerId);
    const policy = state.timing.interference;
    const status = sampleStatus(sample, view, control, policy, nowMs);
    if (status === SampleStatus.Stale || load === undefined) staleCount += 1;
    else if (status === SampleStatus.Learnt) {
      interference = withLearntSample(interference, sample, load, nowMs);
    }
    return status === SampleStatus.Waiting;
  });
  return {
    state: { ...state, interference: { ...interference, pendingSamples } },
    effects: [counted('interference_samples_stale', staleCount)],
  };
};

/** The number of evictions that this owner has requested and that are still in the ledger. */
const pendingEvictionCount = (state: CellState, rows: CellRows): number =>
  [...rows.assignmentsByWorker.keys()].reduce(
    (sum, workerId) =>
      sum +
      assignmentsOf(rows, workerId).filter((one) => state.preempted.has(attemptKey(one))).length,
    0,
  );

/**
 * Whether throttles on the worker may be released. A new owner keeps the throttles that it finds
 * until it knows the base latency of all services on the worker, or for one half-life if no entry
 * reports latencies. Releasing all throttles at each takeover would slow callers down.
 */
const mayRelease = (state: CellState, load: WorkerLoad, nowMs: number): boolean => {
  const { estimates } = state.interference;
  return (
    nowMs - state.tookOverAtMs >= state.timing.interference.halfLifeMs ||
    load.serviceNames.every((name) => estimates.baseLatencyMs(name) !== undefined)
  );
};

const leavingPredicate = (state: CellState, rows: CellRows, workerId: string, nowMs: number) => {
  const leaving = new Set(
    assignmentsOf(rows, workerId)
      .filter((one) => isEvictionWanted(state, one, nowMs))
      .map(attemptKey),
  );
  return (key: string): boolean => leaving.has(key);
};

const controlWorkers = (
  state: CellState,
  rows: CellRows,
  loads: ReadonlyMap<string, WorkerLoad>,
  nowMs: number,
): CellDecision => {
  const policy = state.timing.interference;
  const controls = new Map(state.interference.controls);
  const workers = new Map<string, WorkerView>(state.workers);
  const evicted = new Set<string>();
  let allowedEvictionCount = policy.maximumEvictionsUnderWay - pendingEvictionCount(state, rows);
  let throttleCount = 0;
  controls.forEach((before, workerId) => {
    const view = workers.get(workerId);
    const fullLoad = loads.get(workerId);
    if (view === undefined || fullLoad === undefined || fullLoad.batch.length === 0) return;
    // Tasks that are already leaving do not count; otherwise more tasks would be evicted for them.
    const isLeaving = leavingPredicate(state, rows, workerId, nowMs);
    const load = { ...fullLoad, batch: fullLoad.batch.filter(({ key }) => !isLeaving(key)) };
    const step = controlStep(
      state.interference,
      before,
      load,
      policy,
      mayRelease(state, load, nowMs),
      allowedEvictionCount > 0,
      nowMs,
    );
    controls.set(workerId, step.control);
    if (step.control.shares !== before.shares) throttleCount += 1;
    if (step.evictedKey !== undefined) {
      evicted.add(step.evictedKey);
      allowedEvictionCount -= 1;
    }
    if (step.control.actedAtMs !== before.actedAtMs) {
      workers.set(workerId, { ...view, isCommandStale: true });
    }
  });
  return {
    state: {
      ...state,
      workers,
      preempted: evicted.size === 0 ? state.preempted : new Set([...state.preempted, ...evicted]),
      interference: { ...state.interference, controls },
    },
    effects: [
      counted('interference_throttle_changes', throttleCount),
      counted('interference_evictions', evicted.size),
    ],
  };
};

/** Runs one interference step if it is due. Without confirmed rows nothing is learnt or decided. */
export const stepInterference = (state: CellState, nowMs: number): CellDecision => {
  const { rows, interference, timing } = state;
  if (!timing.interference.isEnabled || rows === undefined || nowMs < interference.nextStepAtMs) {
    return { state, effects: [] };
  }
  const observed = observe(state, rows, nowMs);
  const learnt = learnFromSamples(state, observed, nowMs);
  const steps = controlWorkers(learnt.state, rows, observed.loads, nowMs);
  const next = { ...steps.state.interference, nextStepAtMs: nowMs + STEP_INTERVAL_MS };
  return {
    state: { ...steps.state, interference: next },
    effects: [...learnt.effects, ...steps.effects].filter(
      (effect) => effect.kind !== 'count' || effect.amount > 0,
    ),
  };
};
