/** The link to one peer: sends heartbeats and replaces its connection when the peer is silent. */
import { connect, type Socket } from 'node:net';

import { JSONRPCClient, type JSONRPCResponse } from 'json-rpc-2.0';

import type { Clock } from '../../base/common/clock.js';
import type { Disposable } from '../../base/common/lifecycle.js';
import type { InstanceAddress } from '../../services/instanceList/common/instanceList.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import { Hop, type Tracing } from '../../services/tracing/common/tracing.js';
import { type Heartbeat, HEARTBEAT_METHOD, heartbeatSchema } from '../common/peerMessages.js';
import { isSilent } from '../common/peerTable.js';
import { readLines, writeLine } from './jsonLines.js';

/**
 * Has at most one connection to its peer. The owner calls `sendHeartbeat` at the heartbeat
 * interval.
 */
export class PeerLink implements Disposable {
  readonly #address: InstanceAddress;

  readonly #clock: Clock;

  readonly #metrics: Metrics;

  readonly #tracing: Tracing;

  readonly #silenceTimeoutMs: number;

  #socket: Socket | undefined;

  #client: JSONRPCClient | undefined;

  #heardAtMs: number;

  constructor(
    address: InstanceAddress,
    clock: Clock,
    metrics: Metrics,
    tracing: Tracing,
    silenceTimeoutMs: number,
  ) {
    this.#address = address;
    this.#clock = clock;
    this.#metrics = metrics;
    this.#tracing = tracing;
    this.#silenceTimeoutMs = silenceTimeoutMs;
    this.#heardAtMs = clock.nowMs();
  }

  /** Sends a heartbeat and returns the peer's answer; undefined if no valid answer arrives. */
  async sendHeartbeat(heartbeat: Heartbeat): Promise<Heartbeat | undefined> {
    if (isSilent(this.#heardAtMs, this.#silenceTimeoutMs, this.#clock.nowMs()))
      this.#closeConnection();
    const client = this.#client ?? this.#connect();
    const span = this.#tracing.startTrace(Hop.PeerCall, undefined, { call: HEARTBEAT_METHOD });
    try {
      const answer: unknown = await client
        .timeout(this.#silenceTimeoutMs)
        .request(
          HEARTBEAT_METHOD,
          span === undefined ? heartbeat : { ...heartbeat, traceparent: span.traceparent },
        );
      this.#heardAtMs = this.#clock.nowMs();
      span?.end({ outcome: 'answered' });
      return heartbeatSchema.parse(answer);
    } catch {
      span?.end({ outcome: 'failed' });
      this.#metrics.count('peer_heartbeat_failed');
      return undefined;
    }
  }

  dispose(): void {
    this.#socket?.destroy();
  }

  #connect(): JSONRPCClient {
    const socket = connect(this.#address.port, this.#address.host);
    const client = new JSONRPCClient((payload) => writeLine(socket, this.#metrics, payload));
    socket.on('error', () => {});
    socket.on('close', () => {
      client.rejectAllPendingRequests('the connection closed');
      if (this.#socket === socket) this.#clearConnection();
    });
    readLines<JSONRPCResponse>(socket, this.#metrics, (line) => client.receive(line));
    this.#socket = socket;
    this.#client = client;
    this.#heardAtMs = this.#clock.nowMs();
    return client;
  }

  #closeConnection(): void {
    this.#metrics.count('peer_link_replaced');
    this.#socket?.destroy();
    this.#clearConnection();
  }

  #clearConnection(): void {
    this.#socket = undefined;
    this.#client = undefined;
  }
}
