/** A worker of the platform over HTTP, behind a relay; it may drain, leave, crash and come back. */
import { setTimeout as delay } from 'node:timers/promises';

import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';

import {
  OrderOutcome,
  type RunningTask,
  StartOutcome,
} from '../../../src/services/fleet/common/fleetWorker.js';
import { listeningPort } from '../../../src/services/http/node/listening.js';
import { type ModelRun, WorkerModel } from '../../../standIns/fleet/workerModel.js';
import { type Silence, SilentRelay } from '../../../standIns/relay/silentRelay.js';
import {
  Absence,
  CAPACITY,
  type FleetWorkerParts,
  MAXIMUM_LEASE_MS,
  SERVICE,
  STOP_MS,
} from './fleetWorkerParts.js';
import {
  answerOrder,
  INSTANCE_HEADER,
  lastingPercent,
  type Order,
  STATUS_OTHER_WORKER,
  toHoldBody,
} from './orderForms.js';
import { SilentPort } from './silentPort.js';
import { RunOutcome, type Zone, ZONE_HOSTS, ZONES } from './soakTypes.js';

const HOLD_POLL_MS = 20;
const BYTES_PER_MEGABYTE = 1024 * 1024;
/** The platform drops the entry of a worker that has been silent for so long. */
const ENTRY_EXPIRY_MS = 3_300;

export class FleetWorker {
  readonly #parts: FleetWorkerParts;

  readonly #model: WorkerModel;

  readonly #server: FastifyInstance = Fastify({ forceCloseConnections: true });

  readonly #running = new Map<string, ModelRun>();

  /** By the zone whose instances call through them. */
  #doors: readonly (readonly [Zone, SilentRelay])[] = [];

  #silentPort: SilentPort | undefined;

  #port = 0;

  #startFence = 0;

  /** Cuts in force, which keep it from the store. */
  #cutCount = 0;

  isUp = false;

  isDraining = false;

  #staysUntilMs = Number.POSITIVE_INFINITY;

