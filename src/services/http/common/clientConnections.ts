/**
 * Accounts for what a listener holds for its clients, and decides who has to go when a limit is
 * reached: whoever has kept the listener waiting for the longest time. A connection for which work
 * is under way is never chosen.
 */

export interface ClientLimits {
  readonly maximumConnections: number;
  /** Requests without a complete answer. Those sent ahead of an answer may be half of them. */
  readonly maximumRequests: number;
  readonly maximumRequestsPerConnection: number;
  /** Bytes of bodies and answers. */
  readonly maximumHeldBytes: number;
  readonly maximumHeldBytesPerConnection: number;
}

const RequestPhase = {
  /** The client has not sent the whole request yet. */
  Receiving: 'receiving',
  Working: 'working',
  /** The client has not taken the whole answer yet. */
  Answered: 'answered',
} as const;
type RequestPhase = (typeof RequestPhase)[keyof typeof RequestPhase];

interface RequestState<Handle> {
  readonly connection: ConnectionState<Handle>;
  phase: RequestPhase;
  heldBytes: number;
  /** Whether the request counts towards the limit of all requests. */
  isCounted: boolean;
  isRefused: boolean;
  /** The answer was sent or cannot be sent any more. */
  isClosed: boolean;
}

interface ConnectionState<Handle> {
  readonly handle: Handle;
  /** Requests that are not over, in the order in which they came. */
  readonly requests: RequestState<Handle>[];
  /** Requests that are not handled, but stay in memory until the others are over. */
  ignoredCount: number;
  heldBytes: number;
  isOpen: boolean;
}

export type ClientConnection<Handle> = Readonly<Pick<ConnectionState<Handle>, 'handle' | 'isOpen'>>;
export type ClientRequest<Handle> = Readonly<
  Pick<RequestState<Handle>, 'heldBytes' | 'isRefused'>
> & { readonly connection: ClientConnection<Handle> };

export interface ClientUsage {
  readonly connectionCount: number;
  readonly requestCount: number;
  readonly heldBytes: number;
}

type Condition<Handle> = (connection: ConnectionState<Handle>) => boolean;

export class ClientConnections<Handle> {
  readonly #limits: ClientLimits;

  readonly #evict: (handle: Handle) => void;

  /** Connections that wait for their client, in the order in which they began to wait. */
  readonly #waiting = new Set<ConnectionState<Handle>>();

  #connectionCount = 0;

  #requestCount = 0;

  #heldBytes = 0;

  /**
   * `evict` refuses the incomplete request of a connection, or closes the connection if it has
   * none. What the connection holds counts as free at once.
   */
  constructor(limits: ClientLimits, evict: (handle: Handle) => void) {
    this.#limits = limits;
    this.#evict = evict;
  }

  get usage(): ClientUsage {
    return {
      connectionCount: this.#connectionCount,
      requestCount: this.#requestCount,
      heldBytes: this.#heldBytes,
    };
  }

  /**
   * Adds a connection. At the limit, the connection that has waited longest for its client is
   * evicted and counts as closed. Undefined if work is under way for all of them.
   */
  open(handle: Handle): ClientConnection<Handle> | undefined {
    if (this.#connectionCount >= this.#limits.maximumConnections) {
      const displaced = this.#longestWaiting(() => true);
      if (displaced === undefined) return undefined;
      this.#evictConnection(displaced);
      this.close(displaced);
    }
    const connection = { handle, requests: [], ignoredCount: 0, heldBytes: 0, isOpen: true };
    this.#connectionCount += 1;
    this.#waiting.add(connection);
    return connection;
  }

  /** Marks a connection as alive: it has now waited for the shortest time. */
  touch(connection: ClientConnection<Handle>): void {
    this.#updateWaiting(connection as ConnectionState<Handle>);
  }

  /** Requests for which work is under way still count until it ends. */
  close(closed: ClientConnection<Handle>): void {
    const connection = closed as ConnectionState<Handle>;
    if (!connection.isOpen) return;
    connection.isOpen = false;
    this.#connectionCount -= 1;
    this.#waiting.delete(connection);
    [...connection.requests].forEach((request) => this.finish(request));
  }

  /**
   * Adds a request to a connection. Undefined if the connection has too many without an answer; it
   * has to be closed. A request that is refused must be answered at once.
   */
  begin(of: ClientConnection<Handle>): ClientRequest<Handle> | undefined {
    const connection = of as ConnectionState<Handle>;
    const { maximumRequests, maximumRequestsPerConnection } = this.#limits;
    if (connection.requests.length >= maximumRequestsPerConnection) return undefined;
    const isAhead = connection.requests.length > 0;
    const maximumCount = isAhead ? maximumRequests / 2 : maximumRequests;
    const isRefused = this.#requestCount >= maximumCount && !this.#evictForRequest(connection);
    const request = {
      connection,
      phase: isRefused ? RequestPhase.Answered : RequestPhase.Receiving,
      heldBytes: 0,
      isCounted: !isRefused,
      isRefused,
      isClosed: false,
    };
    connection.requests.push(request);
    if (request.isCounted) this.#requestCount += 1;
    if (connection.requests.length === 1) this.#updateWaiting(connection);
    return request;
  }

