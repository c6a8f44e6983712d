import { describe, expect, it } from 'vitest';

import { BoundedLog } from '../common/boundedLog.js';
import type { Log, LogFields } from '../common/log.js';
import { LineWriter, type WriteBytes } from '../node/lineWriter.js';

interface Written {
  readonly event: string;
  readonly fields: LogFields;
}

const recording = (): { readonly log: Log; readonly lines: Written[] } => {
  const lines: Written[] = [];
  const note = (event: string, fields: LogFields = {}): void => {
    lines.push({ event, fields });
  };
  return { log: { info: note, warn: note, error: note }, lines };
};

describe('a log under a storm of decisions', () => {
  it('leaves out decisions beyond its limit, tells how many, and never a change of belief', () => {
    // Ten thousand submissions are refused within a second, and the store is lost meanwhile. An
    // engineer must find the loss, and must be told that lines on requests are missing.
    const { log, lines } = recording();
    let nowMs = 0;
    const bounded = new BoundedLog(log, { nowMs: () => nowMs });
    for (let count = 0; count < 10_000; count += 1) {
      nowMs = count / 10;
      bounded.info('submission-refused', { id: String(count) });
    }
    bounded.warn('store-lost');
    nowMs = 1_000;
    bounded.info('submission-refused', { id: 'next' });
    const refused = lines.filter(({ event }) => event === 'submission-refused');
    expect(refused.length).toBe(151);
    expect(lines.some(({ event }) => event === 'store-lost')).toBe(true);
    const leftOut = lines.find(({ event }) => event === 'log-lines-left-out');
    expect(leftOut?.fields).toEqual({ lines: 9_850 });
  });
});

describe('the writer of lines', () => {
  const describeLeftOut = (lines: number): string => `left out ${lines}\n`;

  it('holds nobody up and no more than its limit while nobody reads', async () => {
    // Whoever collects the log stops reading. Writing to the pipe would then stand still, and with
    // it every answer to callers. Lines go into a buffer, and beyond its limit are counted.
    const calls: { readonly text: string; readonly done: () => void }[] = [];
    const blocked: WriteBytes = (bytes, done) => {
      calls.push({ text: bytes.toString(), done: () => done(null, bytes.length) });
    };
    const writer = new LineWriter(describeLeftOut, blocked);
    const line = `${'x'.repeat(1_023)}\n`;
    for (let count = 0; count < 10; count += 1) writer.add(line);
    await writer.flush(20);
    expect(calls).toHaveLength(1);
    for (let count = 0; count < 1_000; count += 1) writer.add(line);
    expect(writer.bufferedBytes).toBeLessThanOrEqual(256 * 1_024);
    expect(calls).toHaveLength(1);
    calls[0]?.done();
    await writer.flush(20);
    expect(calls).toHaveLength(2);
    const second = calls[1]?.text ?? '';
    expect(second.split('\n').filter((part) => part.startsWith('x'))).toHaveLength(246);
    expect(second).toContain('left out 754');
  });

  it('writes the rest of a piece that was taken in part, and again what was not taken', async () => {
    // A pipe takes a part of what it is given, then nothing for a while. No byte is lost or doubled.
    let text = '';
    let calls = 0;
    const writer = new LineWriter(describeLeftOut, (bytes, done) => {
      calls += 1;
      if (calls === 2) done(new Error('EAGAIN'), 0);
      else {
        const taken = calls === 1 ? 3 : bytes.length;
        text += bytes.subarray(0, taken).toString();
        done(null, taken);
      }
    });
    writer.add('first line\n');
    writer.add('second line\n');
    await writer.flush(1_000);
    expect(text).toBe('first line\nsecond line\n');
  });
});
