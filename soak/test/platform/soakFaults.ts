/** Carries out faults on instances, workers and the store, and records the fault windows. */
import { setTimeout as delay } from 'node:timers/promises';

import { type RandomSource, SeededRandom } from '../../../src/base/common/random.js';
import type { StoreOutcome } from '../../../platform/test/storeServer.js';
import { Silence } from '../../../standIns/relay/silentRelay.js';
import type { DaemonInstance } from './daemonInstance.js';
import { FaultKind, type PlannedFault } from './faultPlan.js';
import type { FaultWindows } from './faultWindows.js';
import type { FleetWorker } from './fleetWorker.js';
import { Absence } from './fleetWorkerOptions.js';
import { FaultScope, type WriteLog, ZONES } from './soakTypes.js';
import type { StoreFaults } from './storeFaults.js';

const STOP_INTERVAL_MS = 2_000;
const RESTART_MS = 300;
const LEAVE_INTERVAL_MS = 700;
/** The time from the announcement that a worker drains to its end. */
const DRAIN_MS = 4_500;
/** The minimum stay that a draining worker announces. */
const ANNOUNCED_STAY_MS = 2_000;
const LOST_ENTRY_MS = 3_300;
const RESTART_COUNT = 4;
/** The upper bound of both the downtime and the uptime in repeated restarts. */
const RESTART_SPREAD_MS = 1_200;
const QUICK_RESTART_SPREAD_MS = 100;
const SLOW_STORE_MS = 400;
const SLOW_ORDER_MS = 250;
const LOST_ANSWER_RATIO = 0.3;
const AFFECTED_RATIO = 0.4;
const ALL_CALLS_RATIO = 1;
const REFUSAL_OUTCOMES: readonly StoreOutcome[] = ['refuse', 'reset', 'ignore'];

export interface FaultTargets {
  readonly instances: readonly DaemonInstance[];
  readonly workers: () => readonly FleetWorker[];
  readonly addWorker: () => Promise<void>;
  readonly store: StoreFaults;
  readonly faultWindows: FaultWindows;
  readonly nowMs: () => number;
  readonly log: WriteLog;
  readonly addFinding: (text: string) => void;
}

const shuffled = <T>(items: readonly T[], random: RandomSource): T[] =>
  items
    .map((item) => ({ item, order: random.nextFraction() }))
    .sort((left, right) => left.order - right.order)
    .map(({ item }) => item);

export class SoakFaults {
  readonly #targets: FaultTargets;

  constructor(targets: FaultTargets) {
    this.#targets = targets;
  }

  /** Carries out a fault. Resolves when it is over and the processes that it ended run again. */
  async perform(fault: PlannedFault): Promise<void> {
    const { kind, count, durationMs, isSilent } = fault;
    const random = new SeededRandom(fault.choiceSeed);
    this.#targets.log('fault', { kind, count, durationMs, isSilent });
    const absence = isSilent ? Absence.Silent : Absence.Refusing;
    const chosenWorkers = shuffled(this.#steadyWorkers(), random).slice(0, count);
    switch (kind) {
      case FaultKind.StopInTurn:
        return this.#stopInTurn(count);
      case FaultKind.StopOne:
        return this.#stopInTurn(1);
      case FaultKind.KillInstances:
        return this.#killInstances(shuffled(this.#steadyInstances(), random).slice(0, count));
      case FaultKind.LosePower:
        return this.#losePower(shuffled(this.#steadyInstances(), random)[0]);
      case FaultKind.FreezeInstance:
        return this.#freeze(shuffled(this.#steadyInstances(), random)[0], durationMs);
      case FaultKind.WorkersLeave:
        return this.#workersLeave(chosenWorkers, absence);
      case FaultKind.AddWorkers:
        return this.#addWorkers(count);
      case FaultKind.CrashWorkers:
        return this.#crash(chosenWorkers, absence, durationMs);
      case FaultKind.RestartWorkers:
        return this.#restartAll(chosenWorkers, absence, RESTART_SPREAD_MS, random);
      case FaultKind.RestartBesideSlowStore: {
        const slow = this.#disturbStore(FaultKind.StoreSlow, durationMs, random);
        const steady = this.#steadyWorkers();
        await this.#restartAll(steady, Absence.Refusing, QUICK_RESTART_SPREAD_MS, random);
        return slow;
      }
      case FaultKind.LoseWorkers:
        return this.#lose(chosenWorkers, absence);
      case FaultKind.SlowOrders:
        return this.#slowOrders(chosenWorkers, durationMs);
      case FaultKind.CutWorkers:
        return this.#cut(chosenWorkers, absence, durationMs);
      case FaultKind.CutZone:
        return this.#cutZone(random, absence, durationMs);
      case FaultKind.KillBesideCut: {
        const cut = this.#cut(chosenWorkers, absence, durationMs);
        await this.#killInstances(this.#steadyInstances());
        return cut;
      }
      case FaultKind.ResetConnections:
      case FaultKind.SilenceConnections:
        return this.#disturbConnections(kind, random);
      default:
        return this.#disturbStore(kind, durationMs, random);
    }
  }

  async #stopInTurn(count: number): Promise<void> {
    const stops: Promise<void>[] = [];
    for (let index = 0; index < count; index += 1) {
      const instance = this.#steadyInstances()[index % this.#targets.instances.length];
      const next = instance ?? this.#steadyInstances()[0];
      if (next !== undefined) stops.push(this.#stop(next));
      // eslint-disable-next-line no-await-in-loop -- one after the other
      if (index + 1 < count) await delay(STOP_INTERVAL_MS);
    }
    await Promise.all(stops);
  }

  async #stop(instance: DaemonInstance): Promise<void> {
    const { log, addFinding: find, faultWindows: times, nowMs } = this.#targets;
    log('stop', { instance: instance.id });
    const askedAtMs = nowMs();
    times.add(FaultScope.Planned, askedAtMs, askedAtMs);
    const isInTime = await instance.stop();
    const isCalm = times.isCalm(askedAtMs, nowMs());
    if (!isInTime && isCalm) find(`${instance.id} did not end within its grace`);
    await delay(RESTART_MS);
    await instance.start();
  }

