import { createHash } from 'node:crypto';

import { left, right } from 'fp-ts/lib/Either.js';

import { TableStandIn } from '../../../standIns/platform/tableStandIn.js';
import { SeededRandom } from '../../base/common/random.js';
import { acceptChange } from '../../services/configuration/test/acceptedChanges.js';
import { quotaKey, serviceKey, zoneKey } from '../../services/configuration/common/documents.js';
import { ConfigurationFollower } from '../../services/configuration/node/configurationFollower.js';
import { ErrorKind, failure } from '../../services/errors/common/errorKinds.js';
import { silentLog } from '../../services/log/common/log.js';
import { silentMetrics } from '../../services/metrics/common/metrics.js';
import { PrometheusMetrics } from '../../services/metrics/node/prometheusMetrics.js';
import { settingsSchema } from '../../services/settings/common/settings.js';
import type { TableService, Transaction } from '../../services/table/common/table.js';
import { jobKey, ledgerKey, workKey } from '../../services/workload/common/workRows.js';
import { OperatorQueries } from '../node/operatorQueries.js';
import { OperatorServer } from '../node/operatorServer.js';
import { PlanProgressReader } from '../node/planProgress.js';
import { PlanService } from '../node/planService.js';
import { service, SIZE, worker } from './operatorHarness.js';

const HOST = '127.0.0.1';
const ORIGIN = 'http://127.0.0.1:1';
const PLAN_LIFETIME_MS = 60_000;

const sha256 = (token: string): string => createHash('sha256').update(token).digest('hex');

const TASK = { index: 0, state: 'assigned', attempt: 1, checkpoint: null };
const JOB = { jobId: 'bakers.k', team: 'bakers', size: SIZE, urgency: 'normal', workMs: 1 };
const ROWS = {
  [jobKey('bakers.k')]: { ...JOB, submissionKey: 'k', taskCount: 1 },
  [workKey('zone-a', 'bakers.k~zone-a')]: {
    ...{ ...JOB, shardId: 'bakers.k~zone-a' },
    tasks: [{ ...TASK, evictionCount: 0, failureWeight: 0 }],
  },
  [ledgerKey('zone-a', 'zone-a-rack')]: {
    assignments: [
      {
        ...{ taskId: 'bakers.k/0', attempt: 1, workerId: 'w1', incarnation: 'i' },
        ...{ taskClass: 'batch', serviceName: '', shardId: 'bakers.k~zone-a', taskIndex: 0 },
        ...{ size: SIZE, workMs: 1, checkpoint: null },
      },
    ],
  },
};

/**
 * The operators' HTTP interface of one daemon, with a table in memory. The table contains the zone
 * `zone-a` with two workers, the service `rounds`, a quota and a job with a running task. The
 * tokens are `ann-token` (role confirm), `pat-token` (role plan) and `vic-token` (role view).
 */
export class TestOperatorServer {
  readonly table = new TableStandIn();

  /** The wall clock in milliseconds; tests may set it. */
  wallMs = 0;

  isTableDown = false;

  /** How many of the next transactions take effect but have their answers lost. */
  lostAnswerCount = 0;

  readonly #server: OperatorServer;

  #port = 0;

  #idCount = 0;

  constructor() {
    acceptChange(this.table, 1, {
      [zoneKey('zone-a')]: { name: 'zone-a', region: 'r', state: 'in-use' },
      [serviceKey('rounds')]: service('rounds'),
      [quotaKey('diets')]: { team: 'diets', limit: SIZE },
    });
    const writes = Object.entries(ROWS).map(([key, value]) => ({ key, value }));
    this.table.transact({ operationId: 'rows', conditions: [], writes });
    this.#server = this.#create();
  }

  get port(): number {
    return this.#port;
  }

  get address(): string {
    return `${HOST}:${this.#port}`;
  }

  async listen(): Promise<void> {
    this.#port = await this.#server.listen(HOST, 0);
  }

  async close(): Promise<void> {
    await this.#server.close();
  }

  #tableService(): TableService {
    const unavailable = left(failure(ErrorKind.StoreUnavailable, 'the table is out of service'));
    return {
      read: (readRequest) => () =>
        Promise.resolve(this.isTableDown ? unavailable : right(this.table.read(readRequest))),
      transact: (transaction: Transaction) => () => {
        if (this.isTableDown) return Promise.resolve(unavailable);
        const result = this.table.transact(transaction);
        if (this.lostAnswerCount === 0) return Promise.resolve(right(result));
        this.lostAnswerCount -= 1;
        return Promise.resolve(left(failure(ErrorKind.StoreAnswerLost, 'no answer in time')));
      },
    };
  }

  #create(): OperatorServer {
    const table = this.#tableService();
    const clock = { nowMs: () => 0 };
    const wallNowMs = (): number => this.wallMs;
    const directory = { instances: [worker('w1', 'zone-a'), worker('w2', 'zone-a')] };
    const configuration = new ConfigurationFollower(table, clock, silentLog, silentMetrics);
    const newId = (): string => {
      this.#idCount += 1;
      return `id-${this.#idCount}`;
    };
    const services = {
      ...{ table, configuration, directory, clock, wallNowMs, metrics: silentMetrics },
      ...{ random: new SeededRandom(1), delay: () => Promise.resolve() },
      ...{ newSuffix: newId, newOperationId: newId },
    };
    const limits = { planLifetimeMs: PLAN_LIFETIME_MS, confirmTimeoutMs: 1_000 };
    const host = { host: HOST };
    const { operator } = settingsSchema.parse({
      instanceId: 'entry-1',
      availabilityZone: 'zone-a',
      listen: { callers: host, operators: host, peers: host },
      platform: { tableOrigin: ORIGIN, objectStoreOrigin: ORIGIN, instanceListOrigin: ORIGIN },
      operator: {
        tokens: [
          { name: 'ann', role: 'confirm', sha256: sha256('ann-token') },
          { name: 'pat', role: 'plan', sha256: sha256('pat-token') },
          { name: 'vic', role: 'view', sha256: sha256('vic-token') },
        ],
      },
    });
    const peers = { members: new Map([['entry-1', 'live']]) };
    return new OperatorServer(
      {
        plans: new PlanService(services, limits),
        progress: new PlanProgressReader(table, configuration, directory, wallNowMs),
        queries: new OperatorQueries(table, configuration, directory, peers, wallNowMs),
        configuration,
        metrics: new PrometheusMetrics(),
        spans: { find: () => [] } as never,
        onWillCollect: () => {},
        isReady: () => true,
      },
      operator,
    );
  }
}
