const INDENT = '  ';

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isEmpty(value: unknown): boolean {
  return Array.isArray(value)
    ? value.length === 0
    : isObject(value) && Object.keys(value).length === 0;
}

function scalar(value: unknown): string {
  return typeof value === 'string' && value !== ''
    ? value
    : JSON.stringify(value ?? null);
}

function entries(value: unknown): readonly (readonly [string, unknown])[] {
  return Array.isArray(value)
    ? value.map((item: unknown) => ['-', item] as const)
    : Object.entries(value as Readonly<Record<string, unknown>>).map(
        ([key, item]) => [`${key}:`, item] as const,
      );
}

function linesOf(value: unknown, indent: string): string[] {
  return entries(value).flatMap(([label, item]) =>
    (Array.isArray(item) || isObject(item)) && !isEmpty(item)
      ? [`${indent}${label}`, ...linesOf(item, indent + INDENT)]
      : [`${indent}${label} ${scalar(item)}`],
  );
}

/**
 * Prints a JSON value as indented text.
 *
 * @example
 * ```ts
 * readable({grants: [{tokens: 5}]});
 * // grants:
 * //   -
 * //     tokens: 5
 * ```
 */
export function readable(value: unknown): string {
  return Array.isArray(value) || isObject(value)
    ? linesOf(value, '').join('\n')
    : scalar(value);
}

/**
 * Prints rows under headings, in columns as wide as their widest cell.
 */
export function table(
  headings: readonly string[],
  rows: readonly (readonly string[])[],
): string {
  const all = [headings, ...rows];
  const widths = headings.map((_, column) =>
    Math.max(...all.map(row => (row[column] ?? '').length)),
  );
  return all
    .map(row =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
}
