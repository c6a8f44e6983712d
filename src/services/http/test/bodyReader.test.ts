import type { IncomingMessage } from 'node:http';
import { PassThrough } from 'node:stream';

import fc from 'fast-check';
import { describe, expect, it } from 'vitest';

import { BodyReader } from '../node/bodyReader.js';

interface Result {
  readonly error: Error | null;
  readonly body: string | undefined;
  readonly heldBytes: number;
}

const read = (
  chunks: readonly string[],
  options: { readonly maximumBytes?: number; readonly declaredBytes?: number; room?: number } = {},
): Promise<Result> =>
  new Promise((resolve) => {
    const { maximumBytes = 100_000, declaredBytes, room = 200_000 } = options;
    const headers = declaredBytes === undefined ? {} : { 'content-length': String(declaredBytes) };
    const message = Object.assign(new PassThrough(), { headers });
    let heldBytes = 0;
    const reader = new BodyReader(message as unknown as IncomingMessage, {
      maximumBytes,
      onDidRead: () => {},
      tryAddSmallChunk: () => true,
      tryHold: (bytes) => {
        heldBytes = bytes;
        return bytes <= room;
      },
      onEnd: (error, body) => resolve({ error, body: body?.toString('latin1'), heldBytes }),
    });
    reader.start();
    chunks.forEach((chunk) => message.write(Buffer.from(chunk, 'latin1')));
    message.end();
  });

describe('a body that is read', () => {
  // Content at the border of two blocks must be neither lost nor moved.
  it('is whole, whatever its chunks are', async () => {
    const chunk = fc
      .tuple(fc.integer({ min: 1, max: 20_000 }), fc.constantFrom('a', 'b', 'c'))
      .map(([length, character]) => character.repeat(length));
    const property = fc.asyncProperty(
      fc.array(chunk, { maxLength: 12 }),
      fc.boolean(),
      async (chunks, isDeclared) => {
        const whole = chunks.join('');
        const declared = isDeclared ? { declaredBytes: whole.length } : {};
        const { body } = await read(chunks, { maximumBytes: 300_000, room: 600_000, ...declared });
        expect(body).toBe(whole);
      },
    );
    await fc.assert(property, { seed: 61, numRuns: 200 });
  });

  // A body that is just within the limit must be served, the next byte must not be read.
  it('ends at the largest size', async () => {
    const [within, beyond] = await Promise.all(
      [1_000, 1_001].map((length) => read(['x'.repeat(length)], { maximumBytes: 1_000 })),
    );
    expect(within?.body).toHaveLength(1_000);
    expect(beyond?.error).toMatchObject({ statusCode: 413 });
  });

  it('is refused when there is no room for it', async () => {
    const { error, body } = await read(['x'.repeat(2_000)], { room: 1_000 });
    expect(error).toMatchObject({ statusCode: 503 });
    expect(body).toBeUndefined();
  });

  it('is refused when it is longer or shorter than declared', async () => {
    const { error } = await read(['x'.repeat(10)], { declaredBytes: 11 });
    expect(error).toMatchObject({ statusCode: 400 });
  });

  it('holds no more than its content when its length is declared', async () => {
    const { heldBytes } = await read(['x'.repeat(5_000)], { declaredBytes: 5_000 });
    expect(heldBytes).toBe(5_000);
  });
});
