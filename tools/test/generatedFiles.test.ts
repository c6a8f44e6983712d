import { readFile } from 'node:fs/promises';

import { format, resolveConfig } from 'prettier';
import { describe, expect, it } from 'vitest';

import { generatedFiles } from '../generate/generatedFiles.js';

describe('generated files', () => {
  it('match the output of `npm run generate`', async () => {
    const files = Object.entries(await generatedFiles());
    const checks = files.map(async ([path, text]) => {
      const isPage = path.endsWith('.md');
      const options = { ...(await resolveConfig(path)), filepath: path };
      const expected = isPage ? await format(text, options) : text;
      expect(await readFile(path, 'utf8'), path).toBe(expected);
    });
    expect(checks).toHaveLength(5);
    await Promise.all(checks);
  });
});
