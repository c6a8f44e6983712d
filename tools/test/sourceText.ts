/** The program's source text, for tests that compare a list of names with the names in use. */
import { readdir, readFile } from 'node:fs/promises';

/** The text of `src/` and `platform/`, without tests and paths that contain an excluded part. */
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
