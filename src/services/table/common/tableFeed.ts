/** A feed of a table's changes in commit order. */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import type { Failure } from '../../errors/common/errorKinds.js';
import type { TableRow } from './table.js';

export const FeedKind = { Changes: 'changes', HistoryLost: 'history-lost' } as const;
export type FeedKind = (typeof FeedKind)[keyof typeof FeedKind];

/** A removed row has the version `ABSENT_VERSION` and the value null. */
export type FeedPage =
  | {
      readonly kind: typeof FeedKind.Changes;
      readonly rows: readonly TableRow[];
      /** The position for the next call. */
      readonly position: number;
    }
  /** The service no longer has the changes after the position; everything must be read again. */
  | { readonly kind: typeof FeedKind.HistoryLost };

export interface TableFeed {
  /** Returns at least one change, or none after `waitMs`. */
  follow(table: string, afterPosition: number, waitMs: number): TaskEither<Failure, FeedPage>;
}
