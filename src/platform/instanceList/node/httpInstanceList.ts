/** The instance list over HTTP. */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import { map } from 'fp-ts/lib/TaskEither.js';
import { Agent } from 'undici';

import type { Disposable } from '../../../base/common/lifecycle.js';
import { ErrorKind, type Failure } from '../../errors/common/errorKinds.js';
import { httpCall } from '../../http/node/httpCall.js';
import { type Instance, type InstanceList, instanceListSchema } from '../common/instanceList.js';

export class HttpInstanceList implements InstanceList, Disposable {
  readonly #agent: Agent;

  readonly #origin: string;

  readonly #timeoutMs: number;

  constructor(origin: string, timeoutMs: number) {
    this.#origin = origin;
    this.#timeoutMs = timeoutMs;
    this.#agent = new Agent({ connections: 1, connect: { timeout: timeoutMs } });
  }

  list(): TaskEither<Failure, readonly Instance[]> {
    const call = httpCall({
      dispatcher: this.#agent,
      url: `${this.#origin}/v1/instances/list`,
      body: {},
      answerSchema: instanceListSchema,
      timeoutMs: this.#timeoutMs,
      notSentKind: ErrorKind.StoreUnavailable,
      lostKind: ErrorKind.StoreUnavailable,
    });
    return map(({ instances }: { instances: Instance[] }): readonly Instance[] => instances)(call);
  }

  dispose(): void {
    void this.#agent.destroy();
  }
}
