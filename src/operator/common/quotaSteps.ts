/** Checks that a plan keeps the teams' services within their quotas. */
import { type Either, right } from 'fp-ts/lib/Either.js';

import type { ConfigurationView } from '../../services/configuration/common/configurationView.js';
import { quotaKey } from '../../services/configuration/common/documents.js';
import type { Failure } from '../../services/errors/common/errorKinds.js';
import { fitsInto } from '../../services/worker/common/resources.js';
import type { PlanGuard, PlanStep } from './plan.js';
import { guardDocument, impossible, type PlanningBasis } from './planningBasis.js';
import { ServiceTotals } from './serviceTotals.js';
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
  const [totalsBefore, totalsAfter] = [ServiceTotals.of(basis.view), ServiceTotals.of(after)];
  const growingTeams = totalsAfter.teams.filter(
    (team) => !fitsInto(totalsAfter.ofTeam(team), totalsBefore.ofTeam(team)),
  );
  const teamsWithNewLimit = [...after.quotas.keys()].filter(
    (team) => after.quotas.get(team) !== basis.view.quotas.get(team),
  );
  const exceedingTeam = [...growingTeams, ...teamsWithNewLimit].find((team) => {
    const limit = after.quotas.get(team)?.limit;
    return limit !== undefined && !fitsInto(totalsAfter.ofTeam(team), limit);
  });
  if (exceedingTeam !== undefined) {
    const limit = after.quotas.get(exceedingTeam)?.limit;
    const requested = sizeText(totalsAfter.ofTeam(exceedingTeam));
    return impossible(
      `services of ${exceedingTeam} would ask for ${requested}; the quota is ${limit === undefined ? 'none' : sizeText(limit)}`,
    );
  }
  const teamsWithQuota = growingTeams.filter((team) => basis.view.quotas.has(team));
  const teamsWithoutQuota = growingTeams.filter((team) => !basis.view.quotas.has(team));
  return right({
    steps: teamsWithQuota.map((team) => {
      const document = basis.view.quotas.get(team) ?? null;
      const { baseRowVersion } = guardDocument(basis, quotaKey(team));
      return { key: quotaKey(team), before: document, after: document, baseRowVersion };
    }),
    guards: teamsWithoutQuota.map((team) => guardDocument(basis, quotaKey(team))),
  });
};
