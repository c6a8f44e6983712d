/** Wires the components of one daemon together. It contains no scheduling or routing logic. */
import { randomBytes, randomInt, randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';

import { DisposableStore } from '../../base/common/lifecycle.js';
import { SeededRandom } from '../../base/common/random.js';
import { systemClock } from '../../base/node/systemClock.js';
import { Admission } from '../../entry/common/admission.js';
import { LatencyWeightedOfTwo } from '../../entry/common/serverChoice.js';
import { BackendConnections } from '../../entry/node/backendConnections.js';
import { CallerServer } from '../../entry/node/callerServer.js';
import { ClaimManager } from '../../entry/node/claimManager.js';
import { ClaimSweeper } from '../../entry/node/claimSweeper.js';
import type { ActiveRequest } from '../../entry/node/activeRequest.js';
import { RequestHandler } from '../../entry/node/requestHandler.js';
import { RoutingReader } from '../../entry/node/routingReader.js';
import { OperatorQueries } from '../../operator/node/operatorQueries.js';
import { OperatorServer } from '../../operator/node/operatorServer.js';
import { PlanProgressReader } from '../../operator/node/planProgress.js';
import { PlanSweep, PlanSweeper } from '../../operator/node/planSweeper.js';
import { PlanService } from '../../operator/node/planService.js';
import { PeerService } from '../../peers/node/peerService.js';
import { isServable } from '../../services/configuration/common/configurationService.js';
import { ConfigurationReader } from '../../services/configuration/node/configurationReader.js';
import { HttpInstanceList } from '../../services/instanceList/node/httpInstanceList.js';
import { InstanceListReader } from '../../services/instanceList/node/instanceListReader.js';
import { ConsolaLog } from '../../services/log/node/consolaLog.js';
import { PrometheusMetrics } from '../../services/metrics/node/prometheusMetrics.js';
import { Role, type Settings } from '../../services/settings/common/settings.js';
import { TracedTableService } from '../../services/table/common/tracedTableService.js';
import { HttpTableService } from '../../services/table/node/httpTableService.js';
import { OpenTelemetryTracing } from '../../services/tracing/node/openTelemetryTracing.js';
import type { LatencySampleSource } from '../../services/worker/common/latencySamples.js';
import { CellTasks } from '../../scheduler/node/cellTasks.js';
import { BufferCollector } from './bufferCollector.js';

const SEED_LIMIT = 2 ** 31;
/** The longest time that operator calls in progress can delay the end of a shutdown. */
const OPERATOR_CLOSE_TIMEOUT_MS = 1_000;
/** The time to write final answers before connections are closed. */
const FINAL_ANSWERS_MS = 200;
const PLAN_SUFFIX_BYTES = 6;

/** The ports a daemon listens on. */
export interface DaemonPorts {
  readonly callers: number;
  readonly operators: number;
  readonly peers: number;
}

export class Daemon {
  readonly #settings: Settings;

  readonly #log: ConsolaLog;

  readonly #disposables = new DisposableStore();

  readonly #configuration: ConfigurationReader;

  readonly #callerServer: CallerServer | undefined;

  readonly #handler: RequestHandler | undefined;

  readonly #operatorServer: OperatorServer;

  readonly #peers: PeerService;

  #draining: Promise<void> | undefined;

  constructor(settings: Settings) {
    this.#settings = settings;
    const { platform, instanceId, roles, entry } = settings;
    const disposables = this.#disposables;
    const clock = systemClock;
    const random = new SeededRandom(randomInt(SEED_LIMIT));
    const log = new ConsolaLog(settings.log.format, { instance: instanceId });
    const metrics = new PrometheusMetrics();
    const tracing = new OpenTelemetryTracing(
      settings.tracing.sampleRatio,
      settings.tracing.ringCapacity,
      random,
    );
    const { callTimeoutMs, tableConnectionCount } = platform;
    const httpTable = disposables.add(
      new HttpTableService(platform.tableOrigin, callTimeoutMs, tableConnectionCount),
    );
    const table = new TracedTableService(httpTable, tracing);
    const instanceList = disposables.add(
      new HttpInstanceList(platform.instanceListOrigin, callTimeoutMs),
    );
    const directory = disposables.add(
      new InstanceListReader(instanceList, metrics, platform.instanceListIntervalMs),
    );
    const configuration = disposables.add(
      new ConfigurationReader(table, clock, log, metrics, platform.configurationIntervalMs),
    );
    this.#peers = disposables.add(
      new PeerService(settings, configuration, directory, clock, metrics, tracing),
    );
    let latencies: LatencySampleSource | undefined;
    if (roles.includes(Role.Entry)) {
      const { configurationIntervalMs } = platform;
      const routing = disposables.add(
        new RoutingReader(table, configuration, directory, metrics, configurationIntervalMs),
      );
      const connections = disposables.add(new BackendConnections(entry, metrics));
      const chooser = new LatencyWeightedOfTwo(random);
      const admission = new Admission<ActiveRequest>(entry, chooser, random);
      latencies = admission.latencyWindows;
      const claims = disposables.add(new ClaimManager(table, clock, metrics, entry));
      disposables.add(
        new ClaimSweeper(table, metrics, entry.claimLifetimeMs, Date.now, randomInt(SEED_LIMIT)),
      );
      const entries = this.#peers;
      const services = { routing, admission, connections, claims, configuration, entries };
      const handler = disposables.add(
        new RequestHandler({ ...services, clock, metrics, tracing, wallNowMs: Date.now }, entry),
      );
      this.#handler = handler;
      const { add: collectBuffers } = new BufferCollector();
      this.#callerServer = new CallerServer(handler, entry, metrics, collectBuffers);
    }
    if (roles.includes(Role.Scheduler)) {
      const services = { table, configuration, directory, clock, log, metrics, tracing };
      disposables.add(
        new CellTasks(services, settings, `${instanceId}#${randomUUID()}`, latencies),
      );
    }
    const plans = disposables.add(
      new PlanService(
        {
          table,
          configuration,
          directory,
          clock,
          metrics,
          random,
          delay,
          wallNowMs: Date.now,
          newSuffix: () => randomBytes(PLAN_SUFFIX_BYTES).toString('hex'),
          newOperationId: randomUUID,
        },
        settings.operator,
      ),
    );
    if (roles.includes(Role.Operator)) {
      const sweep = new PlanSweep(table, metrics, settings.operator.planRetentionMs);
      disposables.add(new PlanSweeper(sweep, Date.now));
    }
    // This daemon learns of the accepted version first and then announces it to its peers.
    disposables.add(
      plans.onDidAccept(({ acceptedVersion }) => configuration.refresh(acceptedVersion)),
    );
    this.#operatorServer = new OperatorServer(
      {
        plans,
        progress: new PlanProgressReader(table, configuration, directory, Date.now),
        queries: new OperatorQueries(table, configuration, directory, this.#peers, Date.now),
        configuration,
        metrics,
        spans: tracing.ring,
        onWillCollect: () => this.#callerServer?.recordUsage(),
        isReady: () => this.#draining === undefined && isServable(configuration.health),
      },
      settings.operator,
    );
    this.#configuration = configuration;
    this.#log = log;
  }

  /** Opens the listeners and logs their ports. */
  async start(): Promise<DaemonPorts> {
    const { callers, operators, peers } = this.#settings.listen;
    const ports = {
      callers: (await this.#callerServer?.listen(callers.host, callers.port)) ?? 0,
      operators: await this.#operatorServer.listen(operators.host, operators.port),
      peers: await this.#peers.listen(peers.host, peers.port),
    };
    this.#log.info('listening', {
      callersPort: ports.callers,
      operatorsPort: ports.operators,
      peersPort: ports.peers,
    });
    return ports;
  }

  /**
   * Shuts down without cutting off a request. The daemon first reports that it is not ready. The
   * listener stays open until the load balancer has noticed and sends no more requests. The daemon
   * then answers all requests in flight. A request that is not answered within `drainTimeoutMs`
   * gets a final answer, whose outcome is unknown if the request was sent to a backend server.
   * Answers with idempotency keys are recorded before the table connections close. A second call
   * returns the promise of the first, so that a repeated signal does not end the process early.
   */
  drain(): Promise<void> {
    this.#draining ??= this.#drain();
    return this.#draining;
  }

  async #drain(): Promise<void> {
    this.#log.info('draining', { version: this.#configuration.current?.version ?? 0 });
    this.#peers.announceLeaving();
    this.#callerServer?.startDraining();
    await delay(this.#settings.entry.drainDelayMs);
    const timer = new AbortController();
    const { signal } = timer;
    const timeout = delay(this.#settings.entry.drainTimeoutMs, undefined, { signal }).then(
      () => this.#giveUpRemaining(),
      () => {},
    );
    await this.#callerServer?.close();
    timer.abort();
    await timeout;
    await this.#handler?.settle();
    const cutOffCount = this.#handler?.activeCount ?? 0;
    if (cutOffCount > 0) this.#log.error('cut-off-at-shutdown', { cutOffCount });
    await Promise.race([this.#operatorServer.close(), delay(OPERATOR_CLOSE_TIMEOUT_MS)]);
    this.#disposables.dispose();
    this.#log.info('drained');
  }

  /** Answers all remaining requests and then closes all connections. */
  async #giveUpRemaining(): Promise<void> {
    this.#handler?.giveUpAll();
    await delay(FINAL_ANSWERS_MS);
    this.#callerServer?.closeAllConnections();
  }
}
