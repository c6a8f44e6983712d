/** The daemon's settings: their schema, their defaults and the rules between fields. */
import { type Either, left, right } from 'fp-ts/lib/Either.js';
import { z } from 'zod';

const portSchema = z.number().int().min(0).max(65_535);
const positiveMs = z.number().int().positive();
const positiveCount = z.number().int().positive();

/** Peers take no longer ids. */
const MAXIMUM_ID_LENGTH = 256;

/** Port zero lets the system choose a port; the `listening` line of the log names it. */
const listenSchema = z.strictObject({
  host: z.string().min(1),
  port: portSchema.default(0),
});

const originSchema = z.string().regex(/^http:\/\/[^/]+$/u, 'must be an origin: http://HOST:PORT');

export const Role = { Entry: 'entry', Scheduler: 'scheduler', Operator: 'operator' } as const;
export type Role = (typeof Role)[keyof typeof Role];

export const OperatorRole = { View: 'view', Plan: 'plan', Confirm: 'confirm' } as const;
export type OperatorRole = (typeof OperatorRole)[keyof typeof OperatorRole];

const platformSchema = z.strictObject({
  tableOrigin: originSchema,
  objectStoreOrigin: originSchema,
  instanceListOrigin: originSchema,
  callTimeoutMs: positiveMs.default(800),
  tableConnectionCount: positiveCount.default(4),
  instanceListIntervalMs: positiveMs.default(1_000),
  configurationIntervalMs: positiveMs.default(600),
});

const entrySchema = z.strictObject({
  /** The maximum size of the body of a request or an answer. */
  maximumBodyBytes: positiveCount.default(1_048_576),
  /** The maximum total size of all bodies of requests and answers in memory. */
  maximumHeldBytes: positiveCount.default(33_554_432),
  maximumCallerConnections: positiveCount.default(2_000),
  /** The maximum number of requests without a complete answer. */
  maximumRequests: positiveCount.default(1_000),
  /** The maximum number of such requests of one connection. */
  maximumRequestsPerConnection: positiveCount.default(32),
  /** How long a caller may take to send its request. */
  receiveTimeoutMs: positiveMs.default(10_000),
  defaultDeadlineMs: positiveMs.default(5_000),
  maximumDeadlineMs: positiveMs.default(60_000),
  /** The maximum number of waiting requests of one service. */
  queueCapacity: positiveCount.default(1_000),
  /** How long a request may wait before it is refused. */
  maximumWaitMs: positiveMs.default(500),
  /**
   * The maximum number of concurrent entries, restarting ones included. Each entry gets an equal
   * share of each backend server's connections.
   */
  maximumEntryCount: positiveCount.default(8),
  maximumAttemptCount: positiveCount.default(3),
  /** The number of retries allowed per first attempt. */
  retryBudgetRatio: z.number().min(0).max(1).default(0.1),
  /** The number of second attempts (hedges) of slow requests allowed per first attempt. */
  hedgeBudgetRatio: z.number().min(0).max(1).default(0.05),
  /** The minimum time without a received byte after which a connection counts as silent. */
  silenceFloorMs: positiveMs.default(1_000),
  /** The maximum share of a service's servers that may be set aside at a time. */
  maximumSetAsideRatio: z.number().min(0).max(1).default(0.3),
  /** How long a server counts as leaving after it has announced that it is. */
  leavingHoldMs: positiveMs.default(10_000),
  idleConnectionMs: positiveMs.default(4_000),
  connectTimeoutMs: positiveMs.default(1_000),
  /** The minimum time that an idempotency key is remembered. */
  claimLifetimeMs: positiveMs.default(86_400_000),
  /** The maximum size of an answer that is stored for repeated requests, in base64 digits. */
  maximumRecordedBytes: z.number().int().nonnegative().default(4_096),
  drainDelayMs: z.number().int().nonnegative().default(1_000),
  drainTimeoutMs: positiveMs.default(30_000),
});