  /** Counts a request that came after the connection had to be closed and is not handled. */
  ignore(of: ClientConnection<Handle>): void {
    const connection = of as ConnectionState<Handle>;
    if (connection.requests.length === 0) return;
    connection.ignoredCount += 1;
    this.#requestCount += 1;
  }

  /**
   * Sets the number of bytes that are held for a request. Evicts connections that wait for their
   * client if all bytes would exceed the limit. False if there is no room; the number is unchanged.
   */
  hold(of: ClientRequest<Handle>, bytes: number): boolean {
    const request = of as RequestState<Handle>;
    const { connection } = request;
    const addedBytes = bytes - request.heldBytes;
    const { maximumHeldBytes, maximumHeldBytesPerConnection } = this.#limits;
    if (request.isRefused) return false;
    if (connection.heldBytes + addedBytes > maximumHeldBytesPerConnection) return false;
    if (!this.#makeRoom(addedBytes, maximumHeldBytes, connection)) return false;
    this.#addHeldBytes(request, addedBytes);
    return true;
  }

  /**
   * Adds the bytes of an answer. Evicts connections like `hold`. False if the connection has to be
   * closed: its other requests hold too much. The only answer of a connection may have any size.
   */
  holdAnswer(of: ClientRequest<Handle>, bytes: number): boolean {
    const request = of as RequestState<Handle>;
    const { connection } = request;
    const { maximumHeldBytes, maximumHeldBytesPerConnection } = this.#limits;
    const isOnly = connection.requests.length === 1;
    if (!isOnly && connection.heldBytes + bytes > maximumHeldBytesPerConnection) return false;
    const hasRoom = this.#makeRoom(bytes, maximumHeldBytes, connection);
    if (!hasRoom && !isOnly) return false;
    this.#addHeldBytes(request, bytes);
    return true;
  }

  /** The request is complete and work for it begins, also if its client has just left. */
  startWork(of: ClientRequest<Handle>): void {
    const request = of as RequestState<Handle>;
    if (request.isClosed) {
      request.connection.requests.push(request);
      request.isCounted = true;
      this.#requestCount += 1;
    }
    this.#setPhase(request, RequestPhase.Working);
  }

  /** The work has ended, and its answer is being sent if the connection is still open. */
  endWork(of: ClientRequest<Handle>): void {
    const request = of as RequestState<Handle>;
    this.#setPhase(request, RequestPhase.Answered);
    if (request.isClosed) this.#remove(request);
  }

  /** The answer was sent, or it cannot be sent any more. */
  finish(of: ClientRequest<Handle>): void {
    const request = of as RequestState<Handle>;
    request.isClosed = true;
    if (request.phase !== RequestPhase.Working) this.#remove(request);
  }

  #setPhase(request: RequestState<Handle>, phase: RequestPhase): void {
    request.phase = phase;
    if (request.connection.requests[0] === request) this.#updateWaiting(request.connection);
  }

  #remove(request: RequestState<Handle>): void {
    const { connection } = request;
    const index = connection.requests.indexOf(request);
    if (index < 0) return;
    connection.requests.splice(index, 1);
    this.#release(request);
    if (connection.requests.length === 0) {
      this.#requestCount -= connection.ignoredCount;
      connection.ignoredCount = 0;
    }
    if (index === 0) this.#updateWaiting(connection);
  }

  #release(request: RequestState<Handle>): void {
    const { connection, heldBytes } = request;
    connection.heldBytes -= heldBytes;
    this.#heldBytes -= heldBytes;
    if (request.isCounted) this.#requestCount -= 1;
    Object.assign(request, { heldBytes: 0, isCounted: false });
  }

  #updateWaiting(connection: ConnectionState<Handle>): void {
    this.#waiting.delete(connection);
    const isWorkUnderWay = connection.requests[0]?.phase === RequestPhase.Working;
    if (connection.isOpen && !isWorkUnderWay) this.#waiting.add(connection);
  }

  #longestWaiting(condition: Condition<Handle>): ConnectionState<Handle> | undefined {
    // eslint-disable-next-line no-restricted-syntax -- ends at the first match, usually the first
    for (const connection of this.#waiting) if (condition(connection)) return connection;
    return undefined;
  }

  #makeRoom(bytes: number, maximumBytes: number, connection: ConnectionState<Handle>): boolean {
    while (this.#heldBytes + bytes > maximumBytes) {
      const victim = this.#longestWaiting(({ heldBytes }) => heldBytes > 0);
      if (victim === undefined || victim === connection) return false;
      this.#evictConnection(victim);
    }
    return true;
  }

  #addHeldBytes(request: RequestState<Handle>, bytes: number): void {
    const { connection } = request;
    request.heldBytes += bytes;
    connection.heldBytes += bytes;
    this.#heldBytes += bytes;
  }

  #evictForRequest(connection: ConnectionState<Handle>): boolean {
    const victim = this.#longestWaiting(({ requests }) => requests.some((it) => it.isCounted));
    if (victim === undefined || victim === connection) return false;
    this.#evictConnection(victim);
    return true;
  }

  #evictConnection(connection: ConnectionState<Handle>): void {
    connection.requests.forEach((request) => {
      this.#release(request);
      Object.assign(request, { isRefused: true });
    });
    this.#evict(connection.handle);
  }
}
