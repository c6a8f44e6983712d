/** Implements the commands of `snipethread`. */
import { readFile } from 'node:fs/promises';
import { text as readText } from 'node:stream/consumers';
import { setTimeout as delay } from 'node:timers/promises';

import { type Either, isLeft, left, right } from 'fp-ts/lib/Either.js';

import { type Plan, planSchema } from '../../operator/common/plan.js';
import { sizeText } from '../../operator/common/sizeChecks.js';
import { resourcesSchema } from '../../services/worker/common/resources.js';
import {
  type ErrorBody,
  errorBody,
  ErrorKind,
  failure,
  type Failure,
} from '../../services/errors/common/errorKinds.js';
import { readSettingsFile } from '../../services/settings/node/settingsFile.js';
import type { RecordedSpan } from '../../services/tracing/common/tracing.js';
import { type IntentFlags, intentFromFlags } from '../common/intentFlags.js';
import { planText } from '../common/planText.js';
import { formatTable } from '../common/columnText.js';
import { lineText, objectText } from '../common/objectText.js';
import { traceText } from '../common/traceText.js';
import { OperatorClient } from './operatorClient.js';

/** Exit codes of `snipethread`. The README lists them. */
export const ExitCode = {
  Done: 0,
  Refused: 1,
  UsageError: 2,
  /** The plan has changes. */
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

/** Prints an error answer. The answer to a stale plan contains a new plan, which is printed too. */
const printErrorAnswer = (
  connection: Connection,
  body: ErrorBody & { readonly newPlan?: unknown },
): ExitCode => {
  if (connection.isJson) {
    print(JSON.stringify(body));
    return ExitCode.Refused;
  }
  const retryHint = body.isWorthRetrying ? `; try again in ${body.retryAfterMs} ms` : '';
  process.stderr.write(`${body.error}: ${body.message} (work: ${body.workOutcome}${retryHint})\n`);
  const newPlan = planSchema.safeParse(body.newPlan);
  if (newPlan.success) print(`planned anew:\n${planText(newPlan.data)}`);
  return ExitCode.Refused;
};

/** Prints a usage error or a timeout: an error body with `--json`, otherwise one line of text. */
const printError = ({ isJson }: Pick<Connection, 'isJson'>, cause: Failure): void => {
  if (isJson) print(JSON.stringify(errorBody(cause)));
  else process.stderr.write(`${cause.message}\n`);
};

const reportUsageError = (connection: Connection, cause: Failure): ExitCode => {
  printError(connection, cause);
  return ExitCode.UsageError;
};

const clientOf = ({ address, token }: Connection): OperatorClient =>
  new OperatorClient(`http://${address}`, token);

/** The source of an intent: flags, a file, or standard input if the file is `-`. */
export interface IntentSource {
  readonly kind: string | undefined;
  readonly flags: IntentFlags;
  readonly file: string;
  readonly revertVersion: string | undefined;
}

/** Parses a whole number. Other text is a usage error, since NaN would be sent as JSON `null`. */
const parseWholeNumber = (flag: string, text: string): Either<Failure, number> => {
  const value = /^\d+$/u.test(text) ? Number(text) : NaN;
  if (Number.isSafeInteger(value)) return right(value);
  return left(failure(ErrorKind.BadRequest, `${flag}: ${text} is no whole number`));
};

const readIntentFile = async (file: string): Promise<Either<Failure, unknown>> => {
  try {
    const text = await (file === '-' ? readText(process.stdin) : readFile(file, 'utf8'));
    return right(JSON.parse(text));
  } catch (error) {
    const name = file === '-' ? 'standard input' : file;
    return left(failure(ErrorKind.BadRequest, `${name}: ${(error as Error).message}`));
  }
};

const readIntent = async (source: IntentSource): Promise<Either<Failure, unknown>> => {
  const { kind, flags, file, revertVersion } = source;
  if (revertVersion !== undefined) {
    const version = parseWholeNumber('--revert', revertVersion);
    return isLeft(version) ? version : right({ intent: 'revert', version: version.right });
  }
  return kind === undefined ? readIntentFile(file) : intentFromFlags(kind, flags);
};

export const runPlan = async (connection: Connection, source: IntentSource): Promise<ExitCode> => {
  const intent = await readIntent(source);
  if (isLeft(intent)) return reportUsageError(connection, intent.left);
  const answer = await clientOf(connection).post('/v1/plans', { intent: intent.right });
  if (isLeft(answer)) return printErrorAnswer(connection, answer.left);
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
  if (isLeft(answer)) return printErrorAnswer(connection, answer.left);
  const plan: Plan = planSchema.parse(answer.right);
  const text = `accepted: ${plan.summary}, in version ${plan.acceptedVersion}`;
  print(connection.isJson ? JSON.stringify(plan) : text);
  return ExitCode.Done;
};

const COLUMNS: Readonly<Record<string, readonly string[]>> = {
  services: ['name', 'team', 'replicaCount', 'urgency'],
  jobs: ['jobId', 'team', 'taskCount', 'urgency'],
  tasks: ['taskId', 'attempt', 'workerId', 'taskClass'],
  workers: ['id', 'availabilityZone', 'rack', 'state', 'isDraining'],
  zones: ['name', 'region', 'state', 'workerCount'],
  instances: ['kind', 'id', 'availabilityZone', 'rack', 'state', 'seen'],
  plans: ['planId', 'author', 'state', 'acceptedVersion', 'expiresAt', 'summary'],
  quotas: ['team', 'limit', 'usedByServices'],
  history: ['version', 'acceptedAt', 'author', 'summary'],
};

export const OBJECT_KINDS: readonly string[] = Object.keys(COLUMNS);

/** There is only one policy, so it has no id and no list. */
const POLICY = 'policy';

/** The kinds that `get` accepts. */
export const GETTABLE_KINDS: readonly string[] = [...OBJECT_KINDS, POLICY];

/** Plural kinds by their singular. `history` is missing, as no route returns a single version. */
const PLURAL_OF_SINGULAR: Readonly<Record<string, string>> = Object.fromEntries(
  OBJECT_KINDS.filter((kind) => kind !== 'history').map((kind) => [kind.replace(/s$/u, ''), kind]),
);

const reportUnknownKind = (
  connection: Connection,
  kind: string,
  known: readonly string[],
): ExitCode =>
  reportUsageError(
    connection,
    failure(ErrorKind.BadRequest, `${kind} is none of ${known.join(', ')}`),
  );

const withSizeTexts = (row: Readonly<Record<string, unknown>>): Record<string, unknown> =>
  Object.fromEntries(
    Object.entries(row).map(([name, value]) => {
      const size = resourcesSchema.safeParse(value);
      return [name, size.success ? sizeText(size.data) : value];
    }),
  );

/** Gets a path and prints the answer. */
const printObjectAt = async (connection: Connection, path: string): Promise<ExitCode> => {
  const answer = await clientOf(connection).get(path);
  if (isLeft(answer)) return printErrorAnswer(connection, answer.left);
  const shown = answer.right as Readonly<Record<string, unknown>>;
  print(connection.isJson ? JSON.stringify(shown) : objectText(shown));
  return ExitCode.Done;
};

export const runGet = async (connection: Connection, kind: string): Promise<ExitCode> => {
  if (kind === POLICY) return printObjectAt(connection, '/v1/policy');
  const columns = COLUMNS[kind];
  if (columns === undefined) return reportUnknownKind(connection, kind, GETTABLE_KINDS);
  const answer = await clientOf(connection).get(`/v1/${kind}`);
  if (isLeft(answer)) return printErrorAnswer(connection, answer.left);
  const rows = (answer.right as readonly Record<string, unknown>[]).map(withSizeTexts);
  print(connection.isJson ? JSON.stringify(answer.right) : formatTable(columns, rows));
  return ExitCode.Done;
};

export const runTrace = async (connection: Connection, traceId: string): Promise<ExitCode> => {
  const answer = await clientOf(connection).get(`/v1/traces/${encodeURIComponent(traceId)}`);
  if (isLeft(answer)) return printErrorAnswer(connection, answer.left);
  const spans = answer.right as readonly RecordedSpan[];
  print(connection.isJson ? JSON.stringify(spans) : traceText(spans));
  return ExitCode.Done;
};

export const runDescribe = async (
  connection: Connection,
  kind: string,
  id: string | undefined,
): Promise<ExitCode> => {
  if (kind === POLICY && id === undefined) return printObjectAt(connection, '/v1/policy');
  const plural = PLURAL_OF_SINGULAR[kind] ?? kind;
  if (!Object.values(PLURAL_OF_SINGULAR).includes(plural)) {
    return reportUnknownKind(connection, kind, [...Object.keys(PLURAL_OF_SINGULAR), POLICY]);
  }
  if (id === undefined) {
    return reportUsageError(
      connection,
      failure(ErrorKind.BadRequest, `which ${kind}? its id is missing`),
    );
  }
  const path = `/v1/${plural}/${encodeURIComponent(id)}`;
  if (plural !== 'plans' || connection.isJson) return printObjectAt(connection, path);
  const answer = await clientOf(connection).get(path);
  if (isLeft(answer)) return printErrorAnswer(connection, answer.left);
  print(planText(planSchema.parse(answer.right)));
  return ExitCode.Done;
};

interface JobAnswer {
  readonly isEnded: boolean;
  readonly taskCounts: Readonly<Record<string, number>>;
}

/** The progress of a job or a plan at one poll. */
interface Progress {
  readonly text: string;
  readonly isDone: boolean;
}

const jobProgress = async (
  { isJson }: Connection,
  client: OperatorClient,
  jobId: string,
): Promise<Either<ErrorBody, Progress>> => {
  const answer = await client.get(`/v1/jobs/${encodeURIComponent(jobId)}`);
  if (isLeft(answer)) return answer;
  const status = answer.right as JobAnswer;
  const text = isJson ? JSON.stringify(status) : lineText(status.taskCounts);
  return right({ text, isDone: status.isEnded });
};

interface PlanProgressAnswer {
  readonly isDone: boolean;
}

/** Reads the progress of a plan. A plan is done when it is accepted and has taken full effect. */
const planProgress = async (
  { isJson }: Connection,
  client: OperatorClient,
  planId: string,
): Promise<Either<ErrorBody, Progress>> => {
  const answer = await client.get(`/v1/plans/${encodeURIComponent(planId)}/progress`);
  if (isLeft(answer)) return answer;
  const progress = answer.right as PlanProgressAnswer;
  const text = isJson ? JSON.stringify(progress) : lineText({ ...progress });
  return right({ text, isDone: progress.isDone });
};

/**
 * Polls a job until it has ended, or a plan until it has taken full effect, or until the timeout.
 * Job ids contain a dot and plan ids do not.
 */
export const runWatch = async (
  connection: Connection,
  id: string,
  timeoutText: string,
): Promise<ExitCode> => {
  const timeoutMs = parseWholeNumber('--timeout-ms', timeoutText);
  if (isLeft(timeoutMs)) return reportUsageError(connection, timeoutMs.left);
  const client = clientOf(connection);
  const readProgress = id.includes('.') ? jobProgress : planProgress;
  const attempts = Math.max(1, Math.ceil(timeoutMs.right / WATCH_INTERVAL_MS));
  let lastText = '';
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    // eslint-disable-next-line no-await-in-loop -- polls one at a time
    const progress = await readProgress(connection, client, id);
    if (!isLeft(progress)) {
      if (progress.right.text !== lastText) print(progress.right.text);
      lastText = progress.right.text;
      if (progress.right.isDone) return ExitCode.Done;
    } else if (!progress.left.isWorthRetrying) return printErrorAnswer(connection, progress.left);
    // eslint-disable-next-line no-await-in-loop
    await delay(WATCH_INTERVAL_MS);
  }
  printError(connection, failure(ErrorKind.DeadlineExceeded, `${id} is not done yet`));
  return ExitCode.Refused;
};

/** Validates a settings file and prints every error with its path. */
export const runSettingsCheck = async (file: string, isJson: boolean): Promise<ExitCode> => {
  const settings = await readSettingsFile(file);
  const faults = isLeft(settings) ? settings.left : [];
  if (isJson) print(JSON.stringify({ file, faults }));
  else faults.forEach((fault) => print(`${fault.path}: ${fault.message}`));
  if (!isJson && faults.length === 0) print(`${file} is valid`);
  return faults.length === 0 ? ExitCode.Done : ExitCode.UsageError;
};
