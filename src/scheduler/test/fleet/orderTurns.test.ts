import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';

import { OrderKind, OrderTurns } from '../../node/orderTurns.js';

describe('the orders that are under way to one worker', () => {
  const releases: (() => void)[] = [];
  let turns: OrderTurns;

  const request = (kind: OrderKind, count: number): void => {
    for (let index = 0; index < count; index += 1) {
      void turns.acquire('worker', kind).then((release) => releases.push(release));
    }
  };

  const begunAfter = async (durationMs: number): Promise<number> => {
    await vi.advanceTimersByTimeAsync(durationMs);
    return releases.length;
  };

  beforeEach(() => {
    vi.useFakeTimers();
    releases.length = 0;
    turns = new OrderTurns();
  });

  afterEach(() => vi.useRealTimers());

  // An owner that handled its answers late sent one start to each worker in that time.
  it('are three while each is answered soon', async () => {
    request(OrderKind.Start, 10);
    expect(await begunAfter(1)).toBe(3);
    releases[0]?.();
    expect(await begunAfter(1)).toBe(4);
  });

  // Orders without an answer kept all others of the worker waiting until their timeouts.
  it('are four of a kind while none is answered', async () => {
    request(OrderKind.Start, 10);
    expect(await begunAfter(2_000)).toBe(4);
  });

  // Stops of a cancelled submission waited behind the starts of the same worker.
  it('are others beside as many starts', async () => {
    request(OrderKind.Start, 10);
    await begunAfter(1);
    request(OrderKind.Other, 1);
    expect(await begunAfter(1)).toBe(4);
  });
});
