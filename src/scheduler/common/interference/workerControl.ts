/** Decides what to throttle, release or evict on one worker. */
import type { InterferencePolicy } from './interferencePolicy.js';
import { type InterferenceState, usageRatio, type WorkerControl } from './interferenceState.js';
import type { Pressure } from './serviceModel.js';
import { type BatchLoad, loadFingerprint, type WorkerLoad } from './workerLoad.js';

export interface ControlStep {
  readonly control: WorkerControl;
  /** The attempt to evict, if any. */
  readonly evictedKey: string | undefined;
}

/** Factor by which one step lowers or raises a share. */
const STEP_FACTOR = 2;
/** A task that slows services by less than this is never throttled or evicted for it. */
const NEGLIGIBLE_SLOWDOWN = 0.01;

interface TaskPressure {
  readonly task: BatchLoad;
  /** The slowdown that the task adds to each service, by usage and by presence. */
  readonly slowdowns: readonly Pressure[];
}

type Shares = ReadonlyMap<string, number>;

/** Updates the control state with what runs on the worker now, without deciding anything. */
export const observedControl = (
  known: WorkerControl | undefined,
  load: WorkerLoad,
  nowMs: number,
): WorkerControl => {
  const fingerprint = loadFingerprint(load);
  if (known?.fingerprint === fingerprint) return known;
  const shares = load.batch.map(({ key, processorShare }): [string, number] => [
    key,
    known?.shares.get(key) ?? processorShare,
  ]);
  const firstSeen = [...load.serviceNames, ...load.batch.map(({ key }) => key)].map(
    (key): [string, number] => [key, known?.firstSeenAtMs.get(key) ?? nowMs],
  );
  return {
    fingerprint,
    changedAtMs: nowMs,
    actedAtMs: known?.actedAtMs ?? Number.NEGATIVE_INFINITY,
    throttlingInsufficientSinceMs: known?.throttlingInsufficientSinceMs,
    shares: new Map(shares),
    firstSeenAtMs: new Map(firstSeen),
  };
};

const taskPressures = (
  interference: InterferenceState,
  { serviceNames, batch }: WorkerLoad,
  doubtDeviations: number,
  nowMs: number,
): readonly TaskPressure[] =>
  batch.map((task) => {
    const exposure = task.declaredShare * usageRatio(interference, task.kind);
    const slowdowns = serviceNames.map((name) => {
      const pressure = interference.estimates.pressure(name, task.kind, doubtDeviations, nowMs);
      return {
        byUse: pressure.byUse * exposure,
        byPresence: pressure.byPresence * exposure,
      };
    });
    return { task, slowdowns };
  });

/** The slowdown that a task causes to one service at this share of its processors. */
const slowdownAt = (pressure: Pressure | undefined, share: number): number =>
  pressure === undefined ? 0 : pressure.byUse * share + pressure.byPresence;

const worstSlowdownOf = ({ slowdowns }: TaskPressure, share: number): number =>
  Math.max(0, ...slowdowns.map((pressure) => slowdownAt(pressure, share)));

/**
 * The highest slowdown of a service by the task's usage, which is the part that throttling reduces.
 */
const worstSlowdownByUse = ({ slowdowns }: TaskPressure): number =>
  Math.max(0, ...slowdowns.map(({ byUse }) => byUse));

const shareOf = (shares: Shares, { task }: TaskPressure): number => shares.get(task.key) ?? 1;

/** The slowdown of the most affected service with these shares. */
const worstSlowdown = (pressures: readonly TaskPressure[], shares: Shares): number => {
  const serviceCount = pressures[0]?.slowdowns.length ?? 0;
  let worst = 0;
  for (let index = 0; index < serviceCount; index += 1) {
    const slowdown = pressures.reduce(
      (sum, one) => sum + slowdownAt(one.slowdowns[index], shareOf(shares, one)),
      0,
    );
    worst = Math.max(worst, slowdown);
  }
  return worst;
};

/**
 * Lowers the share of the task with the strongest effect, repeatedly, until the services are fast
 * enough or nothing more can be lowered.
 */
const throttledShares = (
  pressures: readonly TaskPressure[],
  before: Shares,
  policy: InterferencePolicy,
): Shares => {
  const shares = new Map(before);
  const slowdownByUse = (one: TaskPressure): number =>
    worstSlowdownByUse(one) * shareOf(shares, one);
  const isReducible = (one: TaskPressure): boolean =>
    shareOf(shares, one) > policy.minimumProcessorShare && slowdownByUse(one) > NEGLIGIBLE_SLOWDOWN;
  while (worstSlowdown(pressures, shares) > policy.toleratedSlowdown) {
    const [strongest] = pressures
      .filter(isReducible)
      .sort((left, right) => slowdownByUse(right) - slowdownByUse(left));
    if (strongest === undefined) return shares;
    const share = shareOf(shares, strongest) / STEP_FACTOR;
    shares.set(strongest.task.key, Math.max(policy.minimumProcessorShare, share));
  }
  return shares;
};

/**
 * Raises shares fully or by one step, tasks with the weakest effect first, as long as the predicted
 * slowdown stays within `releaseSlowdown`.
 */
