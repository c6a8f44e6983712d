/** Polls the instance list; while the list is unavailable, the last one stays in use. */
import { isLeft } from 'fp-ts/lib/Either.js';

import { Emitter } from '../../../base/common/event.js';
import { canonicalJson } from '../../../base/common/json.js';
import type { Disposable } from '../../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../../base/node/periodicTimer.js';
import type { Metrics } from '../../metrics/common/metrics.js';
import type { InstanceDirectory } from '../common/instanceDirectory.js';
import type { Instance, InstanceList } from '../common/instanceList.js';
import {
  initialReadSchedule,
  nextInterval,
  type ReadSchedule,
  scheduleAfterRead,
} from '../common/readSchedule.js';

export class InstanceListReader implements InstanceDirectory, Disposable {
  readonly #list: InstanceList;

  readonly #metrics: Metrics;

  readonly #timer: PeriodicTimer;

  readonly #didChange = new Emitter<readonly Instance[]>();

  #instances: readonly Instance[] = [];

  #fingerprint = '';

  #schedule: ReadSchedule = initialReadSchedule();

  constructor(list: InstanceList, metrics: Metrics, intervalMs: number) {
    this.#list = list;
    this.#metrics = metrics;
    this.#timer = new PeriodicTimer(intervalMs, () => this.#read());
  }

  get instances(): readonly Instance[] {
    return this.#instances;
  }

  get onDidChange(): Emitter<readonly Instance[]>['event'] {
    return this.#didChange.event;
  }

  dispose(): void {
    this.#timer.dispose();
    this.#didChange.dispose();
  }

  async #read(): Promise<void> {
    const step = nextInterval(this.#schedule);
    this.#schedule = step.schedule;
    if (!step.isDue) return;
    const read = await this.#list.read()();
    if (isLeft(read)) {
      this.#metrics.count('instance_list_read_failed');
      this.#schedule = initialReadSchedule();
      return;
    }
    this.#schedule = scheduleAfterRead(this.#schedule, read.right);
    const { instances } = read.right;
    if (instances === undefined) return;
    // The same list may have other bytes if the platform changes the order of its fields.
    const fingerprint = canonicalJson(instances);
    if (fingerprint === this.#fingerprint) return;
    this.#fingerprint = fingerprint;
    this.#instances = instances;
    this.#didChange.fire(instances);
  }
}
