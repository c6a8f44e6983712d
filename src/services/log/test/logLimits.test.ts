import { describe, expect, it } from 'vitest';

import { RateLimitedLog } from '../common/rateLimitedLog.js';
import type { Log, LogFields } from '../common/log.js';
import { LineWriter, type WriteBytes } from '../node/lineWriter.js';

interface Written {
  readonly event: string;
  readonly fields: LogFields;
}

const createRecordingLog = (): { readonly log: Log; readonly lines: Written[] } => {
  const lines: Written[] = [];
  const record = (event: string, fields: LogFields = {}): void => {
    lines.push({ event, fields });
  };
  return { log: { info: record, warn: record, error: record }, lines };
};

describe('a log under a burst of decisions', () => {
  it('drops and counts decisions beyond its limit, but never a state change', () => {
    // Ten thousand submissions are refused within a second, and the store is lost at the same time.
    // The log must show the loss and report that lines about requests are missing.
    const { log, lines } = createRecordingLog();
    let nowMs = 0;
    const bounded = new RateLimitedLog(log, { nowMs: () => nowMs });
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
    const droppedLines = lines.find(({ event }) => event === 'log-lines-left-out');
    expect(droppedLines?.fields).toEqual({ lines: 9_850 });
  });
});

describe('the line writer', () => {
  const describeDropped = (lines: number): string => `left out ${lines}\n`;

  it('neither blocks nor exceeds its buffer limit while nobody reads', async () => {
    // The log collector stops reading. A blocking write to the pipe would also block every answer
    // to callers. Instead lines are buffered, and lines beyond the limit are dropped and counted.
    const calls: { readonly text: string; readonly done: () => void }[] = [];
    const blocked: WriteBytes = (bytes, done) => {
      calls.push({ text: bytes.toString(), done: () => done(null, bytes.length) });
    };
    const writer = new LineWriter(describeDropped, blocked);
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

  it('writes the rest of a partly written chunk, and repeats a failed write', async () => {
    // The pipe accepts a part of the chunk, then nothing for a while. No byte is lost or repeated.
    let text = '';
    let calls = 0;
    const writer = new LineWriter(describeDropped, (bytes, done) => {
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
