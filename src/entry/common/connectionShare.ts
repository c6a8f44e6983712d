/** This entry's share of a backend server's connections. */
import type { BackendServer } from './routing.js';

/**
 * The share is the same for every entry and follows from the number of entries that may exist
 * at most. Shares that followed the list of live entries would add up to more than there is
 * whenever two entries hold different lists.
 */
export const connectionShare = (server: BackendServer, maximumEntryCount: number): number =>
  Math.max(1, Math.floor(server.connectionCount / maximumEntryCount));

/** What ordinary attempts may use; one is kept back for a fresh connection. */
export const pooledShare = (share: number): number => Math.max(1, share - 1);
