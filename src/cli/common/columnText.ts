/** Formats tables as plain text. */

/** Lays out rows in columns under the given names. A missing member leaves its cell blank. */
export const formatTable = (
  columns: readonly string[],
  rows: readonly Readonly<Record<string, unknown>>[],
): string => {
  const cells = rows.map((row) => columns.map((column) => String(row[column] ?? '')));
  const widths = columns.map((column, index) =>
    Math.max(column.length, ...cells.map((row) => row[index]?.length ?? 0)),
  );
  const line = (texts: readonly string[]): string =>
    texts
      .map((text, index) => text.padEnd(widths[index] ?? 0))
      .join('  ')
      .trimEnd();
  return [line(columns), ...cells.map(line)].join('\n');
};
