/**
 * A TCP relay whose connections can be silenced. On a silent connection the relay neither forwards
 * data nor closes, in one or both directions, while new connections still work. A cut also affects
 * new connections, which are silent or refused.
 */
import { once } from 'node:events';
import { createConnection, createServer, type Server, type Socket } from 'node:net';

export const Silence = { ToServer: 'to-server', ToClient: 'to-client', Both: 'both' } as const;
export type Silence = (typeof Silence)[keyof typeof Silence];

class RelayedConnection {
  readonly client: Socket;

  readonly server: Socket;

  silence: Silence | undefined;

  constructor(client: Socket, targetPort: number) {
    this.client = client;
    this.server = createConnection(targetPort, '127.0.0.1');
    this.#forward(client, this.server, Silence.ToServer);
    this.#forward(this.server, client, Silence.ToClient);
  }

  destroy(): void {
    this.client.destroy();
    this.server.destroy();
  }

  reset(): void {
    this.client.resetAndDestroy();
    this.server.resetAndDestroy();
  }

  #isSilent(direction: Silence): boolean {
    return this.silence === Silence.Both || this.silence === direction;
  }

  #forward(from: Socket, to: Socket, direction: Silence): void {
    from.on('data', (chunk) => {
      if (!this.#isSilent(direction)) to.write(chunk);
    });
    from.on('error', () => {});
    from.on('close', () => {
      if (!this.#isSilent(direction)) to.end();
    });
  }
}

export class SilentRelay {
  readonly #server: Server;

  readonly #host: string;

  readonly #connections = new Set<RelayedConnection>();

  /** Active cuts, each of which refuses or silences connections. */
  readonly #cuts = new Set<{ readonly isRefusing: boolean }>();

  /** The port that the relay listens on while no cut refuses; undefined after `stopListening`. */
  #port: number | undefined;

  connectionCount = 0;

  /** The number of open connections from the relay to the target. */
  openToServerCount = 0;

  constructor(targetPort: number, host = '127.0.0.1') {
    this.#host = host;
    this.#server = createServer((client) => {
      this.connectionCount += 1;
      const connection = new RelayedConnection(client, targetPort);
      if (this.#cuts.size > 0) connection.silence = Silence.Both;
      this.#connections.add(connection);
      this.openToServerCount += 1;
      connection.server.on('close', () => {
        this.openToServerCount -= 1;
      });
      client.on('close', () => this.#connections.delete(connection));
    });
    this.#server.on('listening', () => {
      if (!this.#shouldListen) this.#server.close();
    });
  }

  /** The number of silent connections that the client has not closed. */
  get openSilentCount(): number {
    return [...this.#connections].filter(({ silence }) => silence !== undefined).length;
  }

  /**
   * Listens on the given port, or on one that the OS chooses if it is 0, and returns the port. While
   * a cut refuses connections, a given port opens only when that cut ends.
   */
  async listen(port = 0): Promise<number> {
    this.#port = port;
    if (port !== 0) {
      await this.#listenAgain();
      return port;
    }
    this.#server.listen(port, this.#host);
    await once(this.#server, 'listening');
    this.#port = (this.#server.address() as { port: number }).port;
    return this.#port;
  }

  /** Blocks all connections, open and new ones, until the returned function is called. */
  cut(isRefusing: boolean): () => Promise<void> {
    const cut = { isRefusing };
    this.#cuts.add(cut);
    if (isRefusing) {
      this.resetAll();
      this.#server.close();
    } else this.silenceAll(Silence.Both);
    return async () => {
      this.#cuts.delete(cut);
      await this.#listenAgain();
    };
  }

  /** Silences all open connections and returns their number. New connections still work. */
  silenceAll(silence: Silence): number {
    this.#connections.forEach((connection) => Object.assign(connection, { silence }));
    return this.#connections.size;
  }

  /** Resets all open connections. New connections still work. */
  resetAll(): void {
    this.#connections.forEach((connection) => connection.reset());
  }

  /** Refuses new connections. Open connections are not affected. */
  stopListening(): void {
    this.#port = undefined;
    this.#server.close();
  }

  close(): void {
    this.#connections.forEach((connection) => connection.destroy());
    this.stopListening();
  }

  get #shouldListen(): boolean {
    return this.#port !== undefined && [...this.#cuts].every(({ isRefusing }) => !isRefusing);
  }

  async #listenAgain(): Promise<void> {
    if (!this.#shouldListen || this.#server.listening) return;
    this.#server.listen(this.#port, this.#host);
    await once(this.#server, 'listening');
  }
}
