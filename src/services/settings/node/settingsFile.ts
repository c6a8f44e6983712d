/** Reads and checks a settings file. */
import { readFile } from 'node:fs/promises';

import { type Either, left, right } from 'fp-ts/lib/Either.js';

import { checkSettings, type Settings, type SettingsFault } from '../common/settings.js';

const parseJson = (text: string): Either<readonly SettingsFault[], unknown> => {
  try {
    return right(JSON.parse(text));
  } catch (error) {
    // The parser's message quotes the file with its line breaks, but a fault must be one line.
    const reason = (error as Error).message.replace(/\s+/gu, ' ');
    return left([{ path: '(file)', message: `is not JSON: ${reason}` }]);
  }
};

/** Returns the checked settings, or all faults of the file. */
export const readSettingsFile = async (
  path: string,
): Promise<Either<readonly SettingsFault[], Settings>> => {
  let text: string;
  try {
    text = await readFile(path, 'utf8');
  } catch (error) {
    return left([{ path: '(file)', message: (error as Error).message }]);
  }
  const json = parseJson(text);
  if (json._tag === 'Left') return json;
  return checkSettings(json.right);
};
