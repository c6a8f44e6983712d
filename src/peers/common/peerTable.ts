/** Which peers there are and which of them have been heard of lately. */
import type { DaemonInstance } from '../../platform/instanceList/common/instanceList.js';

/** Ids to connect to and to disconnect from, after the instance list has changed. */
export interface PeerChanges {
  readonly added: readonly DaemonInstance[];
  readonly removedIds: readonly string[];
}

/** Compares the links there are with the peers that are listed. */
export const peerChanges = (
  linkedIds: ReadonlySet<string>,
  listed: readonly DaemonInstance[],
  ownId: string,
): PeerChanges => {
  const others = listed.filter(({ id }) => id !== ownId);
  const otherIds = new Set(others.map(({ id }) => id));
  return {
    added: others.filter(({ id }) => !linkedIds.has(id)),
    removedIds: [...linkedIds].filter((id) => !otherIds.has(id)),
  };
};

/**
 * A link is silent when nothing was heard over it for the timeout. A connection that something
 * in between has lost track of neither closes nor delivers, so only silence can tell.
 */
export const isSilent = (heardAtMs: number, silenceTimeoutMs: number, nowMs: number): boolean =>
  nowMs - heardAtMs > silenceTimeoutMs;
