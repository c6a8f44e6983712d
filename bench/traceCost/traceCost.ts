/**
 * Measures the cost of tracing for a request that is not sampled. The bound is far above the
 * usual figure, so only a fundamental change violates it.
 */
// Benchmarks are not part of the product, so their packages are development dependencies.
// eslint-disable-next-line import-x/no-extraneous-dependencies
import { Bench } from 'tinybench';

import { SeededRandom } from '../../src/base/common/random.js';
import { Hop } from '../../src/services/tracing/common/tracing.js';
import { OpenTelemetryTracing } from '../../src/services/tracing/node/openTelemetryTracing.js';
import type { Benchmark } from '../benchmark.js';
import { readBounds } from '../bounds.js';

const RING_CAPACITY = 200;
const RUN_MS = 1_000;
const MICROSECONDS_PER_MS = 1_000;
const UNSAMPLED_TRACEPARENT = '00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-00';

const unsampledTracing = new OpenTelemetryTracing(0, RING_CAPACITY, new SeededRandom(1));
const sampledTracing = new OpenTelemetryTracing(1, RING_CAPACITY, new SeededRandom(1));

export const traceCost: Benchmark = {
  name: 'trace-cost',
  run: async () => {
    const bench = new Bench({ time: RUN_MS })
      .add('unsampled, no header', () => {
        unsampledTracing.startTrace(Hop.Entry, undefined);
      })
      .add('unsampled, with header', () => {
        unsampledTracing.startTrace(Hop.Entry, UNSAMPLED_TRACEPARENT);
      })
      .add('sampled', () => {
        sampledTracing.startTrace(Hop.Entry, undefined)?.end();
      });
    await bench.run();
    const { maximumUnsampledMicroseconds = 0 } = await readBounds('trace-cost');
    const costs = bench.tasks.map(({ name, result }) => {
      if (result.state !== 'completed') throw new Error(`${name} did not complete`);
      const microseconds = result.latency.p50 * MICROSECONDS_PER_MS;
      process.stdout.write(`${name.padEnd(24)} ${microseconds.toFixed(2)} µs (median)\n`);
      return { name, microseconds };
    });
    process.stdout.write(`bound for unsampled ${maximumUnsampledMicroseconds} µs\n`);
    return costs
      .filter(({ name }) => name.startsWith('unsampled'))
      .every(({ microseconds }) => microseconds <= maximumUnsampledMicroseconds);
  },
};
