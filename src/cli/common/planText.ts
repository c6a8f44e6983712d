/** Formats a plan as text, in the style of a diff. */
import type { JsonValue } from '../../base/common/json.js';
import type { Plan, PlanEffects, PlanStep, TaskGroup } from '../../operator/common/plan.js';
import { sizeText } from '../../operator/common/sizeChecks.js';

const MAXIMUM_VALUE_LENGTH = 100;
const MAXIMUM_STEPS_SHOWN = 20;
const DOCUMENT_PREFIX = 'configuration/document/';

const truncatedJson = (value: unknown): string => {
  const text = JSON.stringify(value);
  if (text.length <= MAXIMUM_VALUE_LENGTH) return text;
  return `${text.slice(0, MAXIMUM_VALUE_LENGTH)}…`;
};

/** Returns the members of a document as text. Members of nested objects have dotted names. */
const flattenMembers = (value: JsonValue, path = ''): ReadonlyMap<string, string> => {
  if (value === null && path === '') return new Map();
  if (value === null || typeof value !== 'object') return new Map([[path, truncatedJson(value)]]);
  if (Array.isArray(value)) return new Map([[path, `${value.length} entries`]]);
  const entries = Object.entries(value).flatMap(([name, member]) => [
    ...flattenMembers(member ?? null, path === '' ? name : `${path}.${name}`),
  ]);
  return new Map(entries);
};

const changeSign = ({ before, after }: PlanStep): string => {
  if (before === null) return '+';
  return after === null ? '-' : '~';
};

const stepLines = (step: PlanStep): readonly string[] => {
  const [before, after] = [flattenMembers(step.before), flattenMembers(step.after)];
  const names = [...new Set([...before.keys(), ...after.keys()])];
  const changed = names.filter((name) => before.get(name) !== after.get(name));
  const key = step.key.startsWith(DOCUMENT_PREFIX)
    ? step.key.slice(DOCUMENT_PREFIX.length)
    : step.key;
  return [
    `${changeSign(step)} ${key}`,
    ...changed.flatMap((name) => [
      ...(before.has(name) ? [`    - ${name}: ${before.get(name)}`] : []),
      ...(after.has(name) ? [`    + ${name}: ${after.get(name)}`] : []),
    ]),
  ];
};

const groupLines = (verb: string, group: TaskGroup): readonly string[] => {
  if (group.count === 0) return [];
  const largest = group.largest.map(({ taskId, size }) => `    ${taskId}: ${sizeText(size)}`);
  return [`tasks    ${group.count} ${verb}; the largest:`, ...largest];
};

const effectLines = (effects: PlanEffects): readonly string[] => [
  ...groupLines('would start', effects.starting),
  ...groupLines('would move', effects.moving),
  ...groupLines('would be evicted and run again elsewhere', effects.evicted),
  ...groupLines('would end', effects.ending),
  ...effects.quotas.map(({ team, limit, before, after }) => {
    const change = `${sizeText(before)} -> ${sizeText(after)}`;
    return `quota    ${team}: ${change}, of ${limit === null ? 'no limit' : sizeText(limit)}`;
  }),
  ...effects.capacity.map(({ zone, reservedBefore, reservedAfter, totalAfter }) => {
    const change = `${sizeText(reservedBefore)} -> ${sizeText(reservedAfter)}`;
    return `capacity ${zone}: services ${change}, of ${sizeText(totalAfter)}`;
  }),
  ...effects.notDone.map((reason) => `not done ${reason}`),
];

export const planText = (plan: Plan): string => {
  const shown = plan.steps.filter(
    ({ before, after }) => truncatedJson(before) !== truncatedJson(after),
  );
  const hiddenCount = shown.length - MAXIMUM_STEPS_SHOWN;
  return [
    `plan     ${plan.planId}`,
    `intent   ${plan.summary}`,
    `from     version ${plan.baseVersion}, expires ${plan.expiresAt}`,
    shown.length === 0 ? 'no change' : `changes  ${shown.length} rows`,
    ...shown.slice(0, MAXIMUM_STEPS_SHOWN).flatMap(stepLines),
    ...(hiddenCount > 0 ? [`  and ${hiddenCount} rows more`] : []),
    ...effectLines(plan.effects),
    ...plan.warnings.map((warning) => `warning  ${warning}`),
    ...(plan.state === 'confirmed' ? [`accepted in version ${plan.acceptedVersion}`] : []),
    ...(shown.length === 0 || plan.state === 'confirmed'
      ? []
      : [`confirm with: snipethread confirm ${plan.planId} ${plan.digest}`]),
  ].join('\n');
};
