import { describe, expect, it } from 'vitest';

import { canonicalJson, JsonForm, jsonPieces } from '../common/json.js';
import { jsonText } from '../node/jsonText.js';

describe('canonicalJson', () => {
  it.each([
    [{ b: 1, a: [{ d: null, c: 'ü"\n' }], e: undefined }, '{"a":[{"c":"ü\\"\\n","d":null}],"b":1}'],
    [[undefined, 1.5, true], '[null,1.5,true]'],
    [{ date: new Date(0) }, '{"date":"1970-01-01T00:00:00.000Z"}'],
    ['text', '"text"'],
    [null, 'null'],
    [{ nested: { z: {}, a: [] }, n: Number.NaN }, '{"n":null,"nested":{"a":[],"z":{}}}'],
  ])('serialises %j with sorted keys', (value, text) => {
    expect(canonicalJson(value)).toBe(text);
  });
});

const LONG = Array.from({ length: 1_203 }, (_, index) => ({ state: 'queued', index }));

describe('JSON serialised in pieces', () => {
  it.each([
    ['a short value', { b: 1, a: [1, 2] }],
    ['a long array', LONG],
    ['long arrays in an array', [LONG, 1, [LONG]]],
    ['a long array nested in objects', { z: { y: LONG, x: undefined }, a: null, 'q"': 1 }],
  ])('equals the JSON of %s when the pieces are joined', async (_name, value) => {
    expect([...jsonPieces(value)].join('')).toBe(JSON.stringify(value));
    expect(await jsonText(value)).toBe(JSON.stringify(value));
    expect(await jsonText(value, JsonForm.Canonical)).toBe(canonicalJson(value));
  });

  // A job of 10,000 tasks is a megabyte of JSON. Serialising it in one step blocked every request
  // of the daemon for tens of milliseconds, and callers saw latency spikes while plans were made.
  it('yields to the event loop between the pieces of a large value', async () => {
    const value = { rows: Array.from({ length: 7 }, () => ({ tasks: LONG })) };
    let turnCount = 0;
    let isDone = false;
    const countTurns = (): void => {
      turnCount += 1;
      if (!isDone) setImmediate(countTurns);
    };
    setImmediate(countTurns);
    const text = await jsonText(value);
    isDone = true;
    expect(turnCount).toBeGreaterThanOrEqual(value.rows.length);
    expect(Math.max(...[...jsonPieces(value)].map(({ length }) => length))).toBeLessThan(20_000);
    expect(JSON.parse(text)).toEqual(value);
  });
});