const interferenceSchema = z.strictObject({
  /** When false, interference is not learnt and causes no throttles, evictions or separation. */
  isEnabled: z.boolean().default(true),
  /** How much slower batch work may make a service before it is throttled; 0.1 is a tenth. */
  toleratedSlowdown: z.number().positive().default(0.12),
  /** A throttle is released only if the slowdown without it would stay below this. */
  releaseSlowdown: z.number().positive().default(0.1),
  /** A batch task does not start where it would make a service slower than this. */
  placementSlowdown: z.number().positive().default(0.12),
  /**
   * Standard deviations subtracted from an estimate before use; a higher value favours batch work.
   */
  doubtDeviations: z.number().nonnegative().default(0.5),
  /** The minimum share of its processors that a throttled task keeps. */
  minimumProcessorShare: z.number().positive().max(1).default(0.25),
  /** The maximum age of the usage in a worker's report. */
  usageLagMs: positiveMs.default(5_000),
  /** The minimum time between two interventions against interference on one worker. */
  settleMs: positiveMs.default(8_000),
  /** A batch task is evicted only if a service is this much slower despite all useful throttles. */
  evictionSlowdown: z.number().positive().default(0.16),
  /** How long throttling must have been insufficient before a task is evicted. */
  evictAfterMs: positiveMs.default(10_000),
  /** An eviction for interference begins only while a cell has fewer evictions under way. */
  maximumEvictionsUnderWay: z.number().int().nonnegative().default(4),
  /** The cost of a restart as processor time of the task; it is added to the lost progress. */
  restartCostMs: z.number().int().nonnegative().default(10_000),
  /** The half-life of what is known about a service and batch task pair without new samples. */
  halfLifeMs: positiveMs.default(150_000),
});

const schedulerSchema = z.strictObject({
  tickIntervalMs: positiveMs.default(200),
  cellHeartbeatIntervalMs: positiveMs.default(700),
  /** How long a cell's heartbeat must be unchanged before another daemon takes over the cell. */
  cellLeaseMs: positiveMs.default(2_500),
  workerRenewalIntervalMs: positiveMs.default(1_000),
  workerLeaseMs: positiveMs.default(10_000),
  workerTimeoutMs: positiveMs.default(800),
  /** How long a start message is valid on the worker's clock. */
  startValidityMs: positiveMs.default(1_000),
  /** The maximum age of the last confirmation that the zone is in use, for a start. */
  startFreshnessMs: positiveMs.default(1_500),
  /** The maximum age of a worker's last report for a new assignment. */
  reportFreshnessMs: positiveMs.default(3_000),
  /** The time between two transactions of a cell, in which changes are collected. */
  roundIntervalMs: positiveMs.default(200),
  /** The maximum number of rows that a cell writes per second, without its heartbeat. */
  cellRowsPerSecond: positiveCount.default(60),
  /** The maximum number of rows in one transaction of a cell. */
  maximumRowsPerRound: positiveCount.default(120),
  /** How long a service's tasks continue in a withdrawn zone, so that requests can finish. */
  serviceDrainMs: positiveMs.default(4_000),
  /** The ramp-up time of a returning zone, from an eighth of its capacity to all of it. */
  zoneReturnMs: positiveMs.default(6_000),
  /** How long an owner that cannot reach the table continues to renew its workers' leases. */
  maximumRenewalWithoutTableMs: positiveMs.default(600_000),
  /** Limits for the interference of batch work with services. */
  interference: interferenceSchema.prefault({}),
});

const peersSchema = z.strictObject({
  heartbeatIntervalMs: positiveMs.default(1_000),
  silenceTimeoutMs: positiveMs.default(3_000),
});

