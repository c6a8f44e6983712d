/** What the commands of `snipethread` do. */
import { readFile } from 'node:fs/promises';
import { text as readText } from 'node:stream/consumers';
import { setTimeout as delay } from 'node:timers/promises';

import { isLeft } from 'fp-ts/lib/Either.js';

import { type Plan, planSchema } from '../../operator/common/plan.js';
import type { ErrorBody } from '../../platform/errors/common/errorKinds.js';
import { readSettingsFile } from '../../platform/settings/node/settingsFile.js';
import type { RecordedSpan } from '../../platform/tracing/common/tracing.js';
import { planText } from '../common/planText.js';
import { formatTable } from '../common/columnText.js';
import { traceText } from '../common/traceText.js';
import { OperatorClient } from './operatorClient.js';

/** Exit codes of `snipethread`, as the README lists them. */
export const ExitCode = {
  Done: 0,
  Refused: 1,
  BadUse: 2,
  /** `plan` found something to change. */
  HasChanges: 3,
} as const;
export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

export interface Connection {
  readonly address: string;
  readonly token: string;
  readonly isJson: boolean;
}

const WATCH_INTERVAL_MS = 300;

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const printRefusal = (connection: Connection, body: ErrorBody): ExitCode => {
  if (connection.isJson) print(JSON.stringify(body));
  else process.stderr.write(`${body.error}: ${body.message} (work: ${body.workOutcome})\n`);
  return ExitCode.Refused;
};

const clientOf = ({ address, token }: Connection): OperatorClient =>
  new OperatorClient(`http://${address}`, token);

/** Reads an intent from a file, or from standard input for `-`. */
const readIntent = async (file: string): Promise<unknown> =>
  JSON.parse(await (file === '-' ? readText(process.stdin) : readFile(file, 'utf8')));

export const runPlan = async (connection: Connection, file: string): Promise<ExitCode> => {
  let intent: unknown;
  try {
    intent = await readIntent(file);
  } catch (error) {
    process.stderr.write(`${file}: ${(error as Error).message}\n`);
    return ExitCode.BadUse;
  }
  const answer = await clientOf(connection).post('/v1/plans', { intent });
  if (isLeft(answer)) return printRefusal(connection, answer.left);
  const plan = planSchema.parse(answer.right);
  print(connection.isJson ? JSON.stringify(plan) : planText(plan));
  return plan.steps.length === 0 ? ExitCode.Done : ExitCode.HasChanges;
};

export const runConfirm = async (
  connection: Connection,
  planId: string,
  digest: string,
): Promise<ExitCode> => {
  const path = `/v1/plans/${encodeURIComponent(planId)}/confirm`;
  const answer = await clientOf(connection).post(path, { digest });
  if (isLeft(answer)) return printRefusal(connection, answer.left);
  const plan: Plan = planSchema.parse(answer.right);
  const text = `accepted: ${plan.summary}, in version ${plan.acceptedVersion}`;
  print(connection.isJson ? JSON.stringify(plan) : text);
  return ExitCode.Done;
};

const COLUMNS: Readonly<Record<string, readonly string[]>> = {
  services: ['name', 'team', 'replicaCount', 'urgency'],
  zones: ['name', 'region', 'state'],
  instances: ['kind', 'id', 'availabilityZone', 'rack', 'state'],
  tasks: ['taskId', 'attempt', 'workerId', 'taskClass'],
  history: ['version', 'acceptedAt', 'author', 'summary'],
};

export const OBJECT_KINDS: readonly string[] = Object.keys(COLUMNS);

export const runGet = async (connection: Connection, kind: string): Promise<ExitCode> => {
  const columns = COLUMNS[kind];
  if (columns === undefined) {
    process.stderr.write(`${kind} is none of ${OBJECT_KINDS.join(', ')}\n`);
    return ExitCode.BadUse;
  }
  const answer = await clientOf(connection).get(`/v1/${kind}`);
  if (isLeft(answer)) return printRefusal(connection, answer.left);
  const rows = answer.right as readonly Record<string, unknown>[];
  print(connection.isJson ? JSON.stringify(rows) : formatTable(columns, rows));
  return ExitCode.Done;
};

export const runDescribe = async (connection: Connection, path: string): Promise<ExitCode> => {
  const answer = await clientOf(connection).get(path);
  if (isLeft(answer)) return printRefusal(connection, answer.left);
  print(JSON.stringify(answer.right, undefined, connection.isJson ? 0 : 2));
  return ExitCode.Done;
};

export const runTrace = async (connection: Connection, traceId: string): Promise<ExitCode> => {
  const answer = await clientOf(connection).get(`/v1/traces/${encodeURIComponent(traceId)}`);
  if (isLeft(answer)) return printRefusal(connection, answer.left);
  const spans = answer.right as readonly RecordedSpan[];
  print(connection.isJson ? JSON.stringify(spans) : traceText(spans));
  return ExitCode.Done;
};

interface JobAnswer {
  readonly isEnded: boolean;
  readonly taskCounts: Readonly<Record<string, number>>;
}

/** Follows a job until nothing of it is left to do, or the time is up. */
export const runWatch = async (
  connection: Connection,
  jobId: string,
  timeoutMs: number,
): Promise<ExitCode> => {
  const client = clientOf(connection);
  const attempts = Math.max(1, Math.ceil(timeoutMs / WATCH_INTERVAL_MS));
  let lastText = '';
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    // A watch looks again and again by nature.
    // eslint-disable-next-line no-await-in-loop
    const answer = await client.get(`/v1/jobs/${encodeURIComponent(jobId)}`);
    if (!isLeft(answer)) {
      const status = answer.right as JobAnswer;
      const text = JSON.stringify(connection.isJson ? status : status.taskCounts);
      if (text !== lastText) print(text);
      lastText = text;
      if (status.isEnded) return ExitCode.Done;
    } else if (!answer.left.isWorthRetrying) return printRefusal(connection, answer.left);
    // eslint-disable-next-line no-await-in-loop
    await delay(WATCH_INTERVAL_MS);
  }
  process.stderr.write(`${jobId} is not done yet\n`);
  return ExitCode.Refused;
};

/** Checks a settings file and names every fault with its path. */
export const runSettingsCheck = async (file: string, isJson: boolean): Promise<ExitCode> => {
  const settings = await readSettingsFile(file);
  const faults = isLeft(settings) ? settings.left : [];
  if (isJson) print(JSON.stringify({ file, faults }));
  else faults.forEach((fault) => print(`${fault.path}: ${fault.message}`));
  if (!isJson && faults.length === 0) print(`${file} is valid`);
  return faults.length === 0 ? ExitCode.Done : ExitCode.BadUse;
};
