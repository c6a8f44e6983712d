/** This entry's share of a backend server's connections. */
import type { BackendServer } from './routing.js';

/**
 * The share is the same for every entry and follows from the maximum number of entries. Shares
 * computed from the list of live entries would add up to more connections than the server accepts
 * whenever two entries hold different lists.
 */
export const connectionShare = (server: BackendServer, maximumEntryCount: number): number =>
  Math.max(1, Math.floor(server.connectionCount / maximumEntryCount));

/** The part of the share for ordinary attempts; one is reserved for a fresh connection. */
export const pooledShare = (share: number): number => Math.max(1, share - 1);
