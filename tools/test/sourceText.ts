/** The program's own text, for tests that hold lists against what is used. */
import { readdir, readFile } from 'node:fs/promises';

/** All of `src/` but tests and the paths that hold one of the given parts. */
export const sourceText = async (leftOut: readonly string[]): Promise<string> => {
  const paths = await readdir('src', { recursive: true });
  const wanted = paths.filter(
    (path) =>
      path.endsWith('.ts') &&
      !path.includes('/test/') &&
      !leftOut.some((part) => path.includes(part)),
  );
  const texts = await Promise.all(wanted.map((path) => readFile(`src/${path}`, 'utf8')));
  return texts.join('\n');
};
