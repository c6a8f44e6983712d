/* eslint n/no-sync: "off", class-methods-use-this: "off", import-x/extensions: "off", import-x/prefer-default-export: "off", no-use-before-define: "off", no-void: "off" */
/**
 * A stand-in for a worker, after PROTOCOL.md, "Running tasks", with `Orders` = `invoke` and
 * `AdmissionCheck` = false. How long a task works is written in its `Spec`, as `{"workMs":N}`; the
 * tasks of a step that lasts have `{"lasts":true}`.
 */
import { createServer } from 'node:http';

import { listen, readBody, reply } from './store.mjs';

/** SYSTEM.md: "33 workers, 8 slots and 64 channels each". */
const CHANNELS = 64;
const HOLD_MAX_MS = 6_000;
const STOP_MS = 300;
const LASTING_START_MS = 500;
const LISTED_ENDS = 500;
const TICK_MS = 20;
const WHOLE = 100;
const LATE_FROM_MS = 2_000;
const LATE_TO_MS = 12_000;

const parse = (text) => {
  try {
    return JSON.parse(text);
  } catch {
    return {};
  }
};

export class Worker {
  #options;

  #server = createServer((request, response) => void this.#serve(request, response));

  #bootedAtMs = performance.now();

  #born = Date.now();

  #fence = 0;

  #leaseEndMs = 0;

  #sequence = 0;

  #finished = [];

  /** The highest run of each task that was stopped or has ended. */
  #over = new Map();

  #waiters = new Set();

  #ticker = setInterval(() => this.#advance(), TICK_MS);

  runs = new Map();

  address = '';

  /**
   * The share of the orders that get no answer and are carried out 2 to 12 s later, as with
   * `applied_late`. Holds are always answered.
   */
  lateShare = 0;

  /** Whether the worker is lost for good, without a sign: it answers nothing and runs nothing. */
  isLost = false;

  /** Whether the worker answers each start with 503, as an unhealthy one does. */
  isUnhealthy = false;

  /** Channels that the worker has seen no end of. It resets those that exceed `CHANNELS`. */
  #channelCount = 0;

  /** Whether the machine at the other end of the channels that end now has lost its power. */
  isCallerDark = false;

  refusedChannels = 0;

  /** `options`: id, service, zone, rack, cpu, memMb, and `onStart` and `onEnd`, which are told of runs. */
  constructor(options) {
    this.#options = options;
  }

  get id() {
    return this.#options.id;
  }

  get cpu() {
    return this.#options.cpu;
  }

  get usedCpu() {
    return [...this.runs.values()].reduce((sum, { cpu }) => sum + cpu, 0);
  }

  async start() {
    this.#server.keepAliveTimeout = 120_000;
    this.#server.on('connection', (socket) => this.#open(socket));
    this.address = `127.0.0.1:${await listen(this.#server)}`;
  }

  /** Ends everything that runs here, without a word to anybody. */
  lose() {
    this.isLost = true;
    this.runs.clear();
  }

  stop() {
    clearInterval(this.#ticker);
    this.#server.closeAllConnections();
    this.#server.close();
  }

  /**
   * A machine without power ends no channel. The end that this process sees of such a channel is
   * therefore not seen by the worker: the channel stays.
   */
  #open(socket) {
    if (this.#channelCount >= CHANNELS) {
      this.refusedChannels += 1;
      socket.resetAndDestroy();
      return;
    }
    this.#channelCount += 1;
    socket.once('close', () => {
      if (!this.isCallerDark) this.#channelCount -= 1;
    });
  }

  get channelCount() {
    return this.#channelCount;
  }

  /** What the worker writes of itself into the store. */
  entry(beat) {
    const { service, zone, rack, cpu, memMb } = this.#options;
    return {
      ...{ Service: service, Address: this.address, Zone: zone, Version: '1', Slots: 8 },
      ...{ State: 'ready', Seq: beat, Capacity: { Cpu: cpu, MemMb: memMb }, Labels: ['a', rack] },
      born: this.#born,
    };
  }

  #clockMs() {
    return Math.floor(performance.now() - this.#bootedAtMs);
  }

  #end(task, run, how) {
    this.runs.delete(task);
    this.#over.set(task, Math.max(run.run, this.#over.get(task) ?? 0));
    this.#sequence += 1;
    this.#finished.push([this.#sequence, task, run.run, how, '']);
    this.#options.onEnd?.(this.id, task, run.run, how);
    [...this.#waiters].forEach((wake) => wake());
  }