const operatorSchema = z.strictObject({
  planLifetimeMs: positiveMs.default(600_000),
  /** How long a confirmation is retried before its outcome is reported as unknown. */
  confirmTimeoutMs: positiveMs.default(10_000),
  /** How long plans are kept, so that a repeated confirmation finds their outcome. */
  planRetentionMs: positiveMs.default(86_400_000),
  maximumIntentBytes: positiveCount.default(1_048_576),
  /** Bearer tokens; only the SHA-256 hash of each is stored, in hexadecimal digits. */
  tokens: z
    .array(
      z.strictObject({
        name: z.string().min(1),
        role: z.enum([OperatorRole.View, OperatorRole.Plan, OperatorRole.Confirm]),
        sha256: z.string().regex(/^[0-9a-f]{64}$/u, 'must be 64 hexadecimal digits'),
      }),
    )
    .default([]),
});

const logSchema = z.strictObject({ format: z.enum(['json', 'pretty']).default('json') });

const tracingSchema = z.strictObject({
  sampleRatio: z.number().min(0).max(1).default(0.01),
  ringCapacity: positiveCount.default(200),
});

/** The sections with fields that `checkRules` compares. */
const CHECKED_SECTIONS: Readonly<Record<string, z.ZodObject>> = {
  platform: platformSchema,
  entry: entrySchema,
  scheduler: schedulerSchema,
  peers: peersSchema,
  operator: operatorSchema,
};

const fieldsSchema = z.strictObject({
  /** The JSON Schema that editors use to check the file; the daemon ignores it. */
  $schema: z.string().optional(),
  instanceId: z.string().min(1).max(MAXIMUM_ID_LENGTH),
  availabilityZone: z.string().min(1),
  roles: z
    .array(z.enum([Role.Entry, Role.Scheduler, Role.Operator]))
    .min(1)
    .default([Role.Entry, Role.Scheduler, Role.Operator]),
  listen: z.strictObject({
    callers: listenSchema,
    operators: listenSchema,
    peers: listenSchema,
  }),
  platform: platformSchema,
  entry: entrySchema.prefault({}),
  scheduler: schedulerSchema.prefault({}),
  peers: peersSchema.prefault({}),
  operator: operatorSchema.prefault({}),
  log: logSchema.prefault({}),
  tracing: tracingSchema.prefault({}),
});

export type Settings = z.infer<typeof fieldsSchema>;
/** The settings as an operator writes them; fields with defaults are optional. */
export type SettingsInput = z.input<typeof fieldsSchema>;

/**
 * Checks the rules between fields. Callers pass `NaN` for an invalid field. Every comparison with
 * it is false, so a rule never reports one field because of a fault in another.
 */
