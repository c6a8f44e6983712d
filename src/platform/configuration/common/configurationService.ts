/** The configuration in force on this daemon. */
import type { Event } from '../../../base/common/event.js';
import type { ConfigurationView } from './configurationView.js';

export interface ConfigurationService {
  /** Undefined until a first read has succeeded. */
  readonly current: ConfigurationView | undefined;
  /** When the read that last confirmed `current` was sent, on this process's clock. */
  readonly confirmedAtMs: number;
  readonly onDidChange: Event<ConfigurationView>;
  /** Reads at once, because a peer has told of a newer version. */
  refresh(): Promise<void>;
}
