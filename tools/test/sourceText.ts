/** The program's own text, for tests that hold lists against what is used. */
import { readdir, readFile } from 'node:fs/promises';

/** All of `src/` and the adapter but tests and the paths that hold one of the given parts. */
export const sourceText = async (excludedParts: readonly string[]): Promise<string> => {
  const roots = ['src', 'platform'];
  const pathsByRoot = await Promise.all(
    roots.map(async (root) =>
      (await readdir(root, { recursive: true })).map((path) => `${root}/${path}`),
    ),
  );
  const sourcePaths = pathsByRoot
    .flat()
    .filter(
      (path) =>
        path.endsWith('.ts') &&
        !path.includes('/test/') &&
        !excludedParts.some((part) => path.includes(part)),
    );
  const texts = await Promise.all(sourcePaths.map((path) => readFile(path, 'utf8')));
  return texts.join('\n');
};
