/** The configuration in force on this daemon. */
import type { Event } from '../../../base/common/event.js';
import type { ConfigurationView } from './configurationView.js';

export interface ConfigurationService {
  /** Undefined until the first read succeeds. */
  readonly current: ConfigurationView | undefined;
  /** The send time of the read that last confirmed `current`, on this process's clock. */
  readonly confirmedAtMs: number;
  readonly onDidChange: Event<ConfigurationView>;
  /**
   * Reads the configuration immediately. The version is the one that a peer has announced, if any;
   * it is only a hint.
   */
  refresh(hintedVersion?: number): Promise<void>;
}

/** How well a daemon knows the configuration, for readiness and for operators. */
export interface ConfigurationHealth {
  /** The version in force; undefined when none is. */
  readonly version: number | undefined;
  /** Whether the table has confirmed the version within the bound for changes. */
  readonly isConfirmed: boolean;
  /** Whether, for longer than the bound, peers have announced a version that this daemon lacks. */
  readonly isBehind: boolean;
}

/**
 * Whether a daemon should receive requests. A daemon whose configuration is merely unconfirmed
 * still should: during a store outage every daemon is unconfirmed, no plan can be accepted, and
 * the last version is the right one for routing. A daemon that is behind its peers should not,
 * because it routes by an old version.
 */
export const isServable = (health: ConfigurationHealth): boolean =>
  health.version !== undefined && !health.isBehind;