  async #killInstances(instances: readonly DaemonInstance[]): Promise<void> {
    this.#addFaultWindow(FaultScope.Unplanned, RESTART_MS);
    await Promise.all(
      instances.map(async (instance) => {
        this.#targets.log('kill', { instance: instance.id });
        await instance.kill();
        await delay(RESTART_MS);
        await instance.start();
      }),
    );
  }

  async #freeze(instance: DaemonInstance | undefined, durationMs: number): Promise<void> {
    if (instance === undefined) return;
    this.#targets.log('freeze', { instance: instance.id });
    this.#addFaultWindow(FaultScope.Core, durationMs);
    instance.freeze();
    await delay(durationMs);
    instance.resume();
  }

  async #workersLeave(workers: readonly FleetWorker[], absence: Absence): Promise<void> {
    const leaves: Promise<void>[] = [];
    for (let index = 0; index < workers.length; index += 1) {
      const worker = workers[index];
      if (worker !== undefined) leaves.push(this.#leave(worker, absence));
      // eslint-disable-next-line no-await-in-loop -- one after the other
      await delay(LEAVE_INTERVAL_MS);
    }
    await Promise.all(leaves);
  }

  async #leave(worker: FleetWorker, absence: Absence): Promise<void> {
    if (!worker.isUp || worker.isDraining || worker.isCut) return;
    this.#addFaultWindow(FaultScope.Planned, DRAIN_MS);
    this.#targets.log('drain', { worker: worker.id });
    worker.drain(ANNOUNCED_STAY_MS);
    await delay(DRAIN_MS);
    this.#targets.log('leave', { worker: worker.id, absence });
    worker.leave(absence);
    await this.#targets.addWorker();
  }

  async #addWorkers(count: number): Promise<void> {
    this.#addFaultWindow(FaultScope.Planned, 0);
    await Promise.all(Array.from({ length: count }, () => this.#targets.addWorker()));
  }

  async #losePower(instance: DaemonInstance | undefined): Promise<void> {
    if (instance === undefined) return;
    const workers = this.#targets.workers();
    workers.forEach((worker) => Object.assign(worker, { areEndsUnseen: true }));
    await this.#killInstances([instance]);
    workers.forEach((worker) => Object.assign(worker, { areEndsUnseen: false }));
  }

  async #slowOrders(workers: readonly FleetWorker[], durationMs: number): Promise<void> {
    this.#addFaultWindow(FaultScope.Unplanned, durationMs);
    const setDelay = (orderDelayMs: number): void =>
      workers.forEach((worker) => Object.assign(worker, { orderDelayMs }));
    setDelay(SLOW_ORDER_MS);
    await delay(durationMs);
    setDelay(0);
  }

  async #crash(workers: readonly FleetWorker[], absence: Absence, backMs: number): Promise<void> {
    this.#addFaultWindow(FaultScope.Unplanned, backMs);
    const ids = workers.map(({ id }) => id);
    this.#targets.log('crash', { workers: ids, absence, backMs });
    await Promise.all(workers.map((worker) => worker.crash(absence, backMs)));
  }

  async #restartAll(
    workers: readonly FleetWorker[],
    absence: Absence,
    downSpreadMs: number,
    random: RandomSource,
  ): Promise<void> {
    const restarts = workers.map((worker) => {
      const draws = Array.from({ length: RESTART_COUNT }, () => [
        random.nextIndex(downSpreadMs),
        random.nextIndex(RESTART_SPREAD_MS),
      ]).flat();
      return this.#restart(worker, absence, draws);
    });
    await Promise.all(restarts);
  }

  async #restart(worker: FleetWorker, absence: Absence, draws: readonly number[]): Promise<void> {
    const [awayMs, backMs, ...later] = draws;
    if (awayMs === undefined || !worker.isUp || worker.isDraining) return;
    await this.#crash([worker], absence, awayMs);
    await delay(backMs);
    await this.#restart(worker, absence, later);
  }

  async #lose(workers: readonly FleetWorker[], absence: Absence): Promise<void> {
    this.#addFaultWindow(FaultScope.Unplanned, LOST_ENTRY_MS);
    this.#targets.log('lose', { workers: workers.map(({ id }) => id), absence });
    await Promise.all(workers.map((worker) => worker.crash(absence, undefined)));
    await this.#addWorkers(workers.length);
  }

  async #cut(workers: readonly FleetWorker[], absence: Absence, durationMs: number): Promise<void> {
    this.#addFaultWindow(FaultScope.Unplanned, durationMs);
    this.#targets.log('cut', { workers: workers.map(({ id }) => id), absence, durationMs });
    await Promise.all(workers.map((worker) => worker.cut(absence, durationMs)));
  }

  async #cutZone(random: RandomSource, absence: Absence, durationMs: number): Promise<void> {
    const zone = ZONES[random.nextIndex(ZONES.length)] ?? 'zone-a';
    this.#addFaultWindow(FaultScope.Core, durationMs);
    this.#targets.log('cut-zone', { zone, absence, durationMs });
    const heals = this.#targets.instances
      .filter((instance) => instance.zone === zone)
      .map(({ storeRelay }) => storeRelay.cut(absence === Absence.Refusing));
    await Promise.all(
      this.#targets.workers().map((worker) => worker.cut(absence, durationMs, zone)),
    );
    await Promise.all(heals.map((heal) => heal()));
    this.#targets.log('fault-ended', { kind: FaultKind.CutZone, zone });
  }

  async #disturbConnections(kind: FaultKind, random: RandomSource): Promise<void> {
    this.#addFaultWindow(FaultScope.Core, 0);
    const directions = Object.values(Silence);
    const direction = directions[random.nextIndex(directions.length)] ?? Silence.Both;
    const isReset = kind === FaultKind.ResetConnections;
    const isAffected = (): boolean => random.nextFraction() < AFFECTED_RATIO;
    const instances = this.#targets.instances.filter(isAffected);
    const workers = this.#steadyWorkers().filter(isAffected);
    const ids = [...instances, ...workers].map(({ id }) => id);
    this.#targets.log('connections', { kind, direction, ids });
    instances
      .flatMap(({ storeRelay, callerRelay }) => [storeRelay, ...(callerRelay ? [callerRelay] : [])])
      .forEach((relay) => (isReset ? relay.resetAll() : relay.silenceAll(direction)));
    workers.forEach((worker) =>
      isReset ? worker.resetConnections() : worker.silenceConnections(direction),
    );
  }

  async #disturbStore(kind: FaultKind, durationMs: number, random: RandomSource): Promise<void> {
    this.#addFaultWindow(FaultScope.Core, durationMs);
    const end = this.#targets.store.add(this.#storeRule(kind, random));
    await delay(durationMs);
    end();
    this.#targets.log('fault-ended', { kind });
  }

  #storeRule(kind: FaultKind, random: RandomSource): Parameters<StoreFaults['add']>[0] {
    if (kind === FaultKind.StoreSlow) {
      return { outcome: 'serve', ratio: ALL_CALLS_RATIO, delayMs: random.nextIndex(SLOW_STORE_MS) };
    }
    if (kind === FaultKind.StoreLosesAnswers) {
      return { outcome: 'lose-answer', ratio: LOST_ANSWER_RATIO, delayMs: 0 };
    }
    const outcome = REFUSAL_OUTCOMES[random.nextIndex(REFUSAL_OUTCOMES.length)] ?? 'refuse';
    const isForSome = kind === FaultKind.StoreTurnsAway;
    const affected = this.#targets.instances.filter(() => random.nextFraction() < AFFECTED_RATIO);
    this.#targets.log('store', {
      kind,
      outcome,
      ...(isForSome && { ids: affected.map(({ id }) => id) }),
    });
    const hosts = isForSome ? { hosts: new Set(affected.map(({ storeHost }) => storeHost)) } : {};
    return { outcome, ratio: ALL_CALLS_RATIO, delayMs: 0, ...hosts };
  }

  #addFaultWindow(scope: FaultScope, durationMs: number): void {
    const nowMs = this.#targets.nowMs();
    this.#targets.faultWindows.add(scope, nowMs, nowMs + durationMs);
  }

  #steadyInstances(): readonly DaemonInstance[] {
    return this.#targets.instances.filter(({ isSteady }) => isSteady);
  }

  #steadyWorkers(): readonly FleetWorker[] {
    return this.#targets.workers().filter(({ isUp, isDraining }) => isUp && !isDraining);
  }
}
