/** Accepts connections of peers, links to selected peers and exchanges heartbeats with them. */
import { createServer, type Server, type Socket } from 'node:net';

import { type JSONRPCRequest, JSONRPCServer } from 'json-rpc-2.0';

import type { Clock } from '../../base/common/clock.js';
import { Emitter } from '../../base/common/event.js';
import type { Disposable } from '../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../base/node/periodicTimer.js';
import {
  type ClientConnection,
  ClientConnections,
} from '../../services/http/common/clientConnections.js';
import { smallListenerLimits } from '../../services/http/common/smallListener.js';
import type { ConfigurationService } from '../../services/configuration/common/configurationService.js';
import type { InstanceDirectory } from '../../services/instanceList/common/instanceDirectory.js';
import { type DaemonInstance, isDaemon } from '../../services/instanceList/common/instanceList.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import type { Settings } from '../../services/settings/common/settings.js';
import { Hop, type TraceSpan, type Tracing } from '../../services/tracing/common/tracing.js';
import {
  type Heartbeat,
  HEARTBEAT_METHOD,
  heartbeatSchema,
  MAXIMUM_LINE_BYTES,
} from '../common/peerMessages.js';
import {
  selectPeers,
  memberStates,
  MemberState,
  linkChanges,
  type PeerObservation,
  servingCount,
} from '../common/peerTable.js';
import { readLines, writeLine } from './jsonLines.js';
import { PeerLink } from './peerLink.js';

const isGone = (state: MemberState | undefined): boolean =>
  state === MemberState.Silent || state === MemberState.Leaving;

/** A configuration change is announced immediately, but in a burst at most once per interval. */
const MINIMUM_HEARTBEAT_SPACING_MS = 200;
/** Limit of observed instances, above the number of daemons of any deployment. */
const MAXIMUM_OBSERVATIONS = 512;
/** A peer with more bytes of unread answers is disconnected. */
const MAXIMUM_UNREAD_BYTES = 2 * MAXIMUM_LINE_BYTES;

export class PeerService implements Disposable {
  readonly #settings: Settings;

  readonly #configuration: ConfigurationService;

  readonly #directory: InstanceDirectory;

  readonly #clock: Clock;

  readonly #metrics: Metrics;

  readonly #tracing: Tracing;

  readonly #rpc: JSONRPCServer;

  readonly #server: Server;

  readonly #sockets = new Set<Socket>();

  readonly #connections: ClientConnections<Socket>;

  readonly #links = new Map<string, PeerLink>();

  readonly #linkedPeers = new Map<string, DaemonInstance>();

  readonly #observations = new Map<string, PeerObservation>();

  readonly #subscription: Disposable;

  readonly #didChangeMembers = new Emitter<void>();

  #lastMembersText = '';

  #lastHeartbeatAtMs = Number.NEGATIVE_INFINITY;

