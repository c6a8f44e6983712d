/** The instances according to this daemon's last read of the platform's list, which lags. */
import type { Event } from '../../../base/common/event.js';
import type { Instance } from './instanceList.js';

export interface InstanceDirectory {
  readonly instances: readonly Instance[];
  readonly onDidChange: Event<readonly Instance[]>;
}
