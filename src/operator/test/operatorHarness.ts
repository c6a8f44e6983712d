/** Runs the plan services of several daemons on one table in virtual time. */
import { type Either, isLeft } from 'fp-ts/lib/Either.js';

import type { RandomSource } from '../../base/common/random.js';
import { SeededRandom } from '../../base/common/random.js';
import { ConfigurationFollower } from '../../services/configuration/node/configurationFollower.js';
import {
  type TableBehaviour,
  VirtualTable,
  VirtualTime,
} from '../../services/configuration/test/virtualTable.js';
import {
  CHANGE_PREFIX,
  type ChangeRow,
  changeRowSchema,
  DOCUMENT_PREFIX,
} from '../../services/configuration/common/documents.js';
import type { Failure } from '../../services/errors/common/errorKinds.js';
import type { Instance, WorkerInstance } from '../../services/instanceList/common/instanceList.js';
import { silentLog } from '../../services/log/common/log.js';
import type { Metrics } from '../../services/metrics/common/metrics.js';
import type { TableRow, TableService } from '../../services/table/common/table.js';
import type { Intent } from '../common/intent.js';
import type { Plan } from '../common/plan.js';
import { type ConfirmationRefusal, PlanService } from '../node/planService.js';

const WALL_START_MS = Date.parse('2026-01-01T00:00:00Z');
const PLAN_LIFETIME_MS = 60_000;
const CONFIRM_TIMEOUT_MS = 10_000;
const LONGEST_TEST_MS = 600_000;
const GIBIBYTE = 1024 ** 3;

export const SIZE = { processorMillis: 2_000, memoryBytes: GIBIBYTE, acceleratorCount: 0 };

export const service = (name: string, team = 'kitchen', replicaCount = 6) => ({
  name,
  team,
  replicaCount,
  size: SIZE,
  urgency: 'normal' as const,
});

export const worker = (id: string, zone: string): WorkerInstance => ({
  kind: 'worker',
  id,
  availabilityZone: zone,
  rack: `${zone}-rack`,
  state: 'live',
  controlAddress: { host: '127.0.0.1', port: 1 },
  backendAddress: { host: '127.0.0.1', port: 1 },
  capacity: { processorMillis: 8_000, memoryBytes: 16 * GIBIBYTE, acceleratorCount: 0 },
  slotCount: 8,
  connectionCount: 64,
});

/** One table and the plan services of any number of daemons that share it. */
export class OperatorHarness {
  readonly time = new VirtualTime();

  readonly random: RandomSource;

  readonly table: VirtualTable;

  readonly counts = new Map<string, number>();

  instances: readonly Instance[] = [];

  wallSkewMs = 0;

  readonly #metrics: Metrics = {
    count: (name) => this.counts.set(name, (this.counts.get(name) ?? 0) + 1),
    gauge: () => {},
    recordMs: () => {},
  };

  #idCount = 0;

  constructor(seed: number, behaviour: Partial<TableBehaviour> = {}) {
    this.random = new SeededRandom(seed);
    this.table = new VirtualTable(this.time, this.random, behaviour);
  }

  /** Creates the plan service of one more daemon. */
  daemon(table: TableService = this.table): PlanService {
    const nextId = (): string => {
      this.#idCount += 1;
      return `id-${this.#idCount}`;
    };
    return new PlanService(
      {
        table,
        configuration: new ConfigurationFollower(table, this.time, silentLog, this.#metrics),
        directory: this,
        clock: this.time,
        metrics: this.#metrics,
        random: this.random,
        delay: this.time.delay,
        wallNowMs: () => WALL_START_MS + this.time.nowMs() + this.wallSkewMs,
        newSuffix: nextId,
        newOperationId: nextId,
      },
      { planLifetimeMs: PLAN_LIFETIME_MS, confirmTimeoutMs: CONFIRM_TIMEOUT_MS },
    );
  }

  /** Advances the virtual time until the work is done. */
  async settle<T>(work: Promise<T>): Promise<T> {
    await this.time.runUntil(this.time.nowMs() + LONGEST_TEST_MS, work);
    return work;
  }

  async plan(plans: PlanService, intent: Intent): Promise<Plan> {
    const plan = await this.settle(plans.plan(intent, 'ann'));
    if (isLeft(plan)) throw new Error(plan.left.message);
    return plan.right;
  }

  /** Plans an intent and returns the failure; undefined if planning succeeds. */
  refusal(plans: PlanService, intent: Intent): Promise<Failure | undefined> {
    return this.settle(plans.plan(intent, 'ann')).then((plan) =>
      isLeft(plan) ? plan.left : undefined,
    );
  }

  confirm(
    plans: PlanService,
    { planId, digest }: Plan,
    author = 'ann',
  ): Promise<Either<ConfirmationRefusal, Plan>> {
    return this.settle(plans.confirm({ planId, digest, author }));
  }

  /** Plans and confirms an intent. */
  async planAndConfirm(plans: PlanService, intent: Intent): Promise<Plan> {
    const confirmed = await this.confirm(plans, await this.plan(plans, intent));
    if (isLeft(confirmed)) throw new Error(confirmed.left.message);
    return confirmed.right;
  }

  rows(prefix: string): readonly TableRow[] {
    return this.table.truth.read({ keys: [], prefixes: [prefix] }).rows;
  }

  /** All rows except plans. */
  get otherRows(): readonly TableRow[] {
    return this.rows('').filter(({ key }) => !key.startsWith('plan/'));
  }

  get documents(): readonly TableRow[] {
    return this.rows(DOCUMENT_PREFIX);
  }

  get history(): readonly ChangeRow[] {
    return this.rows(CHANGE_PREFIX).map(({ value }) => changeRowSchema.parse(value));
  }

  /** Names of the counters of broken invariants that were incremented. */
  get brokenInvariants(): readonly string[] {
    return [...this.counts.keys()].filter((name) => name.startsWith('invariant_'));
  }
}