  #isLeaving = false;

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
    this.#rpc = new JSONRPCServer({
      errorListener: () => metrics.count('peer_messages_refused'),
    });
    this.#rpc.addMethod(HEARTBEAT_METHOD, (parameters: unknown) => {
      const heartbeat = heartbeatSchema.parse(parameters);
      const span = this.#startAnswerSpan(heartbeat);
      this.#handleHeartbeat(heartbeat);
      span?.end({ outcome: 'answered' });
      return this.#ownHeartbeat();
    });
    this.#connections = new ClientConnections(smallListenerLimits(), (socket) => {
      metrics.count('client_refusals', { listener: 'peers', reason: 'evicted' });
      socket.destroy();
    });
    this.#server = createServer((socket) => this.#handleConnection(socket));
    this.#subscription = configuration.onDidChange(() => this.#announceConfiguration());
  }

  /**
   * Starts to listen and to send heartbeats; returns the port. For a given port of 0, the system
   * chooses one.
   */
  async listen(host: string, port: number): Promise<number> {
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(port, host, resolve);
    });
    this.#timer = new PeriodicTimer(this.#settings.peers.heartbeatIntervalMs, () =>
      this.#runHeartbeatRound(),
    );
    const address = this.#server.address();
    return address === null || typeof address === 'string' ? port : address.port;
  }

  /** The states of all daemons that this daemon knows, itself included, by id. */
  get members(): ReadonlyMap<string, MemberState> {
    const listed = this.#directory.instances.filter(isDaemon);
    const linkedIds = new Set(this.#linkedPeers.keys());
    const { silenceTimeoutMs } = this.#settings.peers;
    const nowMs = this.#clock.nowMs();
    const others = memberStates(listed, linkedIds, this.#observations, silenceTimeoutMs, nowMs);
    const own = this.#isLeaving ? MemberState.Leaving : MemberState.Live;
    return new Map([...others, [this.#settings.instanceId, own]]);
  }

  /** The number of daemons assumed to take requests, this one included. */
  get servingCount(): number {
    return servingCount(this.members);
  }

  /** Fires when a daemon appears, disappears or changes its state. */
  get onDidChangeMembers(): Emitter<void>['event'] {
    return this.#didChangeMembers.event;
  }

  /** Announces to the peers that this daemon is leaving, before the platform's list shows it. */
  announceLeaving(): void {
    this.#isLeaving = true;
    this.#links.forEach((link) => void this.#exchangeHeartbeat(link));
  }

  dispose(): void {
    this.#timer?.dispose();
    this.#subscription.dispose();
    this.#didChangeMembers.dispose();
    this.#links.forEach((link) => link.dispose());
    this.#sockets.forEach((socket) => socket.destroy());
    this.#server.close();
  }

  #runHeartbeatRound(): void {
    this.#lastHeartbeatAtMs = this.#clock.nowMs();
    const listed = this.#directory.instances.filter(isDaemon);
    const states = this.members;
    const wanted = selectPeers(listed, this.#settings.instanceId, (id) => isGone(states.get(id)));
    const changes = linkChanges(this.#linkedPeers, wanted);
    changes.removedIds.forEach((id) => {
      this.#links.get(id)?.dispose();
      this.#links.delete(id);
      this.#linkedPeers.delete(id);
    });
    changes.added.forEach((peer) => {
      const { silenceTimeoutMs } = this.#settings.peers;
      const link = new PeerLink(
        peer.peerAddress,
        this.#clock,
        this.#metrics,
        this.#tracing,
        silenceTimeoutMs,
      );
      this.#links.set(peer.id, link);
      this.#linkedPeers.set(peer.id, peer);
    });
    this.#removeGoneObservations();
    this.#links.forEach((link) => void this.#exchangeHeartbeat(link));
    this.#updateMembers();
  }

  #updateMembers(): void {
    const states = this.members;
    const silent = [...states.values()].filter((state) => state === MemberState.Silent);
    this.#metrics.gauge('peers_silent', silent.length);
    const text = [...states].map((entry) => entry.join()).join(';');
    if (text === this.#lastMembersText) return;
    this.#lastMembersText = text;
    this.#didChangeMembers.fire();
  }

  /** Removes observations of daemons that are gone; they would pile up, as daemons often change. */
  #removeGoneObservations(): void {
    const states = this.members;
    [...this.#observations.keys()]
      .filter((id) => !states.has(id))
      .forEach((id) => {
        this.#observations.delete(id);
      });
  }

  #announceConfiguration(): void {
    if (this.#clock.nowMs() - this.#lastHeartbeatAtMs < MINIMUM_HEARTBEAT_SPACING_MS) return;
    this.#lastHeartbeatAtMs = this.#clock.nowMs();
    this.#links.forEach((link) => void this.#exchangeHeartbeat(link));
  }

  async #exchangeHeartbeat(link: PeerLink): Promise<void> {
    const answer = await link.sendHeartbeat(this.#ownHeartbeat());
    if (answer !== undefined) this.#handleHeartbeat(answer);
  }

  #ownHeartbeat(): Heartbeat {
    return {
      instanceId: this.#settings.instanceId,
      configurationVersion: this.#configuration.current?.version ?? 0,
      isLeaving: this.#isLeaving,
    };
  }

  /** Starts the answering span of a sampled call; undefined if the sender did not sample it. */
  #startAnswerSpan({ traceparent, instanceId }: Heartbeat): TraceSpan | undefined {
    if (traceparent === undefined) return undefined;
    const fields = { call: HEARTBEAT_METHOD, from: instanceId };
    return this.#tracing.startTrace(Hop.PeerCall, traceparent, fields);
  }

  #handleHeartbeat(heartbeat: Heartbeat): void {
    const { instanceId, isLeaving } = heartbeat;
    const isNew = !this.#observations.has(instanceId);
    if (isNew && this.#observations.size >= MAXIMUM_OBSERVATIONS) return;
    const isNewlyLeaving = isLeaving && this.#observations.get(instanceId)?.isLeaving !== true;
    this.#observations.set(instanceId, { heardAtMs: this.#clock.nowMs(), isLeaving });
    if (isNewlyLeaving) this.#updateMembers();
    const ownVersion = this.#configuration.current?.version ?? 0;
    const { configurationVersion } = heartbeat;
    if (configurationVersion > ownVersion) void this.#configuration.refresh(configurationVersion);
  }

  #handleConnection(socket: Socket): void {
    socket.on('error', () => {});
    const connection = this.#connections.open(socket);
    if (connection === undefined) {
      socket.destroy();
      return;
    }
    this.#sockets.add(socket);
    socket.on('close', () => {
      this.#sockets.delete(socket);
      this.#connections.close(connection);
    });
    socket.setTimeout(this.#settings.peers.silenceTimeoutMs * 2, () => socket.destroy());
    readLines<JSONRPCRequest>(
      socket,
      this.#metrics,
      (line) => void this.#answer(socket, connection, line),
    );
  }

  /** Answers a message. A peer that does not read its answers is disconnected. */
  async #answer(
    socket: Socket,
    connection: ClientConnection<Socket>,
    request: JSONRPCRequest,
  ): Promise<void> {
    if (socket.destroyed) return;
    const response = await this.#rpc.receive(request);
    if (response === null || socket.destroyed) return;
    this.#connections.touch(connection);
    writeLine(socket, this.#metrics, response);
    if (socket.writableLength > MAXIMUM_UNREAD_BYTES) socket.destroy();
  }
}
