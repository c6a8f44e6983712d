/** Builds intents from command-line flags instead of JSON. The daemon's schema validates them. */

import { type Either, left, right } from 'fp-ts/lib/Either.js';

import { ErrorKind, failure, type Failure } from '../../services/errors/common/errorKinds.js';

const FLAG_NAMES = [
  'name',
  'team',
  'zone',
  'region',
  'worker',
  'replicas',
  'processors',
  'memory-mib',
  'accelerators',
  'urgency',
  'key',
  'tasks',
  'work-ms',
  'jobs',
  'policy',
] as const;

/** Flags of `snipethread plan INTENT`, as parsed from the command line. */
export type IntentFlags = Readonly<
  Partial<Record<(typeof FLAG_NAMES)[number], string | undefined>>
>;

const MILLIS_PER_PROCESSOR = 1_000;
const MEBIBYTE = 1_048_576;

/** Parses a number. Text that is no number is returned as is, so that the schema reports it. */
const toNumber = (text: string | undefined, factor = 1): number | string | undefined => {
  if (text === undefined) return undefined;
  const value = Number(text);
  return text.trim() === '' || Number.isNaN(value) ? text : value * factor;
};

const omitUndefined = (members: Readonly<Record<string, unknown>>): Record<string, unknown> =>
  Object.fromEntries(Object.entries(members).filter(([, value]) => value !== undefined));

const toSize = (flags: IntentFlags): Record<string, unknown> | undefined => {
  const { processors, accelerators } = flags;
  const memory = flags['memory-mib'];
  if (processors === undefined && memory === undefined && accelerators === undefined) {
    return undefined;
  }
  return omitUndefined({
    processorMillis: toNumber(processors, MILLIS_PER_PROCESSOR),
    memoryBytes: toNumber(memory, MEBIBYTE),
    acceleratorCount: toNumber(accelerators ?? '0'),
  });
};

/** Parses `a=1,b=true` into members. */
const toPolicy = (text: string | undefined): Record<string, unknown> | undefined => {
  if (text === undefined) return undefined;
  const entries = text.split(',').map((entry): [string, unknown] => {
    const [name = '', value = ''] = entry.split('=');
    if (value === 'true' || value === 'false') return [name, value === 'true'];
    return [name, toNumber(value)];
  });
  return Object.fromEntries(entries);
};

const toIntent = (kind: string, flags: IntentFlags): Record<string, unknown> => {
  const size = toSize(flags);
  if (kind === 'create-service' || kind === 'change-service') {
    const { name, team, urgency } = flags;
    const replicaCount = toNumber(flags.replicas);
    return { intent: kind, service: omitUndefined({ name, team, replicaCount, size, urgency }) };
  }
  return omitUndefined({
    intent: kind,
    name: flags.name,
    team: flags.team,
    zone: flags.zone,
    region: flags.region,
    workerId: flags.worker,
    submissionKey: flags.key,
    taskCount: toNumber(flags.tasks),
    urgency: flags.urgency,
    workMs: toNumber(flags['work-ms']),
    jobIds: flags.jobs?.split(','),
    policy: toPolicy(flags.policy),
    ...(kind === 'set-quota' ? { limit: size } : { size }),
  });
};

/**
 * Returns the intent that the flags describe, without the members that have no flag. A flag without
 * a text value is an error: the command-line parser sets `--no-NAME` to `false` for every flag type.
 */
export const intentFromFlags = (
  kind: string,
  flags: IntentFlags,
): Either<Failure, Record<string, unknown>> => {
  const flagWithoutText = FLAG_NAMES.find(
    (name) => !['string', 'undefined'].includes(typeof flags[name]),
  );
  if (flagWithoutText === undefined) return right(toIntent(kind, flags));
  return left(failure(ErrorKind.BadRequest, `--${flagWithoutText}: a value is missing`));
};
