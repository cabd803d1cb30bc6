/** Keys and list positions from the root to a value. */
export type Path = readonly (string | number)[];

/**
 * Prints a path as operators write it.
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
