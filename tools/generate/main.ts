/** Writes the generated files; `npm run generate` formats them afterwards. */
import { writeFile } from 'node:fs/promises';

import { generatedFiles } from './generatedFiles.js';

const files = await generatedFiles();
await Promise.all(Object.entries(files).map(([path, text]) => writeFile(path, text)));
