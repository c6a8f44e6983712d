import { describe, expect, it } from 'vitest';

import { SeededRandom } from '../../../base/common/random.js';
import { HarmonicLoad } from '../../common/fleet/harmonicLoad.js';
import { LoadDynamics } from '../../common/fleet/loadDynamics.js';
import { LoadEstimate } from '../../common/fleet/loadEstimate.js';

const POLL_INTERVAL_MS = 600;
const MEAN = 2.5;
const AMPLITUDE = 1;
const NOISE = 0.15;
const VARIANCE = NOISE ** 2;
const LOAD_COUNT = 8;

interface ObservedLoad {
  readonly name: string;
  readonly trend: LoadEstimate;
  readonly harmonic: HarmonicLoad;
}

/** Feeds noisy readings of several loads; `levelOf` gives their actual levels. */
const observeLoads = (
  dynamics: LoadDynamics,
  levelOf: (load: number, nowMs: number) => number,
  untilMs: number,
  seed: number,
): readonly ObservedLoad[] => {
  const random = new SeededRandom(seed);
  const loads = Array.from({ length: LOAD_COUNT }, (_, index) => ({
    name: `step-${index}`,
    trend: new LoadEstimate(levelOf(index, 0), 0),
    harmonic: dynamics.newLoad(`step-${index}`),
  }));
  for (let nowMs = POLL_INTERVAL_MS; nowMs <= untilMs; nowMs += POLL_INTERVAL_MS) {
    loads.forEach(({ name, trend, harmonic }, index) => {
      const level = levelOf(index, nowMs) + NOISE * (2 * random.nextFraction() - 1);
      trend.advance(nowMs);
      const reading = { headroom: level, variance: VARIANCE, loss: 0, lossVariance: 0 };
      const innovation = trend.innovation(reading);
      trend.correct(innovation);
      dynamics.addReading(
        name,
        harmonic,
        { atMs: nowMs, level, variance: VARIANCE },
        innovation.excess,
      );
    });
  }
  return loads;
};

const sineOf =
  (periodMs: number) =>
  (load: number, nowMs: number): number =>
    MEAN + AMPLITUDE * Math.sin((2 * Math.PI * nowMs) / periodMs + load);

describe('loads with a common period', () => {
  it.each([
    [7_000, 1],
    [10_000, 2],
    [14_000, 3],
    [14_000, 4],
    [22_000, 5],
  ])('are forecast a quarter of a period ahead (period %i ms, seed %i)', (periodMs, seed) => {
    const dynamics = new LoadDynamics();
    const levelOf = sineOf(periodMs);
    const untilMs = 3 * periodMs;
    const loads = observeLoads(dynamics, levelOf, untilMs, seed);
    expect(dynamics.isPeriodic).toBe(true);
    loads.forEach(({ harmonic }, index) => {
      const atMs = untilMs + periodMs / 4;
      expect(Math.abs(harmonic.levelAt(atMs) - levelOf(index, atMs))).toBeLessThan(AMPLITUDE / 3);
    });
  });

  it('keep their model on another worker', () => {
    const dynamics = new LoadDynamics();
    const [first] = observeLoads(dynamics, sineOf(14_000), 30_000, 1);
    const again = dynamics.newLoad('step-0');
    expect(again.levelAt(32_000)).toBeCloseTo(first?.harmonic.levelAt(32_000) ?? 0);
    expect(again.varianceAt(32_000)).toBeLessThan(0.1);
  });
});

describe('loads without a period', () => {
  it.each([1, 2, 3])('use the trend forecast (seed %i)', (seed) => {
    const random = new SeededRandom(seed);
    const levels = Array.from({ length: LOAD_COUNT }, () => MEAN);
    const levelOf = (load: number): number => {
      const step = 0.5 * (2 * random.nextFraction() - 1);
      levels[load] = Math.min(4, Math.max(1, (levels[load] ?? MEAN) + step));
      return levels[load] ?? MEAN;
    };
    const dynamics = new LoadDynamics();
    observeLoads(dynamics, levelOf, 60_000, seed);
    expect(dynamics.isPeriodic).toBe(false);
  });
});
