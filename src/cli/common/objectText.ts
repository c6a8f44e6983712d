/** Formats one object as text: a line for each value and a table for each list of objects. */
import { formatTable } from './columnText.js';

type Fields = Readonly<Record<string, unknown>>;

const isFields = (value: unknown): value is Fields =>
  typeof value === 'object' && value !== null && !Array.isArray(value);

const isTable = (value: unknown): value is readonly Fields[] =>
  Array.isArray(value) && value.length > 0 && value.every(isFields);

/** Flattens nested members. Each is named by its path, such as `size.processorMillis`. */
const flattenMembers = (fields: Fields, prefix = ''): readonly (readonly [string, unknown])[] =>
  Object.entries(fields).flatMap(([name, value]) =>
    isFields(value) ? flattenMembers(value, `${prefix}${name}.`) : [[`${prefix}${name}`, value]],
  );

const tableText = (rows: readonly Fields[]): string => {
  const flat = rows.map((row) => Object.fromEntries(flattenMembers(row)));
  const columns = [...new Set(flat.flatMap((row) => Object.keys(row)))];
  return formatTable(columns, flat);
};

/** Formats the members of an object on one line. */
export const lineText = (fields: Fields): string =>
  Object.entries(fields)
    .map(([name, value]) => `${name} ${String(value)}`)
    .join(', ');

/** Formats the values first, in their order, and then each list of objects under its name. */
export const objectText = (fields: Fields): string => {
  const entries = flattenMembers(fields);
  const values = entries.filter(([, value]) => !isTable(value));
  const width = Math.max(0, ...values.map(([name]) => name.length));
  const lines = values.map(([name, value]) =>
    `${name.padEnd(width)}  ${String(value ?? '')}`.trimEnd(),
  );
  const tables = entries.flatMap(([name, value]) =>
    isTable(value) ? [`\n${name}\n${tableText(value)}`] : [],
  );
  return [...lines, ...tables].join('\n');
};
