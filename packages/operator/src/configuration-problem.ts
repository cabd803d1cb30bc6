/** Keys and list positions from the root to a value. */
export type Path = readonly (string | number)[];

/** One thing wrong in a configuration. */
export interface ConfigurationProblem {
  /** Where it stands, such as `['organisations', 0, 'weight']`. */
  readonly path: Path;
  /** What would have been right. */
  readonly expected: string;
}

/**
 * Prints the path of a problem as operators write it.
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
