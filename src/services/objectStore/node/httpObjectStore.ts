/** The object store over HTTP. */
import type { TaskEither } from 'fp-ts/lib/TaskEither.js';
import { Agent } from 'undici';
import { z } from 'zod';

import type { Disposable } from '../../../base/common/lifecycle.js';
import { ErrorKind, type Failure } from '../../errors/common/errorKinds.js';
import { httpCall } from '../../http/node/httpCall.js';
import type { ObjectStore } from '../common/objectStore.js';

export class HttpObjectStore implements ObjectStore, Disposable {
  readonly #agent: Agent;

  readonly #origin: string;

  readonly #timeoutMs: number;

  constructor(origin: string, timeoutMs: number) {
    this.#origin = origin;
    this.#timeoutMs = timeoutMs;
    this.#agent = new Agent({ connections: 2, connect: { timeout: timeoutMs } });
  }

  hasObject(name: string): TaskEither<Failure, boolean> {
    return httpCall({
      dispatcher: this.#agent,
      url: `${this.#origin}/v1/objects/exists`,
      body: { name },
      answerSchema: z.boolean(),
      timeoutMs: this.#timeoutMs,
      notSentKind: ErrorKind.StoreUnavailable,
      lostKind: ErrorKind.StoreUnavailable,
    });
  }

  dispose(): void {
    void this.#agent.destroy();
  }
}
