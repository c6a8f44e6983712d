/** Shows a plan to a person in the manner of a diff. */
import type { Plan, PlanStep } from '../../operator/common/plan.js';

const MAXIMUM_LINE_LENGTH = 160;

const shortened = (value: unknown): string => {
  const text = JSON.stringify(value);
  return text.length <= MAXIMUM_LINE_LENGTH ? text : `${text.slice(0, MAXIMUM_LINE_LENGTH)}…`;
};

const stepLines = (step: PlanStep): readonly string[] => [
  `  ${step.key}`,
  ...(step.before === null ? [] : [`  - ${shortened(step.before)}`]),
  ...(step.after === null ? [] : [`  + ${shortened(step.after)}`]),
];

export const planText = (plan: Plan): string =>
  [
    `plan     ${plan.planId}`,
    `digest   ${plan.digest}`,
    `intent   ${plan.summary}`,
    `from     version ${plan.baseVersion}, expires ${plan.expiresAt}`,
    ...plan.warnings.map((warning) => `warning  ${warning}`),
    plan.steps.length === 0 ? 'no change' : `changes  ${plan.steps.length} rows`,
    ...plan.steps.flatMap(stepLines),
    ...(plan.steps.length === 0
      ? []
      : [`confirm with: snipethread confirm ${plan.planId} ${plan.digest}`]),
  ].join('\n');
