/** Checks that a plan keeps the teams' services within their quotas. */
import { type Either, right } from 'fp-ts/lib/Either.js';

import type { ConfigurationView } from '../../services/configuration/common/configurationView.js';
import { quotaKey } from '../../services/configuration/common/documents.js';
import type { Failure } from '../../services/errors/common/errorKinds.js';
import { fitsInto } from '../../services/worker/common/resources.js';
import type { PlanGuard, PlanStep } from './plan.js';
import { guardDocument, impossible, type PlanningBasis } from './planningBasis.js';
import { ServiceTotals } from './replicas.js';
import { sizeText } from './sizeChecks.js';

/**
 * Fails if the services of a team would exceed its quota. Otherwise returns the steps and guards
 * on quota rows to add to the plan. Two plans that each keep a quota may exceed it together, so a
 * plan that adds to a team's services also rewrites the team's quota row unchanged. Of two such
 * plans only one is accepted, and the other has to be planned again.
 */
export const withQuotaSteps = (
  basis: PlanningBasis,
  after: ConfigurationView,
): Either<Failure, { readonly steps: readonly PlanStep[]; readonly guards: PlanGuard[] }> => {
  const [before, later] = [ServiceTotals.of(basis.view), ServiceTotals.of(after)];
  const grown = later.teams.filter((team) => !fitsInto(later.ofTeam(team), before.ofTeam(team)));
  const relimited = [...after.quotas.keys()].filter(
    (team) => after.quotas.get(team) !== basis.view.quotas.get(team),
  );
  const over = [...grown, ...relimited].find((team) => {
    const limit = after.quotas.get(team)?.limit;
    return limit !== undefined && !fitsInto(later.ofTeam(team), limit);
  });
  if (over !== undefined) {
    const limit = after.quotas.get(over)?.limit;
    const wanted = sizeText(later.ofTeam(over));
    return impossible(
      `services of ${over} would ask for ${wanted}; the quota is ${limit === undefined ? 'none' : sizeText(limit)}`,
    );
  }
  const limited = grown.filter((team) => basis.view.quotas.has(team));
  const unlimited = grown.filter((team) => !basis.view.quotas.has(team));
  return right({
    steps: limited.map((team) => {
      const document = basis.view.quotas.get(team) ?? null;
      const { baseRowVersion } = guardDocument(basis, quotaKey(team));
      return { key: quotaKey(team), before: document, after: document, baseRowVersion };
    }),
    guards: unlimited.map((team) => guardDocument(basis, quotaKey(team))),
  });
};
