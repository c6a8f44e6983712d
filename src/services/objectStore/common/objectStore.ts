/** The platform's object store; workers keep checkpoints there. */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';

import type { Failure } from '../../errors/common/errorKinds.js';

export interface ObjectStore {
  /** Whether an object of that name exists. */
  hasObject(name: string): TaskEither<Failure, boolean>;
}
