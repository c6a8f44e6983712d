/** A fleet worker that serves HTTP behind relays and can drain, leave, crash and restart. */
import type { Socket } from 'node:net';
import { setTimeout as delay } from 'node:timers/promises';

import Fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify';

import {
  OrderOutcome,
  RunEnd,
  type RunningTask,
  StartOutcome,
} from '../../../src/services/fleet/common/fleetWorker.js';
import { listeningPort } from '../../../src/services/http/node/listening.js';
import { type ModelRun, WorkerModel } from '../../../standIns/fleet/workerModel.js';
import { type Silence, SilentRelay } from '../../../standIns/relay/silentRelay.js';
import {
  Absence,
  CAPACITY,
  type FleetWorkerOptions,
  MAXIMUM_LEASE_MS,
  SERVICE,
  STOP_MS,
} from './fleetWorkerOptions.js';
import {
  answerOrder,
  INSTANCE_HEADER,
  persistentPercent,
  type Order,
  STATUS_OTHER_WORKER,
  toHoldBody,
} from './orderMessages.js';
import { SilentPort } from './silentPort.js';
import { RunOutcome, type Zone, ZONE_HOSTS, ZONES } from './soakTypes.js';

const OUTCOMES: ReadonlyMap<RunEnd, RunOutcome> = new Map([
  [RunEnd.Done, RunOutcome.Done],
  [RunEnd.Failed, RunOutcome.Failed],
]);
const HOLD_POLL_MS = 20;
const BYTES_PER_MEGABYTE = 1024 * 1024;
const HOLD_PATH = '/api/hold';
const MAXIMUM_CONNECTIONS = 64;
/** The platform removes a worker's entry after this time without a write. */
const ENTRY_EXPIRY_MS = 3_300;

export class FleetWorker {
  readonly #options: FleetWorkerOptions;

  readonly #model: WorkerModel;

  readonly #server: FastifyInstance = Fastify({ forceCloseConnections: true });

  readonly #running = new Map<string, ModelRun>();

  /** One relay per zone, through which the instances of that zone call this worker. */
  #relays: readonly (readonly [Zone, SilentRelay])[] = [];

  #silentPort: SilentPort | undefined;

  #port = 0;

  #startFence = 0;

  /** The number of active cuts that keep the worker from the store. */
  #cutCount = 0;

  /** Whether the machine at the other end of the connections that end now has lost its power. */
  areEndsUnseen = false;

  /** How long orders wait before they are carried out. */
  orderDelayMs = 0;

  /** Connections whose end the worker has not seen. */
  readonly #connections = new Set<Socket>();

  isUp = false;

  isDraining = false;

  #earliestEndMs = Number.POSITIVE_INFINITY;

