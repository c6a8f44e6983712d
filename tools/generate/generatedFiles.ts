/** The text of every generated file by path. Pages are not yet formatted. */
import { logPage } from './logPage.js';
import { metricsPage } from './metricsPage.js';
import { openApiDescription } from './openApi.js';
import { settingsJsonSchema, settingsPage } from './settingsSchema.js';

const INDENTATION = 2;

const toJsonText = (value: object): string => `${JSON.stringify(value, undefined, INDENTATION)}\n`;

export const generatedFiles = async (): Promise<Readonly<Record<string, string>>> => ({
  'docs/settings.schema.json': toJsonText(settingsJsonSchema()),
  'docs/openapi.json': toJsonText(await openApiDescription()),
  'docs/operations/LOG.md': logPage(),
  'docs/operations/METRICS.md': metricsPage(),
  'docs/operations/SETTINGS.md': settingsPage(),
});
