/** Measures the event loop delay of this process. */
import type { Clock } from '../../../base/common/clock.js';
import type { Disposable } from '../../../base/common/lifecycle.js';
import { PeriodicTimer } from '../../../base/node/periodicTimer.js';
import type { Metrics } from '../common/metrics.js';

const INTERVAL_MS = 100;

export class EventLoopDelayMonitor implements Disposable {
  readonly #timer: PeriodicTimer;

  constructor(metrics: Metrics, clock: Clock) {
    let dueAtMs = clock.nowMs();
    this.#timer = new PeriodicTimer(INTERVAL_MS, () => {
      const nowMs = clock.nowMs();
      metrics.recordMs('event_loop_delay', Math.max(0, nowMs - dueAtMs));
      dueAtMs = nowMs + INTERVAL_MS;
    });
  }

  dispose(): void {
    this.#timer.dispose();
  }
}
