/* eslint n/no-sync: "off", no-void: "off", no-console: "off", no-await-in-loop: "off", no-restricted-syntax: "off", no-continue: "off", n/no-process-exit: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", class-methods-use-this: "off", no-underscore-dangle: "off", no-param-reassign: "off", no-plusplus: "off", max-classes-per-file: "off", no-promise-executor-return: "off" */
/**
 * A worker as the users' pages describe it: leases on its own clock, fences, run numbers, ends that
 * are listed until they are acknowledged. It doesn't guard its capacity (AdmissionCheck false).
 */
import { createServer } from 'node:http';

const HOLD_MAX_MS = 6_000;
const STOP_MS = 900;
const LISTED_ENDS = 500;
const TICK_MS = 10;

export class Worker {
  #born = Date.now();

  #bootedAt = performance.now();

  #fence = 0;

  #leaseEnd = 0;

  #sequence = 0;

  #running = new Map();

  #finished = [];

  #barred = new Map();

  #heartbeats = 0;

  #sockets = new Set();

  #server = createServer((request, response) => {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      void this.#answer(request, Buffer.concat(chunks), response);
    });
    request.on('error', () => {});
    response.on('error', () => {});
  });

  /** `taskOf` tells how a task works: { workMs, end }; `note` takes what the worker sees. */
  constructor({ id, service, zone, rack, capacity, store, taskOf, note, heartbeatMs = 1_500 }) {
    Object.assign(this, { id, service, zone, rack, capacity, store, taskOf, note, heartbeatMs });
    this.address = '';
  }

  async start() {
    this.#server.keepAliveTimeout = 120_000;
    this.#server.on('connection', (socket) => this.#sockets.add(socket));
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.#server.address().port}`;
    this.#register();
    this.heartbeat = setInterval(() => this.#register(), this.heartbeatMs);
    this.ticker = setInterval(() => this.#advance(), TICK_MS);
  }

  close() {
    clearInterval(this.heartbeat);
    clearInterval(this.ticker);
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  get runCount() {
    return this.#running.size;
  }

  #clock() {
    return Math.floor(performance.now() - this.#bootedAt);
  }

  #register() {
    this.#heartbeats += 1;
    this.store.put('servers', this.id, {
      Service: this.service,
      Address: this.address,
      Zone: this.zone,
      Version: 'v1',
      Slots: 8,
      State: 'ready',
      Capacity: this.capacity,
      Labels: ['a', this.rack],
      Seq: this.#heartbeats,
      born: this.#born,
    });
  }

  #advance() {
    const now = this.#clock();
    [...this.#running.values()].forEach((run) => {
      if (run.endsAt <= Math.min(now, this.#leaseEnd)) this.#finish(run, run.end);
      else if (this.#leaseEnd <= now) this.#finish(run, 'lapsed');
    });
  }

  #finish(run, how) {
    this.#running.delete(`${run.task}#${run.run}`);
    this.#barred.set(run.task, Math.max(run.run, this.#barred.get(run.task) ?? 0));
    this.#sequence += 1;
    this.#finished.push([this.#sequence, run.task, run.run, how, '']);
    this.note('end', { worker: this.id, n: this.#sequence, task: run.task, run: run.run, how });
  }

  async #answer(request, bytes, response) {
    const send = (status, body) => {
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ ClockMs: this.#clock(), born: this.#born, ...body }));
    };
    if (request.headers['snipethread-target-instance'] !== this.id) {
      send(421, {});
      return;
    }
    const order = JSON.parse(bytes.toString());
    this.#advance();
    const fence = order.Fence ?? 0;
    if (fence < this.#fence) {
      send(409, { Reason: 'fence' });
      return;
    }
    this.#fence = fence;
    if (request.url === '/api/hold') await this.#hold(order, send);
    else if (request.url === '/api/run-start') this.#start(order, send);
    else if (request.url === '/api/run-stop') this.#stop(order, send);
    else send(request.url === '/api/pace' ? 200 : 404, {});
  }

  async #hold({ AckedUpto = 0, DueMs, WaitMs = 0 }, send) {
    const known = this.#finished.length;
    this.#finished = this.#finished.filter(([n]) => n > AckedUpto);
    if (this.#finished.length < known) this.note('acked', { worker: this.id, upTo: AckedUpto });
    if (DueMs !== undefined) this.#extend(DueMs);
    const endsAt = this.#clock() + WaitMs;
    while (this.#clock() < endsAt && this.#finished.length === 0) {
      await new Promise((resolve) => setTimeout(resolve, TICK_MS));
      this.#advance();
    }
    const now = this.#clock();
    const Running = [...this.#running.values()].map((run) => {
      const worked = (100 * (now - run.startedAt)) / Math.max(1, run.workMs);
      return [run.task, run.run, '', Math.min(99, Math.floor(worked)), run.cpu];
    });
    send(200, { Running, Finished: this.#finished.slice(0, LISTED_ENDS) });
  }

  #start({ Task, Run, DueMs, Fence }, send) {
    const key = `${Task}#${Run}`;
    if (this.#running.has(key)) {
      send(200, {});
      return;
    }
    if (DueMs <= this.#clock()) {
      send(409, { Reason: 'late' });
      return;
    }
    this.#extend(DueMs);
    if (Run <= (this.#barred.get(Task) ?? 0)) {
      send(409, { Reason: 'old' });
      return;
    }
    const { workMs, end, cpu } = this.taskOf(Task);
    const startedAt = this.#clock();
    const run = { task: Task, run: Run, workMs, end, cpu, startedAt, endsAt: startedAt + workMs };
    this.#running.set(key, run);
    this.note('start', { worker: this.id, task: Task, run: Run, fence: Fence });
    send(200, {});
  }

  #stop({ Task, Run }, send) {
    this.#barred.set(Task, Math.max(Run, this.#barred.get(Task) ?? 0));
    const run = this.#running.get(`${Task}#${Run}`);
    const stopsAt = this.#clock() + STOP_MS;
    if (run !== undefined && run.endsAt > stopsAt)
      Object.assign(run, { endsAt: stopsAt, end: 'stopped' });
    send(200, {});
  }

  #extend(dueMs) {
    this.#leaseEnd = Math.max(this.#leaseEnd, Math.min(dueMs, this.#clock() + HOLD_MAX_MS));
  }
}
