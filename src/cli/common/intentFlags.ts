/** Intents stated by flags instead of JSON; the daemon's schema checks what comes of them. */

/** Flags of `snipethread plan INTENT`, as the command line gives them. */
export interface IntentFlags {
  readonly name?: string | undefined;
  readonly team?: string | undefined;
  readonly zone?: string | undefined;
  readonly region?: string | undefined;
  readonly worker?: string | undefined;
  readonly replicas?: string | undefined;
  readonly processors?: string | undefined;
  readonly 'memory-mib'?: string | undefined;
  readonly accelerators?: string | undefined;
  readonly urgency?: string | undefined;
  readonly key?: string | undefined;
  readonly tasks?: string | undefined;
  readonly 'work-ms'?: string | undefined;
  readonly jobs?: string | undefined;
  readonly policy?: string | undefined;
}

const MILLIS_PER_PROCESSOR = 1_000;
const MEBIBYTE = 1_048_576;

/** A number, or the text itself, which the schema then refuses by its name. */
const toNumber = (text: string | undefined, factor = 1): number | string | undefined => {
  if (text === undefined) return undefined;
  const value = Number(text);
  return text.trim() === '' || Number.isNaN(value) ? text : value * factor;
};

const withoutAbsent = (members: Readonly<Record<string, unknown>>): Record<string, unknown> =>
  Object.fromEntries(Object.entries(members).filter(([, value]) => value !== undefined));

const toSize = (flags: IntentFlags): Record<string, unknown> | undefined => {
  const { processors, accelerators } = flags;
  const memory = flags['memory-mib'];
  if (processors === undefined && memory === undefined && accelerators === undefined) {
    return undefined;
  }
  return withoutAbsent({
    processorMillis: toNumber(processors, MILLIS_PER_PROCESSOR),
    memoryBytes: toNumber(memory, MEBIBYTE),
    acceleratorCount: toNumber(accelerators ?? '0'),
  });
};

/** `a=1,b=true` as members. */
const toPolicy = (text: string | undefined): Record<string, unknown> | undefined => {
  if (text === undefined) return undefined;
  const entries = text.split(',').map((entry): [string, unknown] => {
    const [name = '', value = ''] = entry.split('=');
    if (value === 'true' || value === 'false') return [name, value === 'true'];
    return [name, toNumber(value)];
  });
  return Object.fromEntries(entries);
};

/** The intent that flags state; members that no flag gives are left out. */
export const intentOfFlags = (kind: string, flags: IntentFlags): Record<string, unknown> => {
  const size = toSize(flags);
  if (kind === 'create-service' || kind === 'change-service') {
    const { name, team, urgency } = flags;
    const replicaCount = toNumber(flags.replicas);
    return { intent: kind, service: withoutAbsent({ name, team, replicaCount, size, urgency }) };
  }
  return withoutAbsent({
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
