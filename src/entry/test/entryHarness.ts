/** One entry with routes and table in memory, and real sockets to callers and servers. */
import { left, right } from 'fp-ts/lib/Either.js';
import { createConnection, type Socket } from 'node:net';

import { request } from 'undici';

import { TableStandIn } from '../../../standIns/platform/tableStandIn.js';
import { Emitter } from '../../base/common/event.js';
import { SeededRandom } from '../../base/common/random.js';
import { systemClock } from '../../base/node/systemClock.js';
import { ErrorKind, failure } from '../../services/errors/common/errorKinds.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import type { ClientUsage } from '../../services/http/common/clientConnections.js';
import { type Settings, settingsSchema } from '../../services/settings/common/settings.js';
import type { TableService } from '../../services/table/common/table.js';
import { silentTracing } from '../../services/tracing/common/tracing.js';
import { Admission } from '../common/admission.js';
import type { BackendServer, RoutingTable } from '../common/routing.js';
import { LatencyWeightedOfTwo, type ServerChooser } from '../common/serverChoice.js';
import { BackendConnections } from '../node/backendConnections.js';
import { CallerServer } from '../node/callerServer.js';
import { ClaimManager } from '../node/claimManager.js';
import type { ActiveRequest } from '../node/activeRequest.js';
import { RequestHandler } from '../node/requestHandler.js';

export const entrySettings = (changes: Partial<Settings['entry']> = {}): Settings['entry'] => {
  const listen = { host: '127.0.0.1' };
  const origin = 'http://127.0.0.1:1';
  const { entry } = settingsSchema.parse({
    instanceId: 'entry',
    availabilityZone: 'zone-a',
    listen: { callers: listen, operators: listen, peers: listen },
    platform: { tableOrigin: origin, objectStoreOrigin: origin, instanceListOrigin: origin },
  });
  return { ...entry, ...changes };
};

export const backendServer = (port: number, workerId = `w${port}`): BackendServer => ({
  workerId,
  origin: `http://127.0.0.1:${port}`,
  availabilityZone: 'zone-a',
  slotCount: 8,
  connectionCount: 64,
});

/** A table with faults that a test can switch on. */
export class FaultyTable implements TableService {
  /** The table behind the faults. Several entries may share it and have different faults. */
  readonly standIn: TableStandIn;

  constructor(standIn = new TableStandIn()) {
    this.standIn = standIn;
  }

  isOut = false;

  /** The number of further transactions that take effect but whose answer is lost. */
  lostAnswerCount = 0;

  /** Runs before the answer of each transaction. */
  onDidTransact: () => Promise<void> = () => Promise.resolve();

  read: TableService['read'] = (question) => () => {
    if (this.isOut) return Promise.resolve(left(failure(ErrorKind.StoreUnavailable, 'out')));
    return Promise.resolve(right(this.standIn.read(question)));
  };

  transact: TableService['transact'] = (transaction) => async () => {
    if (this.isOut) return left(failure(ErrorKind.StoreUnavailable, 'out'));
    const result = this.standIn.transact(transaction);
    await this.onDidTransact();
    if (this.lostAnswerCount === 0) return right(result);
    this.lostAnswerCount -= 1;
    return left(failure(ErrorKind.StoreAnswerLost, 'lost'));
  };
}

/** An answer as a caller receives it. */
export interface CallerAnswer {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly text: string;
}

/** Replacements by which tests break a part of the entry. Only tests have these switches. */
export interface EntryOverrides {
  readonly chooser?: ServerChooser;
  readonly Connections?: typeof BackendConnections;
}

export class EntryHarness {
  readonly counters = new Map<string, number>();

  readonly table: FaultyTable;

  origin = '';

  readonly callerServer: CallerServer;

  readonly #routes = new Map<string, readonly BackendServer[]>();

  readonly #didChange = new Emitter<RoutingTable>();

  readonly #handler: RequestHandler;

  readonly #connections: BackendConnections;

  readonly #claims: ClaimManager;

  constructor(
    settings = entrySettings(),
    table = new FaultyTable(),
    overrides: EntryOverrides = {},
  ) {
    this.table = table;
    const metrics: Metrics = {
      count: (name) => this.counters.set(name, this.counter(name) + 1),
      gauge: () => {},
      recordMs: () => {},
    };
    const random = new SeededRandom(1);
    const { Connections = BackendConnections, chooser = new LatencyWeightedOfTwo(random) } =
      overrides;
    this.#connections = new Connections(settings, metrics);
    this.#claims = new ClaimManager(table, systemClock, metrics, settings);
    const services = {
      routing: { routes: this.#routes, onDidChange: this.#didChange.event },
      admission: new Admission<ActiveRequest>(settings, chooser, random),
      connections: this.#connections,
      claims: this.#claims,
      configuration: { current: undefined },
      entries: { servingCount: 1, onDidChangeMembers: new Emitter<void>().event },
      clock: systemClock,
      metrics,
      tracing: silentTracing,
      wallNowMs: Date.now,
    };
    this.#handler = new RequestHandler(services, settings);
    this.callerServer = new CallerServer(this.#handler, settings, metrics);
  }

  counter(name: string): number {
    return this.counters.get(name) ?? 0;
  }

  get brokenInvariants(): readonly string[] {
    return [...this.counters.keys()].filter((name) => name.startsWith('invariant_'));
  }

  route(serviceName: string, servers: readonly BackendServer[]): void {
    this.#routes.set(serviceName, servers);
    this.#didChange.fire(this.#routes);
  }

  async listen(): Promise<void> {
    this.origin = `http://127.0.0.1:${await this.callerServer.listen('127.0.0.1', 0)}`;
  }

  /** What the entry holds for its callers now. */
  clientUsage(): ClientUsage {
    return this.callerServer.clientUsage;
  }

  connect(): Socket {
    return createConnection(Number(new URL(this.origin).port), '127.0.0.1');
  }

  /** Sends a request to the service `s` and reads the whole answer. */
  async call(
    path: string,
    headers: Record<string, string> = {},
    method: 'GET' | 'POST' = 'GET',
    body: string | undefined = undefined,
  ): Promise<CallerAnswer> {
    const response = await request(`${this.origin}/services/s${path}`, {
      method,
      headers,
      body: body ?? null,
    });
    const { statusCode } = response;
    return { statusCode, headers: response.headers, text: await response.body.text() };
  }

  /** Stops at once, as a killed process does. */
  async dispose(): Promise<void> {
    this.#handler.dispose();
    this.#claims.dispose();
    this.#connections.dispose();
    await this.callerServer.close();
  }
}

/** The work outcome that an answer states; `answered` when it states none. */
export const workOutcome = (answer: CallerAnswer): string =>
  String(answer.headers['snipethread-work'] ?? 'answered');
