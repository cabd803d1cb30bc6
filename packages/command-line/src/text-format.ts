const INDENT = '  ';

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isEmpty(value: unknown): boolean {
  return Array.isArray(value)
    ? value.length === 0
    : isObject(value) && Object.keys(value).length === 0;
}

function formatScalar(value: unknown): string {
  return typeof value === 'string' && value !== ''
    ? value
    : JSON.stringify(value ?? null);
}

function labelledEntries(
  value: unknown,
): readonly (readonly [string, unknown])[] {
  return Array.isArray(value)
    ? value.map((item: unknown) => ['-', item] as const)
    : Object.entries(value as Readonly<Record<string, unknown>>).map(
        ([key, item]) => [`${key}:`, item] as const,
      );
}

function formatLines(value: unknown, indent: string): string[] {
  return labelledEntries(value).flatMap(([label, item]) =>
    (Array.isArray(item) || isObject(item)) && !isEmpty(item)
      ? [`${indent}${label}`, ...formatLines(item, indent + INDENT)]
      : [`${indent}${label} ${formatScalar(item)}`],
  );
}

/**
 * Formats a JSON value as indented text.
 *
 * @example
 * ```ts
 * formatValue({grants: [{tokens: 5}]});
 * // grants:
 * //   -
 * //     tokens: 5
 * ```
 */
export function formatValue(value: unknown): string {
  return Array.isArray(value) || isObject(value)
    ? formatLines(value, '').join('\n')
    : formatScalar(value);
}

/** Formats rows under headings; a column is as wide as its widest cell. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const headedRows = [headings, ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...headedRows.map(row => (row[column] ?? '').length)),
  );
  return headedRows
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