  constructor(options: FleetWorkerOptions) {
    this.#options = options;
    this.#model = new WorkerModel(
      {
        id: options.id,
        capacity: {
          processorMillis: CAPACITY.processorMillis,
          memoryBytes: CAPACITY.memoryMegabytes * BYTES_PER_MEGABYTE,
          acceleratorCount: 0,
        },
        maximumLeaseMs: MAXIMUM_LEASE_MS,
        stopMs: STOP_MS,
        clockRate: options.clockRate,
        taskOf: options.taskOf,
        onStart: (taskName, run, nowMs) => {
          const fence = this.#startFence;
          options.log('start', { lifeKey: this.incarnationKey, taskName, run, fence });
          options.judge.noteStart(
            { incarnationKey: this.incarnationKey, taskName, run, fence },
            nowMs,
          );
        },
      },
      options.nowMs(),
    );
    this.#server.server.on('connection', (socket) => this.#limitConnections(socket));
    this.#serve(HOLD_PATH, (order, reply) => this.#hold(order, reply));
    this.#serve('/api/run-start', (order, reply) => this.#start(order, reply));
    this.#serve('/api/run-stop', (order, reply) => this.#stop(order, reply));
  }

  get id(): string {
    return this.#options.id;
  }

  get isCut(): boolean {
    return this.#cutCount > 0;
  }

  get port(): number {
    return this.#port;
  }

  get incarnationKey(): string {
    return `${this.id}/${this.#model.incarnation}`;
  }

  async start(): Promise<void> {
    await this.#server.listen({ host: '127.0.0.1', port: 0 });
    // The server's listener reserves the port on 127.0.0.1 while the relays are closed.
    this.#port = listeningPort(this.#server);
    this.#relays = ZONES.map((zone) => [zone, new SilentRelay(this.#port, ZONE_HOSTS[zone])]);
    await this.#open();
  }

  /** Announces that the worker drains and stays at least `remainingMs`. It works until `leave`. */
  drain(remainingMs: number): void {
    this.isDraining = true;
    this.#earliestEndMs = this.#options.nowMs() + remainingMs;
    this.#register();
    this.#options.judge.noteDraining(this.incarnationKey, this.#options.nowMs());
    this.#silentPort = new SilentPort(this.#port, Object.values(ZONE_HOSTS));
  }

  leave(absence: Absence): void {
    this.#end(absence);
    this.#options.store.remove('servers', this.id);
  }

  /** Ends without notice. The worker's entry expires unless the worker is back by then. */
  async crash(absence: Absence, backAfterMs: number | undefined): Promise<void> {
    this.#silentPort = new SilentPort(this.#port, Object.values(ZONE_HOSTS));
    this.#end(absence);
    const expiryMs = Math.min(ENTRY_EXPIRY_MS, backAfterMs ?? ENTRY_EXPIRY_MS);
    await delay(expiryMs);
    if (expiryMs === ENTRY_EXPIRY_MS) this.#options.store.remove('servers', this.id);
    if (backAfterMs === undefined) return;
    await delay(backAfterMs - expiryMs);
    await this.#silentPort?.close();
    this.#model.restart(this.#options.nowMs());
    await this.#open();
  }

  /**
   * Cuts the worker off from all callers and the store for `durationMs`. Its tasks keep running.
   * With `cutZone`, that zone is cut off from the others: a worker in that zone keeps only the
   * callers of its zone, and any other worker loses only the callers of that zone.
   */
  async cut(absence: Absence, durationMs: number, cutZone?: Zone): Promise<void> {
    const isInside = cutZone === undefined || cutZone === this.#options.zone;
    const heals = this.#relays
      .filter(([zone]) => cutZone === undefined || (zone === cutZone) !== isInside)
      .map(([, relay]) => relay.cut(absence === Absence.Refusing));
    if (isInside) await this.#stayOffStore(durationMs);
    else await delay(durationMs);
    await Promise.all(heals.map((heal) => heal()));
    if (isInside && this.isUp) this.#register();
  }

  async #stayOffStore(durationMs: number): Promise<void> {
    this.#cutCount += 1;
    const expiryMs = Math.min(ENTRY_EXPIRY_MS, durationMs);
    await delay(expiryMs);
    if (expiryMs === ENTRY_EXPIRY_MS) this.#options.store.remove('servers', this.id);
    await delay(durationMs - expiryMs);
    this.#cutCount -= 1;
  }

  resetConnections(): void {
    this.#relays.forEach(([, relay]) => relay.resetAll());
  }

  silenceConnections(silence: Silence): void {
    this.#relays.forEach(([, relay]) => relay.silenceAll(silence));
  }

  /** Advances the worker's model to `nowMs` and reports ended runs and lapsed leases to the judge. */
  advance(nowMs: number): void {
    if (!this.isUp) return;
    this.#model.advance(nowMs);
    const { leaseEndsAtMs } = this.#model;
    this.#running.forEach((run, taskName) => {
      if (this.#model.runs.get(taskName) === run) return;
      this.#running.delete(taskName);
      const isOwnEnd = run.endsAtMs <= leaseEndsAtMs;
      const outcome = isOwnEnd ? (OUTCOMES.get(run.end) ?? RunOutcome.Other) : RunOutcome.Other;
      const endedAtMs = Math.min(run.endsAtMs, leaseEndsAtMs);
      this.#noteEnd(taskName, outcome, endedAtMs);
    });
    if (leaseEndsAtMs <= nowMs) this.#options.judge.noteLeaseLapsed(this.incarnationKey);
  }

  async close(): Promise<void> {
    this.isUp = false;
    this.#relays.forEach(([, relay]) => relay.close());
    await this.#silentPort?.close();
    await this.#server.close();
  }

  async #open(): Promise<void> {
    await Promise.all(this.#relays.map(([, relay]) => relay.listen(this.#port)));
    this.isUp = true;
    this.#options.judge.noteWorker({
      key: this.incarnationKey,
      workerId: this.id,
      capacity: CAPACITY,
    });
    this.#register();
  }

  #end(absence: Absence): void {
    const nowMs = this.#options.nowMs();
    this.advance(nowMs);
    this.isUp = false;
    this.#running.forEach((_, taskName) => this.#noteEnd(taskName, RunOutcome.Other, nowMs));
    this.#running.clear();
    this.#options.judge.noteWorkerGone(this.incarnationKey);
    this.#model.crash();
    this.#connections.clear();
    if (absence === Absence.Refusing) {
      this.#relays.forEach(([, relay]) => relay.close());
      return;
    }
    this.#relays.forEach(([, relay]) => {
      relay.silenceAll('both');
      relay.stopListening();
    });
    if (this.#silentPort?.takeOver() !== true) throw new Error(`port ${this.#port} is not silent`);
  }

  #register(): void {
    if (this.isCut) return;
    const { id, zone, rack, store } = this.#options;
    store.put('servers', id, {
      Service: SERVICE,
      Address: `127.0.0.1:${this.#port}`,
      Zone: zone,
      State: this.isDraining ? 'draining' : 'ready',
      ...(this.isDraining && {
        RemainingMs: Math.max(0, Math.floor(this.#earliestEndMs - this.#options.nowMs())),
      }),
      Capacity: { Cpu: CAPACITY.processorMillis, MemMb: CAPACITY.memoryMegabytes },
      Labels: ['plain', rack],
      born: this.#model.incarnation,
    });
  }

  #limitConnections(socket: Socket): void {
    if (this.#connections.size >= MAXIMUM_CONNECTIONS) {
      socket.resetAndDestroy();
      return;
    }
    this.#connections.add(socket);
    socket.once('close', () => {
      if (!this.areEndsUnseen) this.#connections.delete(socket);
    });
  }

  #serve(path: string, handle: (order: Order, reply: FastifyReply) => Promise<FastifyReply>): void {
    this.#server.post(path, async (request: FastifyRequest, reply) => {
      if (request.headers[INSTANCE_HEADER] !== this.id) {
        return reply.code(STATUS_OTHER_WORKER).send({});
      }
      if (!this.isUp) return reply.hijack();
      if (this.orderDelayMs > 0 && path !== HOLD_PATH) await delay(this.orderDelayMs);
      this.#options.advanceAll();
      return handle(request.body as Order, reply);
    });
  }

  async #hold(order: Order, reply: FastifyReply): Promise<FastifyReply> {
    const { incarnationKey } = this;
    const acknowledgedSequence = order.AckedUpto ?? 0;
    const { incarnation } = this.#model;
    const request = { ...this.#reference(order), acknowledgedSequence, incarnation, waitMs: 0 };
    const leaseEnd = order.DueMs === undefined ? {} : { leaseEndWorkerMs: order.DueMs };
    const first = this.#model.hold({ ...request, ...leaseEnd }, this.#options.nowMs());
    if (first.kind !== 'held') return answerOrder(reply, StartOutcome.Fenced);
    this.#noteFence(request.fence);
    this.#options.judge.noteAcknowledged(
      incarnationKey,
      acknowledgedSequence,
      this.#options.nowMs(),
    );
    const endsAtMs = this.#options.nowMs() + (order.WaitMs ?? 0);
    while (
      this.incarnationKey === incarnationKey &&
      this.#options.nowMs() < endsAtMs &&
      !this.#hasNews()
    ) {
      // eslint-disable-next-line no-await-in-loop -- polls until there is news or the wait is over
      await delay(HOLD_POLL_MS);
    }
    // A call to an earlier incarnation gets no answer, nor does a call to a worker that is down.
    if (this.incarnationKey !== incarnationKey || !this.isUp) return reply.hijack();
    this.advance(this.#options.nowMs());
    const held = this.#model.hold(request, this.#options.nowMs());
    if (held.kind !== 'held') return answerOrder(reply, StartOutcome.Fenced);
    held.answer.finished.forEach(({ sequence, taskName }) =>
      this.#options.judge.noteListed(incarnationKey, sequence, taskName),
    );
    return reply.send(toHoldBody(held.answer, (run) => this.#percentOf(run)));
  }

  #hasNews(): boolean {
    this.advance(this.#options.nowMs());
    return this.#model.hasNewEnds(this.#options.nowMs());
  }

  async #start(order: Order, reply: FastifyReply): Promise<FastifyReply> {
    const request = {
      ...this.#reference(order),
      spec: order.Spec ?? '',
      leaseEndWorkerMs: order.DueMs ?? 0,
      checkpoint: '',
    };
    this.#startFence = request.fence;
    const outcome = this.#model.start(request, this.#options.nowMs());
    const run = this.#model.runs.get(order.Task);
    if (run !== undefined) this.#running.set(order.Task, run);
    if (outcome !== StartOutcome.Fenced) this.#noteFence(request.fence);
    return answerOrder(reply, outcome);
  }

  async #stop(order: Order, reply: FastifyReply): Promise<FastifyReply> {
    const reference = this.#reference(order);
    const outcome = this.#model.stop(reference, this.#options.nowMs());
    if (outcome === OrderOutcome.Fenced) return answerOrder(reply, StartOutcome.Fenced);
    this.#noteFence(reference.fence);
    return reply.send({});
  }

  #percentOf({ taskName, workedPercent }: RunningTask): number {
    const run = this.#running.get(taskName);
    if (run === undefined || !this.#options.isPersistentTask(taskName)) return workedPercent;
    return persistentPercent(this.#options.nowMs() - run.startedAtMs);
  }

  #noteEnd(taskName: string, outcome: RunOutcome, endedAtMs: number): void {
    this.#options.log('end', { lifeKey: this.incarnationKey, taskName, outcome, endedAtMs });
    this.#options.judge.noteEnd(this.incarnationKey, taskName, outcome, endedAtMs);
  }

  #noteFence(fence: number): void {
    this.#options.judge.noteFence(this.incarnationKey, fence, this.#options.nowMs());
  }

  #reference({ Task, Run, Fence }: Order) {
    return { workerId: this.id, address: '', taskName: Task, run: Run, fence: Fence ?? 0 };
  }
}
