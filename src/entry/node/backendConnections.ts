/** Manages the connections to backend servers and runs attempts over them. */
import { Client, type Dispatcher, Pool } from 'undici';

import type { Disposable } from '../../base/common/lifecycle.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import { connectionShare, pooledShare } from '../common/connectionShare.js';
import type { BackendServer } from '../common/routing.js';
import { AttemptRun } from './attemptRun.js';

export interface AttemptRequest {
  readonly server: BackendServer;
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Uint8Array | undefined;
  /** Whether the attempt should use a new connection. */
  readonly isFreshWanted: boolean;
}

export interface BackendConnectionSettings {
  readonly maximumEntryCount: number;
  readonly maximumBodyBytes: number;
  readonly idleConnectionMs: number;
  readonly connectTimeoutMs: number;
}

/** Whether the text is an origin; undici throws for any other. */
const isCallable = (origin: string): boolean => {
  if (!URL.canParse(origin)) return false;
  const { pathname, search, hash } = new URL(origin);
  return pathname === '/' && search === '' && hash === '';
};

/** The connections to one server, with the number of open ones. */
interface ServerConnections {
  readonly pool: Pool;
  readonly share: number;
  openCount: number;
  inFlightCount: number;
  /** Whether the one connection outside the pool is in use. */
  isFreshInUse: boolean;
}

/**
 * Holds one pool for each backend server, limited to this entry's share of the server's
 * connections. One connection of the share is reserved for an attempt that must not use an old
 * connection, which may be silent.
 *
 * The share follows from the maximum number of entries, including those that overlap during a
 * restart, so the server's limit holds even while entries disagree about which entries exist. The
 * pool of a server that left the routes stays until nothing is in flight on it. If the server came
 * back and got a second pool, the two together would double the share.
 *
 * A connection carries one request at a time and is closed when its request is cancelled, so a
 * late answer cannot reach another request.
 */
export class BackendConnections implements Disposable {
  readonly #servers = new Map<string, ServerConnections>();

  readonly #settings: BackendConnectionSettings;

  readonly #metrics: Metrics;

  #wantedOrigins: ReadonlySet<string> | undefined;

  constructor(settings: BackendConnectionSettings, metrics: Metrics) {
    this.#settings = settings;
    this.#metrics = metrics;
  }

  /** Starts an attempt. The result of the returned run settles in every case. */
  attempt(request: AttemptRequest): AttemptRun {
    const connections = this.#connections(request.server);
    const run = new AttemptRun(request.method, this.#settings.maximumBodyBytes, this.#metrics);
    if (connections === undefined) {
      this.#metrics.count('server_addresses_unusable');
      run.cancel();
      return run;
    }
    if (connections.inFlightCount >= connections.share) {
      this.#metrics.count('invariant_connection_share_used_up');
      run.cancel();
      return run;
    }
    connections.inFlightCount += 1;
    const isFresh = request.isFreshWanted && !connections.isFreshInUse && connections.share > 1;
    if (isFresh) this.#dispatchFresh(connections, request, run);
    else connections.pool.dispatch(BackendConnections.#options(request), run);
    void run.result.then(() => {
      connections.inFlightCount -= 1;
      if (connections.inFlightCount === 0) this.#closeUnwanted(request.server.origin);
    });
    return run;
  }

  /** Closes the pools of all other origins, as soon as nothing is in flight on them. */
  retainOnly(origins: ReadonlySet<string>): void {
    this.#wantedOrigins = origins;
    [...this.#servers.keys()].forEach((origin) => this.#closeUnwanted(origin));
  }

  dispose(): void {
    this.#servers.forEach(({ pool }) => void pool.destroy());
    this.#servers.clear();
  }

  #closeUnwanted(origin: string): void {
    const connections = this.#servers.get(origin);
    const isWanted = this.#wantedOrigins === undefined || this.#wantedOrigins.has(origin);
    if (connections === undefined || isWanted || connections.inFlightCount > 0) return;
    this.#servers.delete(origin);
    void connections.pool.destroy();
  }

  /** Returns undefined if no connection can be opened to the server's origin. */
  #connections(server: BackendServer): ServerConnections | undefined {
    const known = this.#servers.get(server.origin);
    if (known !== undefined) return known;
    if (!isCallable(server.origin)) return undefined;
    const share = connectionShare(server, this.#settings.maximumEntryCount);
    const pool = new Pool(server.origin, {
      ...this.#clientOptions(),
      connections: pooledShare(share),
    });
    const connections = { pool, share, openCount: 0, inFlightCount: 0, isFreshInUse: false };
    this.#countOpenConnections(pool, connections);
    this.#servers.set(server.origin, connections);
    return connections;
  }

  #dispatchFresh(connections: ServerConnections, request: AttemptRequest, run: AttemptRun): void {
    const client = new Client(request.server.origin, this.#clientOptions());
    this.#countOpenConnections(client, connections);
    // This class owns the record.
    /* eslint-disable no-param-reassign */
    connections.isFreshInUse = true;
    client.dispatch({ ...BackendConnections.#options(request), reset: true }, run);
    void run.result.then(async () => {
      await client.destroy();
      connections.isFreshInUse = false;
    });
    /* eslint-enable no-param-reassign */
  }

  /** Counts the open connections, and reports when they exceed the share. */
  #countOpenConnections(dispatcher: Pool | Client, connections: ServerConnections): void {
    // This class owns the record.
    /* eslint-disable no-param-reassign */
    dispatcher.on('connect', () => {
      connections.openCount += 1;
      if (connections.openCount > connections.share) {
        this.#metrics.count('invariant_connection_share_exceeded');
      }
    });
    dispatcher.on('disconnect', () => {
      connections.openCount -= 1;
    });
    /* eslint-enable no-param-reassign */
  }

  /**
   * Idle connections are closed after a short time, whatever keep-alive time the server offers:
   * network devices in between may drop their state, and only an unused connection goes silent
   * unnoticed. The caller of `attempt` enforces deadlines, so undici's own timeouts are off.
   */
  #clientOptions(): Client.Options {
    const { idleConnectionMs, connectTimeoutMs } = this.#settings;
    return {
      pipelining: 1,
      keepAliveTimeout: idleConnectionMs,
      keepAliveMaxTimeout: idleConnectionMs,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect: { timeout: connectTimeoutMs },
    };
  }

  static #options(request: AttemptRequest): Dispatcher.DispatchOptions {
    return {
      method: request.method,
      path: request.path,
      headers: request.headers,
      body: request.body ?? null,
    };
  }
}