  constructor(parts: FleetWorkerParts) {
    this.#parts = parts;
    this.#model = new WorkerModel(
      {
        id: parts.id,
        capacity: {
          processorMillis: CAPACITY.processorMillis,
          memoryBytes: CAPACITY.memoryMegabytes * BYTES_PER_MEGABYTE,
          acceleratorCount: 0,
        },
        maximumLeaseMs: MAXIMUM_LEASE_MS,
        stopMs: STOP_MS,
        clockRate: parts.clockRate,
        taskOf: parts.taskOf,
        onStart: (taskName, run, nowMs) => {
          const fence = this.#startFence;
          parts.log('start', { lifeKey: this.lifeKey, taskName, run, fence });
          parts.judge.noteStart({ lifeKey: this.lifeKey, taskName, run, fence }, nowMs);
        },
      },
      parts.nowMs(),
    );
    this.#serve('/api/hold', (order, reply) => this.#hold(order, reply));
    this.#serve('/api/run-start', (order, reply) => this.#start(order, reply));
    this.#serve('/api/run-stop', (order, reply) => this.#stop(order, reply));
  }

  get id(): string {
    return this.#parts.id;
  }

  get isCut(): boolean {
    return this.#cutCount > 0;
  }

  get port(): number {
    return this.#port;
  }

  get lifeKey(): string {
    return `${this.id}/${this.#model.incarnation}`;
  }

  async start(): Promise<void> {
    await this.#server.listen({ host: '127.0.0.1', port: 0 });
    // Its own listener keeps the port from other processes while doors are closed.
    this.#port = listeningPort(this.#server);
    this.#doors = ZONES.map((zone) => [zone, new SilentRelay(this.#port, ZONE_HOSTS[zone])]);
    await this.#open();
  }

  /** Says that it leaves, and for how long it surely stays; it goes on working until `leave`. */
  drain(remainingMs: number): void {
    this.isDraining = true;
    this.#staysUntilMs = this.#parts.nowMs() + remainingMs;
    this.#register();
    this.#parts.judge.noteDraining(this.lifeKey, this.#parts.nowMs());
    this.#silentPort = new SilentPort(this.#port, Object.values(ZONE_HOSTS));
  }

  leave(absence: Absence): void {
    this.#end(absence);
    this.#parts.store.remove('servers', this.id);
  }

  /** Ends without a word; its entry expires unless it is back by then. */
  async crash(absence: Absence, backAfterMs: number | undefined): Promise<void> {
    this.#silentPort = new SilentPort(this.#port, Object.values(ZONE_HOSTS));
    this.#end(absence);
    const expiryMs = Math.min(ENTRY_EXPIRY_MS, backAfterMs ?? ENTRY_EXPIRY_MS);
    await delay(expiryMs);
    if (expiryMs === ENTRY_EXPIRY_MS) this.#parts.store.remove('servers', this.id);
    if (backAfterMs === undefined) return;
    await delay(backAfterMs - expiryMs);
    await this.#silentPort?.close();
    this.#model.restart(this.#parts.nowMs());
    await this.#open();
  }

  /**
   * Nobody reaches it for a while, nor does it reach the store; what it runs runs on. With a zone,
   * that zone is cut off from the others, which this worker is in or not.
   */
  async cut(absence: Absence, durationMs: number, cutZone?: Zone): Promise<void> {
    const isInside = cutZone === undefined || cutZone === this.#parts.zone;
    const heals = this.#doors
      .filter(([zone]) => cutZone === undefined || (zone === cutZone) !== isInside)
      .map(([, relay]) => relay.cut(absence === Absence.Refusing));
    if (isInside) await this.#missStore(durationMs);
    else await delay(durationMs);
    await Promise.all(heals.map((heal) => heal()));
    if (isInside && this.isUp) this.#register();
  }

  async #missStore(durationMs: number): Promise<void> {
    this.#cutCount += 1;
    const expiryMs = Math.min(ENTRY_EXPIRY_MS, durationMs);
    await delay(expiryMs);
    if (expiryMs === ENTRY_EXPIRY_MS) this.#parts.store.remove('servers', this.id);
    await delay(durationMs - expiryMs);
    this.#cutCount -= 1;
  }

  resetConnections(): void {
    this.#doors.forEach(([, relay]) => relay.resetAll());
  }

  silenceConnections(silence: Silence): void {
    this.#doors.forEach(([, relay]) => relay.silenceAll(silence));
  }

  /** Lets what is due happen, and tells the judge of what has ended. */
  advance(nowMs: number): void {
    if (!this.isUp) return;
    this.#model.advance(nowMs);
    const { leaseEndsAtMs } = this.#model;
    this.#running.forEach((run, taskName) => {
      if (this.#model.runs.get(taskName) === run) return;
      this.#running.delete(taskName);
      const isOwnEnd = run.endsAtMs <= leaseEndsAtMs;
      const outcome = isOwnEnd && run.end === 'done' ? RunOutcome.Done : RunOutcome.Other;
      const endedAtMs = Math.min(run.endsAtMs, leaseEndsAtMs);
      this.#noteEnd(taskName, outcome, endedAtMs);
    });
    if (leaseEndsAtMs <= nowMs) this.#parts.judge.noteLeaseLapsed(this.lifeKey);
  }

  async close(): Promise<void> {
    this.isUp = false;
    this.#doors.forEach(([, relay]) => relay.close());
    await this.#silentPort?.close();
    await this.#server.close();
  }

  async #open(): Promise<void> {
    await Promise.all(this.#doors.map(([, relay]) => relay.listen(this.#port)));
    this.isUp = true;
    this.#parts.judge.noteWorker({ key: this.lifeKey, workerId: this.id, capacity: CAPACITY });
    this.#register();
  }

  #end(absence: Absence): void {
    const nowMs = this.#parts.nowMs();
    this.advance(nowMs);
    this.isUp = false;
    this.#running.forEach((_, taskName) => this.#noteEnd(taskName, RunOutcome.Other, nowMs));
    this.#running.clear();
    this.#parts.judge.noteWorkerGone(this.lifeKey);
    this.#model.crash();
    if (absence === Absence.Refusing) {
      this.#doors.forEach(([, relay]) => relay.close());
      return;
    }
    this.#doors.forEach(([, relay]) => {
      relay.silenceAll('both');
      relay.stopListening();
    });
    if (this.#silentPort?.takeOver() !== true) throw new Error(`port ${this.#port} is not silent`);
  }

  #register(): void {
    if (this.isCut) return;
    const { id, zone, rack, store } = this.#parts;
    store.put('servers', id, {
      Service: SERVICE,
      Address: `127.0.0.1:${this.#port}`,
      Zone: zone,
      State: this.isDraining ? 'draining' : 'ready',
      ...(this.isDraining && {
        RemainingMs: Math.max(0, Math.floor(this.#staysUntilMs - this.#parts.nowMs())),
      }),
      Capacity: { Cpu: CAPACITY.processorMillis, MemMb: CAPACITY.memoryMegabytes },
      Labels: ['plain', rack],
      born: this.#model.incarnation,
    });
  }

  #serve(path: string, handle: (order: Order, reply: FastifyReply) => Promise<FastifyReply>): void {
    this.#server.post(path, async (request: FastifyRequest, reply) => {
      if (request.headers[INSTANCE_HEADER] !== this.id) {
        return reply.code(STATUS_OTHER_WORKER).send({});
      }
      if (!this.isUp) return reply.hijack();
      this.#parts.advanceAll();
      return handle(request.body as Order, reply);
    });
  }

  async #hold(order: Order, reply: FastifyReply): Promise<FastifyReply> {
    const { lifeKey } = this;
    const acknowledgedSequence = order.AckedUpto ?? 0;
    const request = { ...this.#reference(order), acknowledgedSequence, waitMs: 0 };
    const due = order.DueMs === undefined ? {} : { leaseEndWorkerMs: order.DueMs };
    const first = this.#model.hold({ ...request, ...due }, this.#parts.nowMs());
    if (first.kind !== 'held') return answerOrder(reply, StartOutcome.Fenced);
    this.#noteFence(request.fence);
    this.#parts.judge.noteAcknowledged(lifeKey, acknowledgedSequence, this.#parts.nowMs());
    const endsAtMs = this.#parts.nowMs() + (order.WaitMs ?? 0);
    while (
      this.lifeKey === lifeKey &&
      this.#parts.nowMs() < endsAtMs &&
      !this.#hasNews(acknowledgedSequence)
    ) {
      // eslint-disable-next-line no-await-in-loop -- waits for an end, at most as long as asked
      await delay(HOLD_POLL_MS);
    }
    // Another life, or none, has nothing to say to this caller.
    if (this.lifeKey !== lifeKey || !this.isUp) return reply.hijack();
    this.advance(this.#parts.nowMs());
    const held = this.#model.hold(request, this.#parts.nowMs());
    if (held.kind !== 'held') return answerOrder(reply, StartOutcome.Fenced);
    held.answer.finished.forEach(({ sequence, taskName }) =>
      this.#parts.judge.noteListed(lifeKey, sequence, taskName),
    );
    return reply.send(toHoldBody(held.answer, (run) => this.#percentOf(run)));
  }

  #hasNews(acknowledgedSequence: number): boolean {
    this.advance(this.#parts.nowMs());
    return this.#model.hasNewEnds(acknowledgedSequence, this.#parts.nowMs());
  }

  async #start(order: Order, reply: FastifyReply): Promise<FastifyReply> {
    const request = {
      ...this.#reference(order),
      spec: order.Spec ?? '',
      leaseEndWorkerMs: order.DueMs ?? 0,
      checkpoint: '',
    };
    this.#startFence = request.fence;
    const outcome = this.#model.start(request, this.#parts.nowMs());
    const run = this.#model.runs.get(order.Task);
    if (run !== undefined) this.#running.set(order.Task, run);
    if (outcome !== StartOutcome.Fenced) this.#noteFence(request.fence);
    return answerOrder(reply, outcome);
  }

  async #stop(order: Order, reply: FastifyReply): Promise<FastifyReply> {
    const reference = this.#reference(order);
    const outcome = this.#model.stop(reference, this.#parts.nowMs());
    if (outcome === OrderOutcome.Fenced) return answerOrder(reply, StartOutcome.Fenced);
    this.#noteFence(reference.fence);
    return reply.send({});
  }

  #percentOf({ taskName, workedPercent }: RunningTask): number {
    const run = this.#running.get(taskName);
    if (run === undefined || !this.#parts.isLasting(taskName)) return workedPercent;
    return lastingPercent(this.#parts.nowMs() - run.startedAtMs);
  }

  #noteEnd(taskName: string, outcome: RunOutcome, endedAtMs: number): void {
    this.#parts.log('end', { lifeKey: this.lifeKey, taskName, outcome, endedAtMs });
    this.#parts.judge.noteEnd(this.lifeKey, taskName, outcome, endedAtMs);
  }

  #noteFence(fence: number): void {
    this.#parts.judge.noteFence(this.lifeKey, fence, this.#parts.nowMs());
  }

  #reference({ Task, Run, Fence }: Order) {
    return { workerId: this.id, address: '', taskName: Task, run: Run, fence: Fence ?? 0 };
  }
}