  #advance() {
    const nowMs = performance.now();
    const hasLapsed = this.#clockMs() >= this.#leaseEndMs;
    this.runs.forEach((run, task) => {
      if (run.endsAtMs <= nowMs) this.#end(task, run, run.how);
      else if (hasLapsed) this.#end(task, run, 'lapsed');
    });
  }

  #extend(dueMs) {
    const granted = Math.min(dueMs, this.#clockMs() + HOLD_MAX_MS);
    this.#leaseEndMs = Math.max(this.#leaseEndMs, granted);
  }

  #percent(run, nowMs) {
    const workedMs = nowMs - run.startedAtMs;
    const wholeMs = run.lasts ? LASTING_START_MS : run.workMs;
    return Math.min(WHOLE, Math.floor((WHOLE * workedMs) / wholeMs));
  }

  #lists() {
    const nowMs = performance.now();
    return {
      ClockMs: this.#clockMs(),
      born: this.#born,
      Running: [...this.runs].map(([task, run]) => [
        task,
        run.run,
        '',
        this.#percent(run, nowMs),
        run.cpu,
      ]),
      Finished: this.#finished.slice(0, LISTED_ENDS),
    };
  }

  async #hold({ AckedUpto = 0, DueMs, WaitMs = 0 }) {
    this.#finished = this.#finished.filter(([sequence]) => sequence > AckedUpto);
    if (DueMs !== undefined) this.#extend(DueMs);
    this.#advance();
    if (WaitMs > 0 && this.#finished.length === 0) {
      await new Promise((resolve) => {
        const end = () => {
          clearTimeout(timer);
          this.#waiters.delete(end);
          resolve();
        };
        const timer = setTimeout(end, WaitMs);
        this.#waiters.add(end);
      });
    }
    return [200, this.#lists()];
  }

  #start({ Task, Run, Spec, DueMs }, isLate) {
    const ClockMs = this.#clockMs();
    if (this.runs.get(Task)?.run === Run) return [200, { ClockMs }];
    if (DueMs <= ClockMs) return [409, { ClockMs, Reason: 'late' }];
    this.#extend(DueMs);
    if (Run <= (this.#over.get(Task) ?? 0)) return [409, { ClockMs, Reason: 'old' }];
    const { workMs = 500, lasts = false, cpu = 0 } = parse(Spec);
    const startedAtMs = performance.now();
    const endsAtMs = lasts ? Number.POSITIVE_INFINITY : startedAtMs + workMs;
    this.runs.set(Task, { run: Run, workMs, lasts, cpu, startedAtMs, endsAtMs, how: 'done' });
    this.#options.onStart?.(this.id, Task, Run, isLate);
    return [200, { ClockMs }];
  }

  #stop({ Task, Run }) {
    this.#over.set(Task, Math.max(Run, this.#over.get(Task) ?? 0));
    const run = this.runs.get(Task);
    const stopAtMs = performance.now() + STOP_MS;
    if (run?.run === Run && run.endsAtMs > stopAtMs) {
      Object.assign(run, { endsAtMs: stopAtMs, how: 'stopped' });
    }
    return [200, { ClockMs: this.#clockMs() }];
  }

  async #serve(request, response) {
    if (this.isLost) return;
    const body = parse((await readBody(request)).toString('utf8'));
    if (request.headers['snipethread-target-instance'] !== this.id) {
      reply(response, 421, { ClockMs: this.#clockMs() });
      return;
    }
    if (request.url !== '/api/hold' && Math.random() < this.lateShare) {
      const lateMs = LATE_FROM_MS + Math.random() * (LATE_TO_MS - LATE_FROM_MS);
      setTimeout(() => void this.#carryOut(request.url, body, true), lateMs).unref();
      return;
    }
    if (request.url === '/api/run-start' && this.isUnhealthy) {
      reply(response, 503, { ClockMs: this.#clockMs() });
      return;
    }
    const [statusCode, answer] = await this.#carryOut(request.url, body, false);
    if (this.isLost) return;
    reply(response, statusCode, answer);
  }

  async #carryOut(url, body, isLate) {
    const { Fence = 0 } = body;
    if (Fence < this.#fence) {
      return [409, { ClockMs: this.#clockMs(), Reason: 'fence' }];
    }
    this.#fence = Fence;
    const answers = {
      '/api/hold': () => this.#hold(body),
      '/api/run-start': () => this.#start(body, isLate),
      '/api/run-stop': () => this.#stop(body),
      '/api/pace': () => [200, { ClockMs: this.#clockMs() }],
    };
    return (await answers[url]?.()) ?? [404, {}];
  }
}