const releasedShares = (
  pressures: readonly TaskPressure[],
  before: Shares,
  policy: InterferencePolicy,
): Shares => {
  const shares = new Map(before);
  [...pressures]
    .sort((left, right) => worstSlowdownByUse(left) - worstSlowdownByUse(right))
    .forEach((one) => {
      const share = shareOf(shares, one);
      if (share >= 1) return;
      const raisedShare = [1, share * STEP_FACTOR].find(
        (next) =>
          next <= 1 &&
          worstSlowdown(pressures, new Map(shares).set(one.task.key, next)) <=
            policy.releaseSlowdown,
      );
      if (raisedShare !== undefined) shares.set(one.task.key, raisedShare);
    });
  return shares;
};

/**
 * The cost of evicting a task: the lost progress and the restart, weighted by the task's
 * processors.
 */
const evictionCost = (
  { task }: TaskPressure,
  control: WorkerControl,
  policy: InterferencePolicy,
  nowMs: number,
): number => {
  const ranForMs = nowMs - (control.firstSeenAtMs.get(task.key) ?? nowMs);
  return task.declaredShare * ((task.unsavedWorkMs ?? ranForMs) + policy.restartCostMs);
};

/**
 * Chooses one task to evict: the cheapest of those whose eviction alone suffices, so that few tasks
 * are evicted. If no single eviction suffices, it is the task with the most relief for its cost.
 */
const chooseVictim = (
  pressures: readonly TaskPressure[],
  control: WorkerControl,
  policy: InterferencePolicy,
  nowMs: number,
): string | undefined => {
  const cost = (one: TaskPressure): number => evictionCost(one, control, policy, nowMs);
  const slowdownWithout = (one: TaskPressure): number =>
    worstSlowdown(
      pressures.filter((other) => other !== one),
      control.shares,
    );
  const antagonists = pressures.filter(
    (one) => worstSlowdownOf(one, shareOf(control.shares, one)) > NEGLIGIBLE_SLOWDOWN,
  );
  const sufficient = antagonists
    .filter((one) => slowdownWithout(one) <= policy.evictionSlowdown)
    .sort((left, right) => cost(left) - cost(right));
  const relief = (one: TaskPressure): number =>
    worstSlowdownOf(one, shareOf(control.shares, one)) / Math.max(Number.EPSILON, cost(one));
  const [mostEffective] = antagonists.sort((left, right) => relief(right) - relief(left));
  return (sufficient[0] ?? mostEffective)?.task.key;
};

/**
 * Whether a task or a replica has started since the last action. Its effect follows from the
 * estimates, so throttling need not wait for new samples. Such a change leads at most to
 * throttling, once for each new task.
 */
const hasNewTask = ({ firstSeenAtMs, actedAtMs }: WorkerControl): boolean =>
  [...firstSeenAtMs.values()].some((atMs) => atMs > actedAtMs);

const isSameShares = (left: Shares, right: Shares): boolean =>
  left.size === right.size && [...left].every(([key, share]) => right.get(key) === share);

/**
 * Decides the next control action on one worker. Designed for batch work whose load comes in waves,
 * beside a service whose latency becomes known only seconds later. Throttling follows from the
 * estimates and the current shares, not from latencies that are still to be reported. After each
 * action, the worker is left unchanged for `settleMs`, in which samples of the new state arrive:
 * acting on samples of the old state would throttle, release and throttle again. Between
 * `releaseSlowdown` and `toleratedSlowdown` nothing changes. A task is evicted only after
 * throttling has been insufficient for `evictAfterMs`, and one at a time, since each loses progress
 * and has to start again.
 */
export const controlStep = (
  interference: InterferenceState,
  control: WorkerControl,
  load: WorkerLoad,
  policy: InterferencePolicy,
  mayRelease: boolean,
  mayEvict: boolean,
  nowMs: number,
): ControlStep => {
  const pressures = taskPressures(interference, load, policy.doubtDeviations, nowMs);
  const slowdown = worstSlowdown(pressures, control.shares);
  const isSettled = nowMs - control.actedAtMs >= policy.settleMs;
  if (slowdown <= policy.toleratedSlowdown) {
    const idle = { ...control, throttlingInsufficientSinceMs: undefined };
    const isThrottled = [...control.shares.values()].some((share) => share < 1);
    if (!isThrottled || !isSettled || !mayRelease) return { control: idle, evictedKey: undefined };
    const shares = releasedShares(pressures, control.shares, policy);
    if (isSameShares(shares, control.shares)) return { control: idle, evictedKey: undefined };
    return { control: { ...idle, shares, actedAtMs: nowMs }, evictedKey: undefined };
  }
  const shares = throttledShares(pressures, control.shares, policy);
  if (!isSameShares(shares, control.shares)) {
    if (!isSettled && !hasNewTask(control)) return { control, evictedKey: undefined };
    return {
      control: { ...control, shares, actedAtMs: nowMs, throttlingInsufficientSinceMs: undefined },
      evictedKey: undefined,
    };
  }
  if (slowdown <= policy.evictionSlowdown) {
    return {
      control: { ...control, throttlingInsufficientSinceMs: undefined },
      evictedKey: undefined,
    };
  }
  const throttlingInsufficientSinceMs = control.throttlingInsufficientSinceMs ?? nowMs;
  const insufficientControl = { ...control, throttlingInsufficientSinceMs };
  const isEvictionDue = nowMs - throttlingInsufficientSinceMs >= policy.evictAfterMs;
  if (!isEvictionDue || !isSettled || !mayEvict)
    return { control: insufficientControl, evictedKey: undefined };
  const evictedKey = chooseVictim(pressures, control, policy, nowMs);
  return {
    control: { ...insufficientControl, actedAtMs: nowMs, throttlingInsufficientSinceMs: undefined },
    evictedKey,
  };
};
