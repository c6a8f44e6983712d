/* eslint n/no-sync: "off", no-restricted-syntax: "off", no-await-in-loop: "off" */
/* eslint import-x/prefer-default-export: "off" */
/**
 * A stand-in for a worker, after the section on running tasks in PROTOCOL.md: fences, leases on its
 * own clock, runs, ends and their acknowledgement. What a task does is in its `Spec`, a JSON text:
 * `workMs` (without it, the task lasts), `end` (done or failed) and `cpu`, the step's `Cpu`.
 */
import { createServer } from 'node:http';

const HEARTBEAT_MS = 1_500;
const POLL_MS = 10;
const LISTED_ENDS = 500;
/** How soon a worker that fails all that it starts ends a run. */
const FAILING_MS = 100;

const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export class Worker {
  #options;

  #server;

  #bootedAtMs = performance.now();

  #fence = 0;

  #leaseEndMs = 0;

  #sequence = 0;

  #finished = [];

  #refusedUpTo = new Map();

  #timer;

  #port = 0;

  #reportCount = 0;

  state = 'ready';

  remainingMs;

  isUp = true;

  /** The tail of the response times of the tasks that last, in milliseconds. */
  tailMs = 0;

  /** Whether the worker fails all that it starts. */
  isFailing = false;

  runs = new Map();

  /** `options`: id, zone, rack, kind, service, capacity, store, holdMaxMs, stopMs, note. */
  constructor(options) {
    this.#options = options;
    this.born = Date.now();
    this.#server = createServer((request, response) => this.#serve(request, response));
    this.#server.keepAliveTimeout = 60_000;
  }

  get id() {
    return this.#options.id;
  }

  async start() {
    await new Promise((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
    this.#port = this.#server.address().port;
    this.report();
    this.#timer = setInterval(() => this.report(), HEARTBEAT_MS);
  }

  close() {
    this.isUp = false;
    clearInterval(this.#timer);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /** Ends the process and all that runs on it, without notice. It is unreachable until `restart`. */
  crash() {
    this.isUp = false;
    this.runs.forEach(({ run }, task) =>
      this.#options.note('end', { worker: this.id, task, run, how: 'crashed' }),
    );
    this.runs.clear();
    this.#server.close();
    this.#server.closeAllConnections();
  }

  /** Starts the process again under its id; it knows nothing of before. */
  restart() {
    this.#finished = [];
    this.#refusedUpTo.clear();
    this.#sequence = 0;
    this.#fence = 0;
    this.#leaseEndMs = 0;
    this.#bootedAtMs = performance.now();
    this.born = Date.now();
    return new Promise((resolve) => {
      this.#server.listen(this.#port, '127.0.0.1', () => {
        this.isUp = true;
        this.report();
        resolve();
      });
    });
  }

  /** Writes the worker's entry into the store. */
  report() {
    if (!this.isUp) return;
    const { id, zone, rack, kind, service, capacity, store } = this.#options;
    this.#reportCount += 1;
    store.put('servers', id, {
      Service: service,
      Address: `127.0.0.1:${this.#port}`,
      Zone: zone,
      Version: 'v1',
      Slots: 8,
      State: this.state,
      ...(this.state === 'draining' && this.remainingMs !== undefined
        ? { RemainingMs: this.remainingMs }
        : {}),
      Seq: this.#reportCount,
      Capacity: capacity,
      Labels: [kind, rack],
      born: this.born,
    });
  }

  get clockMs() {
    return Math.floor(performance.now() - this.#bootedAtMs);
  }

  async #serve(request, response) {
    const chunks = [];
    for await (const chunk of request) chunks.push(chunk);
    const send = (status, body) => {
      const text = JSON.stringify({ ClockMs: this.clockMs, born: this.born, ...body });
      response.writeHead(status, { 'content-type': 'application/json' });
      response.end(text);
    };
    if (request.url === '/healthz') {
      send(200, {});
      return;
    }
    if (request.headers['snipethread-target-instance'] !== this.id) {
      send(421, {});
      return;
    }
    const order = JSON.parse(Buffer.concat(chunks).toString());
    const fence = order.Fence ?? 0;
    this.advance();
    if (fence < this.#fence) {
      send(409, { Reason: 'fence' });
      return;
    }
    this.#fence = fence;
    if (request.url === '/api/run-start') this.#start(order, send);
    else if (request.url === '/api/run-stop') this.#stop(order, send);
    else if (request.url === '/api/pace') this.#pace(order, send);
    else if (request.url === '/api/hold') await this.#hold(order, send);
    else send(404, {});
  }

  #extend(dueMs) {
    if (dueMs === undefined) return;
    const latest = this.clockMs + this.#options.holdMaxMs;
    this.#leaseEndMs = Math.max(this.#leaseEndMs, Math.min(dueMs, latest));
  }

  #start({ Task, Run, Spec = '', DueMs = 0, Fence = 0 }, send) {
    if (DueMs <= this.clockMs) {
      send(409, { Reason: 'late' });
      return;
    }
    this.#extend(DueMs);
    if (this.runs.get(Task)?.run === Run) {
      send(200, {});
      return;
    }
    if (Run <= (this.#refusedUpTo.get(Task) ?? 0) || this.runs.has(Task)) {
      send(409, { Reason: 'old' });
      return;
    }
    const { workMs = Infinity, end = 'done', cpu = 0 } = JSON.parse(Spec);
    const fate = this.isFailing ? { workMs: FAILING_MS, end: 'failed' } : { workMs, end };
    const nowMs = performance.now();
    const progress = { workedMs: 0, advancedAtMs: nowMs, percent: 100, stopAtMs: undefined };
    this.runs.set(Task, { run: Run, cpu, ...fate, ...progress });
    this.#options.note('start', { worker: this.id, task: Task, run: Run, fence: Fence });
    send(200, {});
  }

  #stop({ Task, Run }, send) {
    this.#refusedUpTo.set(Task, Math.max(Run, this.#refusedUpTo.get(Task) ?? 0));
    const running = this.runs.get(Task);
    if (running?.run === Run) {
      running.stopAtMs ??= performance.now() + this.#options.stopMs;
      this.#options.note('stop', { worker: this.id, task: Task, run: Run });
    }
    send(200, {});
  }

  async #hold({ DueMs, AckedUpto = 0, WaitMs = 0 }, send) {
    this.#extend(DueMs);
    const acknowledged = this.#finished.filter(([sequence]) => sequence <= AckedUpto);
    this.#finished = this.#finished.filter(([sequence]) => sequence > AckedUpto);
    acknowledged.forEach(([, task, run, how]) =>
      this.#options.note('acknowledged', { worker: this.id, task, run, how }),
    );
    const endsAtMs = performance.now() + WaitMs;
    const { born } = this;
    while (this.isUp && this.#finished.length === 0 && performance.now() < endsAtMs) {
      await sleep(POLL_MS);
      this.advance();
    }
    if (!this.isUp || born !== this.born) return;
    const Running = [...this.runs].map(([task, run]) => [task, run.run, '', ...this.#figures(run)]);
    send(200, { Running, Finished: this.#finished.slice(0, LISTED_ENDS) });
  }

  /** The percent and the rough figure of a run. */
  #figures({ workMs, workedMs, cpu, percent }) {
    if (workMs === Infinity) return [100, this.tailMs];
    return [Math.min(99, Math.floor((100 * workedMs) / workMs)), (cpu * percent) / 100];
  }

  #pace({ Task, Run, Percent }, send) {
    const running = this.runs.get(Task);
    if (running?.run === Run) running.percent = Percent;
    send(200, {});
  }

  /** Ends the runs that are due, and all runs once the lease has expired. */
  advance() {
    if (!this.isUp) return;
    const nowMs = performance.now();
    const isLapsed = this.#leaseEndMs <= this.clockMs;
    this.runs.forEach((run, task) => {
      const workedMs = run.workedMs + ((nowMs - run.advancedAtMs) * run.percent) / 100;
      Object.assign(run, { workedMs, advancedAtMs: nowMs });
      if (workedMs >= run.workMs) this.#end(task, run, run.end);
      else if (run.stopAtMs !== undefined && nowMs >= run.stopAtMs) this.#end(task, run, 'stopped');
      else if (isLapsed) this.#end(task, run, 'lapsed');
    });
  }

  #end(task, { run }, how) {
    this.runs.delete(task);
    this.#refusedUpTo.set(task, Math.max(run, this.#refusedUpTo.get(task) ?? 0));
    this.#sequence += 1;
    this.#finished.push([this.#sequence, task, run, how, '']);
    this.#options.note('end', { worker: this.id, task, run, how });
  }
}
