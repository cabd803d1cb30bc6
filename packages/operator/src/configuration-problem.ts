/** Keys and list indexes that lead from the root to a value. */
export type Path = readonly (string | number)[];

/**
 * Formats a path with dots and brackets.
 *
 * @example
 * ```ts
 * formatPath(['organisations', 0, 'weight']); // organisations[0].weight
 * ```
 */
export function formatPath(path: Path): string {
  return path
    .map((part, index) => {
      if (typeof part === 'number') {
        return `[${part}]`;
      }
      return index === 0 ? part : `.${part}`;
    })
    .join('');
}
