/** Selects the peers that a daemon links to and derives the states of all known daemons. */
import {
  type DaemonInstance,
  InstanceState,
} from '../../services/instanceList/common/instanceList.js';

/** The links to open and to close after the selected peers have changed. */
export interface LinkChanges {
  readonly added: readonly DaemonInstance[];
  readonly removedIds: readonly string[];
}

/**
 * Selects the peers that a daemon sends heartbeats to: those 1, 2, 4, 8 … places after it in the
 * order of ids. If each of 70 daemons linked to all others, control traffic would cost each
 * 40 KB/s, and the limit is 22 KB/s. With this selection the number of links grows by one when
 * the number of daemons doubles. A hint still reaches every daemon, in as many steps as a daemon
 * has links.
 *
 * The instance list lags, so some selected peers may be gone and pass no hints on. A gone peer
 * stays linked, because otherwise its return would go unnoticed. In addition, the next daemon
 * after it that is not known to be gone is linked as its replacement.
 */
export const selectPeers = (
  listed: readonly DaemonInstance[],
  ownId: string,
  isGone: (id: string) => boolean = () => false,
): readonly DaemonInstance[] => {
  const others = listed.filter(({ id }) => id !== ownId).sort((a, b) => (a.id < b.id ? -1 : 1));
  const ownIndex = others.filter(({ id }) => id < ownId).length;
  const peerAt = (offset: number): DaemonInstance =>
    others[(ownIndex + offset - 1) % others.length] as DaemonInstance;
  const selected = new Set<DaemonInstance>();
  for (let offset = 1; offset <= others.length; offset *= 2) {
    selected.add(peerAt(offset));
    if (isGone(peerAt(offset).id)) {
      const offsets = Array.from({ length: others.length }, (_, step) => offset + step + 1);
      const replacement = offsets
        .map(peerAt)
        .find((peer) => !isGone(peer.id) && !selected.has(peer));
      if (replacement !== undefined) selected.add(replacement);
    }
  }
  return [...selected];
};

/**
 * Compares the current links with the wanted ones. A changed address under the same id means that
 * the process has restarted. Its link is replaced, since the old one would retry the old address
 * forever.
 */
export const linkChanges = (
  linked: ReadonlyMap<string, DaemonInstance>,
  wanted: readonly DaemonInstance[],
): LinkChanges => {
  const isUnchanged = ({ id, peerAddress }: DaemonInstance): boolean => {
    const linkedAddress = linked.get(id)?.peerAddress;
    return linkedAddress?.host === peerAddress.host && linkedAddress.port === peerAddress.port;
  };
  const keptIds = new Set(wanted.filter(isUnchanged).map(({ id }) => id));
  return {
    added: wanted.filter(({ id }) => !keptIds.has(id)),
    removedIds: [...linked.keys()].filter((id) => !keptIds.has(id)),
  };
};

/**
 * Whether nothing was received over a link for longer than the timeout. When a device between two
 * daemons loses track of their connection, the connection neither closes nor delivers, so silence
 * is the only sign of it.
 */
export const isSilent = (heardAtMs: number, silenceTimeoutMs: number, nowMs: number): boolean =>
  nowMs - heardAtMs > silenceTimeoutMs;

/** The latest observation of a daemon, from its heartbeat or its answer to one. */
export interface PeerObservation {
  readonly heardAtMs: number;
  readonly isLeaving: boolean;
}

export const MemberState = {
  Live: 'live',
  Leaving: 'leaving',
  /** Listed and linked, but nothing was received from it for longer than the timeout. */
  Silent: 'silent',
  /** Listed, but not linked, so no heartbeat from it is expected here. */
  Unobserved: 'unobserved',
} as const;
export type MemberState = (typeof MemberState)[keyof typeof MemberState];

/**
 * Derives the states of all known daemons. The platform's instance list lags, so observations
 * correct it: a daemon that announces its shutdown is leaving before the list says so, a daemon
 * that is listed as live may be silent, and a daemon that was heard recently counts before it is
 * listed. Daemons may derive different states, so nothing that needs agreement may depend on them.
 */
export const memberStates = (
  listed: readonly DaemonInstance[],
  linkedIds: ReadonlySet<string>,
  observed: ReadonlyMap<string, PeerObservation>,
  silenceTimeoutMs: number,
  nowMs: number,
): ReadonlyMap<string, MemberState> => {
  const listedStates = new Map(listed.map(({ id, state }) => [id, state]));
  const ids = new Set([...listedStates.keys(), ...observed.keys()]);
  const stateOf = (id: string): MemberState | undefined => {
    const observation = observed.get(id);
    const isHeardRecently =
      observation !== undefined && !isSilent(observation.heardAtMs, silenceTimeoutMs, nowMs);
    if (listedStates.get(id) === InstanceState.Leaving) return MemberState.Leaving;
    if (isHeardRecently) return observation.isLeaving ? MemberState.Leaving : MemberState.Live;
    if (!listedStates.has(id)) return undefined;
    if (observation?.isLeaving === true) return MemberState.Leaving;
    return linkedIds.has(id) ? MemberState.Silent : MemberState.Unobserved;
  };
  const states = [...ids].map((id): [string, MemberState | undefined] => [id, stateOf(id)]);
  return new Map(states.filter((entry): entry is [string, MemberState] => entry[1] !== undefined));
};

/** Counts the daemons assumed to take requests; a daemon that is silent here may still do so. */
export const servingCount = (states: ReadonlyMap<string, MemberState>): number =>
  [...states.values()].filter((state) => state !== MemberState.Leaving).length;
