/** Listens for peers, keeps a link to each of them and exchanges heartbeats. */
import { createServer, type Server, type Socket } from 'node:net';

import { type JSONRPCRequest, JSONRPCServer } from 'json-rpc-2.0';
import split from 'split2';

import type { Clock } from '../../base/common/clock.js';
import type { Disposable } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';
import type { ConfigurationService } from '../../platform/configuration/common/configurationService.js';
import type { InstanceDirectory } from '../../platform/instanceList/common/instanceDirectory.js';
import { isDaemon } from '../../platform/instanceList/common/instanceList.js';
import type { Metrics } from '../../platform/metrics/common/metrics.js';
import type { Settings } from '../../platform/settings/common/settings.js';
import type { Tracing } from '../../platform/tracing/common/tracing.js';
import { type Heartbeat, HEARTBEAT_METHOD, heartbeatSchema } from '../common/peerMessages.js';
import { peerChanges } from '../common/peerTable.js';
import { PeerLink } from './peerLink.js';

/** A heartbeat is a short line; a longer one is not from a peer. */
const MAXIMUM_LINE_BYTES = 65_536;

export class PeerService implements Disposable {
  readonly #settings: Settings;

  readonly #configuration: ConfigurationService;

  readonly #directory: InstanceDirectory;

  readonly #clock: Clock;

  readonly #metrics: Metrics;

  readonly #tracing: Tracing;

  readonly #rpc = new JSONRPCServer();

  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  readonly #links = new Map<string, PeerLink>();

  #timer: PeriodicTimer | undefined;

  constructor(
    settings: Settings,
    configuration: ConfigurationService,
    directory: InstanceDirectory,
    clock: Clock,
    metrics: Metrics,
    tracing: Tracing,
  ) {
    this.#settings = settings;
    this.#configuration = configuration;
    this.#directory = directory;
    this.#clock = clock;
    this.#metrics = metrics;
    this.#tracing = tracing;
    this.#rpc.addMethod(HEARTBEAT_METHOD, (parameters: unknown) => {
      this.#handleHeartbeat(heartbeatSchema.parse(parameters));
      return this.#ownHeartbeat();
    });
    this.#server = createServer((socket) => this.#handleConnection(socket));
  }

  /** Starts to listen and to beat; returns the port, which the system may have chosen. */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    this.#timer = new PeriodicTimer(this.#settings.peers.heartbeatIntervalMs, () => this.#beat());
    const address = this.#server.address();
    return address === null || typeof address === 'string' ? port : address.port;
  }

  dispose(): void {
    this.#timer?.dispose();
    this.#links.forEach((link) => link.dispose());
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  #beat(): void {
    const listed = this.#directory.instances.filter(isDaemon);
    const linkedIds = new Set(this.#links.keys());
    const changes = peerChanges(linkedIds, listed, this.#settings.instanceId);
    changes.removedIds.forEach((id) => {
      this.#links.get(id)?.dispose();
      this.#links.delete(id);
    });
    changes.added.forEach(({ id, peerAddress }) => {
      const { silenceTimeoutMs } = this.#settings.peers;
      this.#links.set(
        id,
        new PeerLink(peerAddress, this.#clock, this.#metrics, this.#tracing, silenceTimeoutMs),
      );
    });
    this.#links.forEach((link) => void this.#beatOne(link));
  }

  async #beatOne(link: PeerLink): Promise<void> {
    const answer = await link.beat(this.#ownHeartbeat());
    if (answer !== undefined) this.#handleHeartbeat(answer);
  }

  #ownHeartbeat(): Heartbeat {
    return {
      instanceId: this.#settings.instanceId,
      configurationVersion: this.#configuration.current?.version ?? 0,
    };
  }

  #handleHeartbeat(heartbeat: Heartbeat): void {
    const ownVersion = this.#configuration.current?.version ?? 0;
    const { configurationVersion } = heartbeat;
    if (configurationVersion > ownVersion) void this.#configuration.refresh(configurationVersion);
  }

  #handleConnection(socket: Socket): void {
    this.#sockets.add(socket);
    socket.on('error', () => {});
    socket.on('close', () => this.#sockets.delete(socket));
    socket.setTimeout(this.#settings.peers.silenceTimeoutMs * 2, () => socket.destroy());
    const parse = (line: string): JSONRPCRequest => JSON.parse(line) as JSONRPCRequest;
    socket
      .pipe(split(parse, { maxLength: MAXIMUM_LINE_BYTES }))
      .on('data', (request: JSONRPCRequest) => void this.#answer(socket, request))
      .on('error', () => socket.destroy());
  }

  async #answer(socket: Socket, request: JSONRPCRequest): Promise<void> {
    const response = await this.#rpc.receive(request);
    if (response !== null && !socket.destroyed) socket.write(`${JSON.stringify(response)}\n`);
  }
}