const checkRules = (
  settings: Settings,
  addFault: (path: string[], message: string) => void,
): void => {
  const rule = (isBroken: boolean, path: string[], message: string): void => {
    if (isBroken) addFault(path, message);
  };
  const { scheduler, entry, peers, platform, operator } = settings;
  rule(
    operator.planRetentionMs < operator.planLifetimeMs + operator.confirmTimeoutMs,
    ['operator', 'planRetentionMs'],
    'must be at least operator.planLifetimeMs and operator.confirmTimeoutMs together',
  );
  rule(
    scheduler.workerLeaseMs < scheduler.workerRenewalIntervalMs * 3,
    ['scheduler', 'workerLeaseMs'],
    'must be at least three times scheduler.workerRenewalIntervalMs',
  );
  rule(
    scheduler.cellLeaseMs < scheduler.cellHeartbeatIntervalMs * 3,
    ['scheduler', 'cellLeaseMs'],
    'must be at least three times scheduler.cellHeartbeatIntervalMs',
  );
  rule(
    scheduler.interference.releaseSlowdown >= scheduler.interference.toleratedSlowdown,
    ['scheduler', 'interference', 'releaseSlowdown'],
    'must be below scheduler.interference.toleratedSlowdown, or throttles alternate',
  );
  rule(
    scheduler.interference.evictionSlowdown < scheduler.interference.toleratedSlowdown,
    ['scheduler', 'interference', 'evictionSlowdown'],
    'must be at least scheduler.interference.toleratedSlowdown: throttling comes before evicting',
  );
  rule(
    scheduler.interference.settleMs < scheduler.interference.usageLagMs,
    ['scheduler', 'interference', 'settleMs'],
    'must be at least scheduler.interference.usageLagMs, so that a step is judged by its effect',
  );
  rule(
    scheduler.startValidityMs > scheduler.workerLeaseMs,
    ['scheduler', 'startValidityMs'],
    'must not exceed scheduler.workerLeaseMs',
  );
  rule(
    scheduler.startFreshnessMs + scheduler.startValidityMs > 2_900,
    ['scheduler', 'startFreshnessMs'],
    'with scheduler.startValidityMs must stay within 2900, so that starts end in time',
  );
  rule(
    entry.defaultDeadlineMs > entry.maximumDeadlineMs,
    ['entry', 'defaultDeadlineMs'],
    'must not exceed entry.maximumDeadlineMs',
  );
  rule(
    entry.maximumHeldBytes < entry.maximumBodyBytes,
    ['entry', 'maximumHeldBytes'],
    'must hold at least one body of entry.maximumBodyBytes',
  );
  rule(
    entry.silenceFloorMs >= entry.defaultDeadlineMs,
    ['entry', 'silenceFloorMs'],
    'must be below entry.defaultDeadlineMs, or a silent connection is found too late',
  );
  rule(
    peers.silenceTimeoutMs < peers.heartbeatIntervalMs * 2,
    ['peers', 'silenceTimeoutMs'],
    'must be at least twice peers.heartbeatIntervalMs',
  );
  rule(
    platform.configurationIntervalMs + platform.callTimeoutMs * 3 > 3_000,
    ['platform', 'configurationIntervalMs'],
    'with three times platform.callTimeoutMs must stay within 3000, so that a change is in force in time',
  );
};

export const settingsSchema = fieldsSchema.superRefine((settings, context) => {
  checkRules(settings, (path, message) => context.addIssue({ code: 'custom', path, message }));
});

/** One fault in a settings file: the path of the field and what is wrong with it. */
export interface SettingsFault {
  readonly path: string;
  readonly message: string;
}

const toPath = (segments: readonly PropertyKey[]): string =>
  segments.length === 0 ? '(root)' : segments.map(String).join('.');

/** Converts schema errors to faults; each unknown key is a fault with its own path. */
const schemaFaults = (error: z.ZodError): readonly SettingsFault[] =>
  error.issues.flatMap((issue) => {
    if (issue.code !== 'unrecognized_keys') {
      return [{ path: toPath(issue.path), message: issue.message }];
    }
    return issue.keys.map((key) => ({
      path: toPath([...issue.path, key]),
      message: 'is not a setting',
    }));
  });

type UnknownRecord = Readonly<Record<string, unknown>>;

const isRecord = (value: unknown): value is UnknownRecord =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

/** Parses each field of the checked sections separately; invalid fields become `NaN`. */
const parseFieldsSeparately = (value: UnknownRecord): Settings => {
  const sections = Object.entries(CHECKED_SECTIONS).map(([name, { shape }]) => {
    const section = isRecord(value[name]) ? value[name] : {};
    const fields = Object.entries(shape).map(([field, schema]): [string, unknown] => {
      const parsed = schema.safeParse(section[field]);
      return [field, parsed.success ? parsed.data : Number.NaN];
    });
    return [name, Object.fromEntries(fields)];
  });
  return Object.fromEntries(sections) as Settings;
};

/** Checks settings; reports all faults against the schema and the rules between fields at once. */
export const checkSettings = (value: unknown): Either<readonly SettingsFault[], Settings> => {
  const parsed = fieldsSchema.safeParse(value);
  const faults: SettingsFault[] = parsed.success ? [] : [...schemaFaults(parsed.error)];
  const settingsToCheck = parsed.success
    ? parsed.data
    : parseFieldsSeparately(isRecord(value) ? value : {});
  checkRules(settingsToCheck, (path, message) => faults.push({ path: toPath(path), message }));
  return parsed.success && faults.length === 0 ? right(parsed.data) : left(faults);
};
