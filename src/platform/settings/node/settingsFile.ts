/** Reads and checks a settings file. */
import { readFile } from 'node:fs/promises';

import { type Either, left, right } from 'fp-ts/lib/Either.js';

import {
  type Settings,
  type SettingsFault,
  settingsFaults,
  settingsSchema,
} from '../common/settings.js';

const parseJson = (text: string): Either<readonly SettingsFault[], unknown> => {
  try {
    return right(JSON.parse(text));
  } catch (error) {
    return left([{ path: '(file)', message: `is not JSON: ${(error as Error).message}` }]);
  }
};

/** The checked settings, or every fault of the file. */
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
  const parsed = settingsSchema.safeParse(json.right);
  return parsed.success ? right(parsed.data) : left(settingsFaults(parsed.error));
};
